package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
)

// Guards against forwarding a request whose caller has already disconnected. A router short of
// processor time read such requests seconds late. The end of the connection was queued behind the
// request, and the goroutine that would have read it ran too late, so an upstream worked in vain.
func TestRequestOfADisconnectedCallerIsNotForwarded(t *testing.T) {
	t.Parallel()
	f := start(t, answersOK)
	left := make(chan struct{})
	// Holds the request until its caller has disconnected.
	f.handler.HasCapacity = func(time.Time, fleet.AccountID) bool {
		<-left
		return true
	}
	for range 40 {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.router.Listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprint(conn, "POST /stream/1 HTTP/1.1\r\nHost: h\r\nX-Id: id-1\r\nX-Key: k\r\nContent-Length: 4\r\n\r\nbody")
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		time.Sleep(5 * time.Millisecond)
		left <- struct{}{}
	}
	time.Sleep(100 * time.Millisecond)
	require.Zero(t, f.count())
}

// A caller that waits for its answer, or sends several requests on one connection, must not be
// taken for disconnected.
func TestCallerThatWaitsIsServed(t *testing.T) {
	t.Parallel()
	f := start(t, answersOK)
	for range 3 {
		status, _, _, err := f.post(t, "/order/1")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
}
