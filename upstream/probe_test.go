package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
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

// Guards against an answer without a length that a reset cuts off and that seems whole, since a look for unread bytes has
// taken the error of the reset.
func TestResetIsReportedAfterAProbe(t *testing.T) {
	t.Parallel()
	s := startScripted(t, func(conn net.Conn, in *bufio.Reader) {
		id, _, ok := readRequest(in)
		if !ok {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idField+": "+id+"\r\nConnection: close\r\n\r\nthe first half")
		time.Sleep(50 * time.Millisecond) // it is read
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	request := newRequest("1", nil)
	request.Probe = &upstream.Probe{}
	answer, err := newClient(t).Do(t.Context(), s.address, request)
	require.NoError(t, err)
	defer answer.Body.Close()
	_, err = io.ReadFull(answer.Body, make([]byte, len("the first half")))
	require.NoError(t, err)
	require.Eventually(t, request.Probe.HasUnread, 5*time.Second, time.Millisecond)
	_, err = io.ReadAll(answer.Body)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
