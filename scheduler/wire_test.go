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

// wireListener is a listener whose connections can be cut without a word:
// nothing passes in either direction, and nothing is closed.
type wireListener struct {
	net.Listener
	mu   sync.Mutex
	open chan struct{}
}

func newWireListener(listener net.Listener) *wireListener {
	l := &wireListener{Listener: listener, open: make(chan struct{})}
	close(l.open)
	return l
}

func (l *wireListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

func (l *wireListener) mend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}

func (l *wireListener) passes() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Accept returns the next connection once the wire is whole.
func (l *wireListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &wireConn{Conn: c, wire: l}, nil
}

type wireConn struct {
	net.Conn
	wire *wireListener
	mu   sync.Mutex
	read time.Time
}

// SetReadDeadline bounds the wait for a cut wire, too.
func (c *wireConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.read = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Read passes on what arrived, once the wire is whole.
func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	deadline := c.read
	c.mu.Unlock()
	if deadline.IsZero() {
		deadline = time.Now().Add(time.Minute)
	}
	select {
	case <-c.wire.passes():
		return n, err
	case <-time.After(time.Until(deadline)):
		return 0, os.ErrDeadlineExceeded
	}
}

// Write loses what is written to a cut wire.
func (c *wireConn) Write(p []byte) (int, error) {
	select {
	case <-c.wire.passes():
		return c.Conn.Write(p)
	default:
		return len(p), nil
	}
}

// dispatchers returns which router dispatches each upstream, as r sees it.
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

// all reports whether r takes every upstream to be dispatched by one router.
func (r *tcpRouter) all(t *testing.T, by fleet.RouterID) bool {
	t.Helper()
	for _, dispatcher := range r.dispatchers(t) {
		if dispatcher != by {
			return false
		}
	}
	return true
}

// The network between two routers goes dead while both serve callers; no
// connection ends, bytes just stop. Each must notice, serve its callers on its
// own, and share the upstreams out again once the network is back, without a
// slot lost on the way.
func TestCutAndRejoinOverTCP(t *testing.T) {
	t.Parallel()
	view := viewOf(2, 4, 2)
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
						r.once(t, view, []string{"account-0", "account-1"}[i], 20*time.Millisecond)
					}
				}
			})
		}
	}
	const patience, often = 20 * time.Second, 20 * time.Millisecond
	shared := func() bool {
		seen := a.dispatchers(t)
		return !a.all(t, a.id) && !a.all(t, b.id) && maps.Equal(seen, b.dispatchers(t))
	}
	require.Eventually(t, shared, patience, often)
	a.wire.cut()
	b.wire.cut()
	require.Eventually(t, func() bool { return a.all(t, a.id) && b.all(t, b.id) }, patience, often)
	a.wire.mend()
	b.wire.mend()
	require.Eventually(t, shared, patience, often)
	close(stop)
	group.Wait()
	for _, r := range routers {
		require.Eventually(t, func() bool { return idle(t, r) }, patience, often)
	}
}

// idle reports whether no slot is taken, as far as a router knows.
func idle(t *testing.T, r *tcpRouter) bool {
	t.Helper()
	state, err := r.State(t.Context())
	require.NoError(t, err)
	return !slices.ContainsFunc(state.Upstreams, func(u scheduler.UpstreamState) bool { return u.InFlight+u.Here > 0 })
}
