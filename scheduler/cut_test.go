package scheduler_test

import (
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/scheduler"
)

// cuttableListener is a listener whose connections can be cut silently: no data
// passes in either direction, and no connection is closed.
type cuttableListener struct {
	net.Listener
	mu sync.Mutex
	// open is a closed channel unless the connections are cut.
	open chan struct{}
}

func newCuttableListener(listener net.Listener) *cuttableListener {
	l := &cuttableListener{Listener: listener, open: make(chan struct{})}
	close(l.open)
	return l
}

func (l *cuttableListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

func (l *cuttableListener) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}

func (l *cuttableListener) restored() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Accept returns the next connection, which can be cut.
func (l *cuttableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cuttableConn{Conn: c, listener: l}, nil
}

type cuttableConn struct {
	net.Conn
	listener     *cuttableListener
	mu           sync.Mutex
	readDeadline time.Time
}

// SetReadDeadline also limits the time that Read waits while the connection is cut.
func (c *cuttableConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Read returns received data once the connection is not cut.
func (c *cuttableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	deadline := c.readDeadline
	c.mu.Unlock()
	if deadline.IsZero() {
		deadline = time.Now().Add(time.Minute)
	}
	select {
	case <-c.listener.restored():
		return n, err
	case <-time.After(time.Until(deadline)):
		return 0, os.ErrDeadlineExceeded
	}
}

// Write discards the data while the connection is cut.
func (c *cuttableConn) Write(p []byte) (int, error) {
	select {
	case <-c.listener.restored():
		return c.Conn.Write(p)
	default:
		return len(p), nil
	}
}

// dispatchers returns the dispatcher of each upstream in r's view.
func (r *tcpRouter) dispatchers(t *testing.T) map[fleet.UpstreamID]fleet.RouterID {
	t.Helper()
	state, err := r.State(t.Context())
	require.NoError(t, err)
	all := make(map[fleet.UpstreamID]fleet.RouterID)
	for _, u := range state.Upstreams {
		all[u.ID] = u.Dispatcher
	}
	return all
}

// allDispatchedBy reports whether one router dispatches all upstreams in r's view.
func (r *tcpRouter) allDispatchedBy(t *testing.T, by fleet.RouterID) bool {
	t.Helper()
	for _, dispatcher := range r.dispatchers(t) {
		if dispatcher != by {
			return false
		}
	}
	return true
}

// The network between two routers drops all data while both serve callers; no
// connection is closed. Each must notice, serve its callers alone, and share the
// upstreams again after the cut, without leaking a slot.
func TestCutAndRejoinOverTCP(t *testing.T) {
	t.Parallel()
	view := newView(2, 4, 2)
	routers := startTCP(t, 2, view)
	a, b := routers[0], routers[1]
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, r := range routers {
		for range 8 {
			group.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						r.runOne(t, view, []string{"account-0", "account-1"}[i], 20*time.Millisecond)
					}
				}
			})
		}
	}
	const timeout, interval = 20 * time.Second, 20 * time.Millisecond
	shared := func() bool {
		seen := a.dispatchers(t)
		return !a.allDispatchedBy(t, a.id) && !a.allDispatchedBy(t, b.id) && maps.Equal(seen, b.dispatchers(t))
	}
	require.Eventually(t, shared, timeout, interval)
	a.listener.cut()
	b.listener.cut()
	require.Eventually(t, func() bool { return a.allDispatchedBy(t, a.id) && b.allDispatchedBy(t, b.id) }, timeout, interval)
	a.listener.restore()
	b.listener.restore()
	require.Eventually(t, shared, timeout, interval)
	close(stop)
	group.Wait()
	for _, r := range routers {
		require.Eventually(t, func() bool { return isIdle(t, r) }, timeout, interval)
	}
}

// isIdle reports whether no slot is in use in a router's view.
func isIdle(t *testing.T, r *tcpRouter) bool {
	t.Helper()
	state, err := r.State(t.Context())
	require.NoError(t, err)
	return !slices.ContainsFunc(state.Upstreams, func(u scheduler.UpstreamState) bool { return u.InFlight+u.LocalInFlight > 0 })
}
