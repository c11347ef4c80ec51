package upstream_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/upstream"
)

// Guards against a router that takes its own delay for an upstream's silence.
func TestProbeReportsUnreadBytes(t *testing.T) {
	t.Parallel()
	send := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-send
		_, _ = io.WriteString(w, "late")
	}))
	defer server.Close()
	var probe upstream.Probe
	require.False(t, probe.HasUnread(), "no connection is known yet")
	client := &upstream.Client{}
	defer client.Close()
	answer, err := client.Do(t.Context(), server.Listener.Addr().String(), upstream.Request{
		Method: http.MethodGet, URI: "/", Host: "h", Probe: &probe,
	})
	require.NoError(t, err)
	require.False(t, probe.HasUnread())
	close(send)
	require.Eventually(t, probe.HasUnread, 5*time.Second, time.Millisecond)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "late", string(body))
	require.False(t, probe.HasUnread())
	require.NoError(t, answer.Body.Close())
}
