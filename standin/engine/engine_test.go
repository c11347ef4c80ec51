package engine_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/standin/engine"
	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/timer"
)

const waitTimeout = 30 * time.Second

// client has a transport of its own: when an httptest.Server closes, it closes the idle
// connections of the default transport, which other parallel tests may be about to use.
var client = &http.Client{Transport: &http.Transport{}}

// fastOptions makes an engine run a hundred times faster.
var fastOptions = engine.Options{TimeScale: 0.01, Retention: 1000 * time.Second}

func serve(t *testing.T, options engine.Options) (*engine.Engine, string) {
	t.Helper()
	e := engine.New(options)
	httpServer := httptest.NewServer(e)
	t.Cleanup(httpServer.Close)
	return e, httpServer.URL
}

func chatBody(content string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"min_tokens":%d,"max_tokens":%d,"stream":%t}`,
		content, tokens, tokens, stream)
}

// reply is the part of a response that the tests check.
type reply struct {
	StatusCode int
	Header     http.Header
}

// call sends a request and returns the reply and the body. It returns an error
// if the body was truncated.
func call(t *testing.T, method, url, body string, header ...string) (reply, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		return reply{}, "", err
	}
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{}, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{StatusCode: response.StatusCode, Header: response.Header}, string(data), err
}

func TestEqualRequestsGetEqualAnswers(t *testing.T) {
	t.Parallel()
	_, first := serve(t, fastOptions)
	_, second := serve(t, fastOptions)
	for _, stream := range []bool{false, true} {
		_, one, err := call(t, http.MethodPost, first+"/v1/chat/completions", chatBody("duct 7", 9, stream))
		require.NoError(t, err)
		_, two, err := call(t, http.MethodPost, second+"/v1/chat/completions", chatBody("duct 7", 9, stream))
		require.NoError(t, err)
		_, other, err := call(t, http.MethodPost, first+"/v1/chat/completions", chatBody("duct 8", 9, stream))
		require.NoError(t, err)
		require.Equal(t, one, two)
		require.NotEqual(t, one, other)
		require.Contains(t, one, `"completion_tokens":9`)
	}
}

func TestStreamEndsWithUsageAndDone(t *testing.T) {
	t.Parallel()
	_, url := serve(t, fastOptions)
	_, body, err := call(t, http.MethodPost, url+"/v1/chat/completions", chatBody("q", 3, true))
	require.NoError(t, err)
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	require.Len(t, events, 5)
	require.Contains(t, events[3], `"usage"`)
	require.Equal(t, "id: 5\ndata: [DONE]", events[4])
}

// A connection breaks in the middle of a stream. The remaining events can be
// fetched from the engine, and both parts together form the whole answer.
func TestBrokenStreamIsResumed(t *testing.T) {
	t.Parallel()
	e, url := serve(t, fastOptions)
	_, whole, err := call(t, http.MethodPost, url+"/v1/chat/completions", chatBody("q", 20, true))
	require.NoError(t, err)
	e.Faults.Set(fault.Fault{Kind: fault.BreakAfterEvents, Operation: engine.OperationChat, AfterEvents: 4, Times: 1})

	_, head, err := call(t, http.MethodPost, url+"/v1/chat/completions", chatBody("q", 20, true), "nutmeglock-stream-id", "s1")
	require.Error(t, err)
	_, tail, err := call(t, http.MethodGet, url+"/v1/streams/s1?after=4", "")
	require.NoError(t, err)

	require.Equal(t, 4, strings.Count(head, "id: "))
	require.Equal(t, whole, head+tail)
}

func TestCancelledStreamIsGone(t *testing.T) {
	t.Parallel()
	clock := timer.NewFake(time.Unix(1, 0))
	e, url := serve(t, engine.Options{Clock: clock})
	result := make(chan error, 1)
	go func() {
		_, _, err := call(t, http.MethodPost, url+"/v1/chat/completions", chatBody("q", 20, true), "nutmeglock-stream-id", "s1",
			"nutmeglock-request-id", "r1")
		result <- err
	}()
	require.Eventually(t, func() bool { return e.Runs()["r1"] == 1 }, waitTimeout, time.Millisecond)
	response, _, err := call(t, http.MethodDelete, url+"/v1/streams/s1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, response.StatusCode)
	require.Error(t, <-result)
	response, _, err = call(t, http.MethodGet, url+"/v1/streams/s1?after=0", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, response.StatusCode)
}

// Guards against calls that fail because another test ends at that moment. A connection is
// idle before the client has been handed an answer without a body; if the transport closes
// its idle connections then, the call fails, and net/http doesn't repeat a DELETE.
func TestCallsSurviveTheEndOfAnotherTestsServer(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	t.Cleanup(server.Close)
	other := httptest.NewServer(http.NotFoundHandler())
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{PutIdleConn: func(error) {
		other.Close()
		time.Sleep(10 * time.Millisecond) // the answer comes after the end of the connection
	}})
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, server.URL, nil)
	require.NoError(t, err)
	response, err := client.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}

func TestDrainingEngineRefusesRequests(t *testing.T) {
	t.Parallel()
	e, url := serve(t, fastOptions)
	e.Drain()
	response, _, err := call(t, http.MethodPost, url+"/v1/chat/completions", chatBody("q", 3, true), "nutmeglock-request-id", "r1")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "draining", response.Header.Get("nutmeglock-refused"))
	require.Empty(t, e.Runs())
}

func TestCrashLosesEveryStream(t *testing.T) {
	t.Parallel()
	clock := timer.NewFake(time.Unix(1, 0))
	e, url := serve(t, engine.Options{Clock: clock})
	result := make(chan error, 1)
	go func() {
		_, _, err := call(t, http.MethodPost, url+"/v1/chat/completions", chatBody("q", 20, false), "nutmeglock-request-id", "r1")
		result <- err
	}()
	require.Eventually(t, func() bool { return e.Runs()["r1"] == 1 }, waitTimeout, time.Millisecond)
	e.Crash()
	require.Error(t, <-result)
	_, _, err := call(t, http.MethodGet, url+"/load", "")
	require.Error(t, err)
	e.Restore()
	response, _, err := call(t, http.MethodGet, url+"/load", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestOldFencingNumberIsRefusedWhereItIsChecked(t *testing.T) {
	t.Parallel()
	for _, check := range []bool{true, false} {
		_, url := serve(t, engine.Options{CheckFencing: check})
		order := func(fencing int) int {
			response, _, err := call(t, http.MethodPost, url+"/orders",
				fmt.Sprintf(`{"kind":"load-model","fencing":%d}`, fencing), "Content-Type", "application/json")
			require.NoError(t, err)
			return response.StatusCode
		}
		require.Equal(t, http.StatusNoContent, order(2))
		if check {
			require.Equal(t, http.StatusConflict, order(1))
		} else {
			require.Equal(t, http.StatusNoContent, order(1))
		}
	}
}

// eventsAfterTime returns the total number of events of n requests after d.
func eventsAfterTime(t *testing.T, n int, d time.Duration) int {
	t.Helper()
	clock := timer.NewFake(time.Unix(1, 0))
	e, url := serve(t, engine.Options{Clock: clock, MaxBatch: 8})
	for i := range n {
		id := fmt.Sprint("s", i)
		go func() {
			_, _, _ = call(t, http.MethodPost, url+"/v1/chat/completions", chatBody("q", 5000, true),
				"nutmeglock-stream-id", id, "nutmeglock-request-id", id)
		}()
	}
	require.Eventually(t, func() bool { return len(e.Runs()) == n }, waitTimeout, time.Millisecond)
	clock.Advance(d)
	total := 0
	for i := range n {
		total += e.EventCount(fmt.Sprint("s", i))
	}
	e.Crash()
	return total
}

func TestTokenRateFallsAsTheBatchGrows(t *testing.T) {
	t.Parallel()
	single := eventsAfterTime(t, 1, 10*time.Second)
	fullBatch := eventsAfterTime(t, 8, 10*time.Second)
	overfull := eventsAfterTime(t, 16, 10*time.Second)
	require.Greater(t, fullBatch, single*4)
	require.Less(t, fullBatch, single*8)
	require.InDelta(t, fullBatch, overfull, 64)
}

func TestLoadReportAndCacheEventsAreLate(t *testing.T) {
	t.Parallel()
	clock := timer.NewFake(time.Unix(1, 0))
	e, url := serve(t, engine.Options{Clock: clock, DropEveryNthEvent: 3})
	go func() {
		_, _, _ = call(t, http.MethodPost, url+"/v1/chat/completions", chatBody(strings.Repeat("x", 300), 500, true),
			"nutmeglock-request-id", "r1")
	}()
	require.Eventually(t, func() bool { return e.Runs()["r1"] == 1 }, waitTimeout, time.Millisecond)
	get := func(path string) string {
		_, body, err := call(t, http.MethodGet, url+path, "")
		require.NoError(t, err)
		return body
	}
	require.Contains(t, get("/load"), `"running":0`)
	require.JSONEq(t, `{"events":[]}`, get("/cache-events?after=0"))
	clock.Advance(time.Second)
	require.Contains(t, get("/load"), `"running":1`)
	require.Contains(t, get("/load"), `"at-unix-ms":1000,`)
	clock.Advance(2 * time.Second)
	events := get("/cache-events?after=1")
	require.NotContains(t, events, `"seq":1,`)
	require.Contains(t, events, `"seq":2,`)
	require.NotContains(t, events, `"seq":3,`)
	require.Contains(t, events, `"seq":4,`)
	e.Crash()
}

func TestMalformedBodyIsRefused(t *testing.T) {
	t.Parallel()
	e := engine.New(engine.Options{})
	recorder := httptest.NewRecorder()
	e.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewBufferString("{")))
	require.Equal(t, http.StatusBadRequest, recorder.Code)
}
