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

// Callers sent a request to a router that was short of processor time, waited, and left.
// Seconds later the router read the request and passed it on to an upstream, which
// worked for nobody. That the caller had left stood behind the request on the same
// connection, and the goroutine that would have read it came too late. Stories of such
// requests showed it: each reached an upstream a second after its connection was closed.
func TestRequestOfACallerThatHasLeftIsNotPassedOn(t *testing.T) {
	t.Parallel()
	f := start(t, served)
	left := make(chan struct{})
	// The router comes to the request only once its caller has left, and goes on without a pause.
	f.handler.Takes = func(time.Time, fleet.AccountID) bool {
		<-left
		return true
	}
	for range 40 {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.front.Listener.Addr().String())
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

// A caller that waits for its answer, and one that asks again on the same connection, is served.
func TestCallerThatWaitsIsServed(t *testing.T) {
	t.Parallel()
	f := start(t, served)
	for range 3 {
		status, _, _, err := f.ask(t, "/order/1")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
}
