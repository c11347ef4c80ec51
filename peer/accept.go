package peer

import (
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// defaultMaxHandshakes is the default of Options.MaxHandshakes.
	defaultMaxHandshakes = 128
	// minHandshakeTime is the time that each handshake gets. If there is no room, no connection is accepted meanwhile: those that
	// are closed at once come back at once, and cost processor time.
	minHandshakeTime = 50 * time.Millisecond
)

// pendingHandshakes holds the accepted connections whose dialler hasn't proved yet that it belongs to the fleet. Anybody who
// reaches the port can open one, so there is a limit for all of them. Its zero value is empty.
type pendingHandshakes struct {
	mu sync.Mutex
	// conns holds pendingConns, the oldest first.
	conns list.List
}

type pendingConn struct {
	net.Conn
	since time.Time
}

// wait returns how long no connection may be accepted.
func (h *pendingHandshakes) wait(now time.Time, limit int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conns.Len() < limit {
		return 0
	}
	return minHandshakeTime - now.Sub(h.conns.Front().Value.(pendingConn).since)
}

// begin adds a connection, and closes the oldest one if there are more than limit. It reports whether it did so.
func (h *pendingHandshakes) begin(now time.Time, c net.Conn, limit int) (end func(), closedOldest bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	element := h.conns.PushBack(pendingConn{c, now})
	if h.conns.Len() > limit {
		oldest := h.conns.Front()
		h.conns.Remove(oldest)
		_ = oldest.Value.(pendingConn).Close() // its handshake reports the error
		closedOldest = true
	}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.conns.Remove(element) // does nothing if it was the oldest
	}, closedOldest
}

// acceptLoop accepts connections until the listener is closed or ctx ends.
func (p *Peers) acceptLoop(ctx context.Context) {
	if p.options.Listener == nil {
		return
	}
	for ctx.Err() == nil {
		if wait := p.pending.wait(p.options.Timer.Now(), p.options.MaxHandshakes); wait > 0 {
			p.sleep(ctx, wait)
			continue
		}
		raw, err := p.options.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.options.Logger.Warn("accept failed", "error", err)
			p.sleep(ctx, minBackoff)
			continue
		}
		end, closedOldest := p.pending.begin(p.options.Timer.Now(), raw, p.options.MaxHandshakes)
		if closedOldest {
			p.counters.crowded.Add(1)
		}
		p.group.Go(func() { p.serve(ctx, raw, end) })
	}
}

// serve performs the handshake on an accepted connection and runs the
// connection until it ends.
func (p *Peers) serve(ctx context.Context, raw net.Conn, endHandshake func()) {
	c := newBufferedConn(raw)
	hello, err := p.handshake(c, p.handshakeAsAcceptor)
	endHandshake()
	if err != nil {
		return
	}
	if fleet.RouterID(hello.GetRouter()) == p.options.Self {
		_ = c.Close()
		return
	}
	newLink(p, c, hello, false).run(ctx)
}
