package application_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/standin/application"
	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/timer"
)

const waitTimeout = 30 * time.Second

func post(t *testing.T, url, key string) (int, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/orders", strings.NewReader("dig"))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("nutmeglock-request-id", "other")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("nutmeglock-refused"), nil
}

func TestFaultsAndRunCounts(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		fault   fault.Fault
		broken  bool
		status  int
		refused string
		runs    int
	}{
		{name: "none", status: http.StatusOK, runs: 1},
		{name: "broken before the run", fault: fault.Fault{Kind: fault.RequestLost}, broken: true},
		{name: "broken after the run", fault: fault.Fault{Kind: fault.ReplyLost}, broken: true, runs: 1},
		{name: "full", fault: fault.Fault{Kind: fault.RefuseFull}, status: http.StatusServiceUnavailable, refused: "full"},
		{name: "slow", fault: fault.Fault{Kind: fault.Slow, DelayMs: 1}, status: http.StatusOK, runs: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			a := application.New(application.Options{})
			httpServer := httptest.NewServer(a)
			defer httpServer.Close()
			if test.fault.Kind != "" {
				a.Faults.Set(test.fault)
			}

			status, refused, err := post(t, httpServer.URL, "k1")

			require.Equal(t, test.broken, err != nil)
			require.Equal(t, test.status, status)
			require.Equal(t, test.refused, refused)
			require.Equal(t, test.runs, a.Runs()["k1"])
		})
	}
}

func TestCallsBeyondSlotsAndQueueAreRefused(t *testing.T) {
	t.Parallel()
	clock := timer.NewFake(time.Unix(1, 0))
	a := application.New(application.Options{Clock: clock, Slots: 1, MaxQueued: 1, ServiceTime: time.Hour})
	httpServer := httptest.NewServer(a)
	defer httpServer.Close()
	ended := make(chan error, 2)
	for i, key := range []string{"k1", "k2"} {
		go func() {
			_, _, err := post(t, httpServer.URL, key)
			ended <- err
		}()
		require.Eventually(t, func() bool { return a.InFlight() == i+1 && len(a.Runs()) == 1 }, waitTimeout, time.Millisecond)
	}

	_, refused, err := post(t, httpServer.URL, "k3")
	require.NoError(t, err)
	require.Equal(t, "full", refused)
	for range 2 {
		require.Eventually(t, func() bool {
			clock.Advance(time.Hour)
			return len(ended) > 0
		}, waitTimeout, time.Millisecond)
		require.NoError(t, <-ended)
	}
	require.Equal(t, map[string]int{"k1": 1, "k2": 1}, a.Runs())
}

func TestDrainingServiceRefusesCalls(t *testing.T) {
	t.Parallel()
	a := application.New(application.Options{})
	httpServer := httptest.NewServer(a)
	defer httpServer.Close()
	a.Drain()
	_, refused, err := post(t, httpServer.URL, "k1")
	require.NoError(t, err)
	require.Equal(t, "draining", refused)
	require.Empty(t, a.Runs())
}
