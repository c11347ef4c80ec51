// Package caller listens for callers, whose connections share one budget of memory and of connections.
//
// Each connection counts what is kept for it: its buffers, the head of a request as it arrives, the body, and the
// answer. A connection that is evicted is closed, or, if a body is arriving, fails the next read of it, so that its
// request can be refused.
package caller

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"nutmeglock.example/nutmeglock/budget"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/socket"
)

const (
	// headByteCost and headLineCost are the bytes of memory for a byte and for a line of a head. Each line becomes an
	// entry of a map, which takes more than a short line itself.
	headByteCost = 2
	headLineCost = 128
	// writePiece is the size in bytes of the pieces in which answers are written, so that one which is read slowly shows
	// progress.
	writePiece = 64 << 10
)

// Pool is the budget that the connections of callers share.
type Pool = budget.Pool[fleet.AccountID]

// Lease is what one connection holds of a Pool.
type Lease = budget.Lease[fleet.AccountID]

// Listener accepts connections as far as its pool has room. Pass ConnState and ConnContext to the server that uses it.
type Listener struct {
	net.Listener
	Pool *Pool
}

// Accept waits for the next connection that there is room for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn}
		c.lease, err = l.Pool.Open(time.Now(), c)
		if err == nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	lease *Lease
	// received counts the bytes that were read.
	received atomic.Int64
	// isPipelined is set once a byte of another request was read while one is in hand. The server doesn't notice then that the
	// caller leaves.
	isPipelined atomic.Bool
	// mu guards the rest. evicted is set once reads must fail, and cancel ends the requests.
	mu      sync.Mutex
	evicted bool
	cancel  context.CancelFunc
}

// Lease returns what the connection holds.
func (c *Conn) Lease() *Lease {
	if c == nil {
		return nil
	}
	return c.lease
}

// NetConn returns the connection that it was accepted as.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Received returns the number of bytes that were read.
func (c *Conn) Received() int64 {
	if c == nil {
		return 0
	}
	return c.received.Load()
}

// Read reads, and counts the bytes of heads.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.received.Add(int64(n))
	now := time.Now()
	switch stage, _ := c.lease.Stage(); stage {
	case budget.Idle, budget.Head:
		if err := c.takeHead(now, p[:n]); err != nil {
			return 0, &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
		}
	case budget.Body:
		c.lease.Advance(now, n)
	case budget.Serving, budget.Sending:
		c.isPipelined.Store(true)
	case budget.Closing:
	}
	return n, err
}

// takeHead counts a part of a head.
func (c *Conn) takeHead(now time.Time, part []byte) error {
	if err := c.lease.Enter(now, budget.Head); err != nil {
		return err
	}
	c.lease.Advance(now, len(part))
	return c.lease.Take(now, int64(headByteCost*len(part)+headLineCost*bytes.Count(part, []byte{'\n'})))
}

// Write writes, and shows while the caller isn't reading.
func (c *Conn) Write(p []byte) (int, error) {
	before, _ := c.lease.Stage()
	total := 0
	for {
		piece := p[total:min(total+writePiece, len(p))]
		if err := c.lease.Enter(time.Now(), budget.Sending); err != nil && before != budget.Body {
			return total, err
		}
		n, err := c.Conn.Write(piece)
		total += n
		if err != nil || total == len(p) {
			_ = c.lease.Enter(time.Now(), before)
			return total, err
		}
	}
}

// Evict ends what the caller does.
func (c *Conn) Evict(e budget.Eviction) {
	if e.Stage != budget.Body {
		_ = c.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// IsGone reports whether the caller has left though the server can't notice.
func (c *Conn) IsGone() bool {
	if !c.isPipelined.Load() {
		return false
	}
	raw, err := c.SyscallConn()
	return err == nil && socket.PeerHungUp(raw)
}

// SetReadDeadline sets the deadline for reads, which have none left once the connection is evicted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// allowReads ends the effect of an eviction on reads. The connection stays evicted.
func (c *Conn) allowReads() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = false
}

// CloseWrite ends the answers. The caller may still read them.
func (c *Conn) CloseWrite() error {
	_ = c.lease.Enter(time.Now(), budget.Closing) // an evicted connection closes anyway
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// Close closes the connection, gives back what it holds and ends its requests.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.lease.Close()
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return err
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return conn.SyscallConn()
}

// ConnState is the ConnState of a server whose connections come from a Listener.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		_ = c.lease.Enter(time.Now(), budget.Serving) // what is read or written next fails if it was evicted
	case http.StateIdle:
		c.isPipelined.Store(false)
		_ = c.lease.Enter(time.Now(), budget.Idle)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// connKey is the context key of a connection.
type connKey struct{}

// ConnContext is the ConnContext of a server whose connections come from a Listener.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		c.mu.Lock()
		ctx, c.cancel = context.WithCancel(ctx)
		c.mu.Unlock()
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection of a request, nil if the server has no ConnContext.
func ConnOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// FromContext returns the connection of a request, nil if it wasn't accepted by a Listener. A nil Conn has no limits.
func FromContext(ctx context.Context) *Conn {
	c, _ := ConnOf(ctx).(*Conn)
	return c
}
