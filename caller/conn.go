// Package caller listens for callers, whose connections share one budget of memory and of connections.
//
// Each connection counts what is kept for it: its buffers, the head of a request as it arrives, the body, and the
// answer. A connection that is evicted is closed, or, if a body is arriving, fails the next read of it, so that its
// request can be refused.
package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"nutmeglock.example/nutmeglock/budget"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/overload"
	"nutmeglock.example/nutmeglock/socket"
)

const (
	// headByteCost and headLineCost are the bytes of memory for a byte and for a line of a head. Each line becomes an
	// entry of a map, which takes more than a short line itself.
	headByteCost = 2
	headLineCost = 128
	// maxHeadLines is the number of lines that a head may have while the process is short of processor time or memory, or while
	// heads with more lines take maxHeadTime of the processors' time.
	maxHeadLines = 128
	maxHeadTime  = 0.25
	// stalledCloseDelay is how long a connection stays open after a refusal if the rest of its request doesn't come or isn't
	// awaited. A caller that connects again at once costs more than one that waits.
	stalledCloseDelay = time.Second
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
	// MaxHeadBytes limits the bytes of a head, and of what arrives with it; zero means that only the server does.
	MaxHeadBytes atomic.Int64
	// IsOverloaded reports whether the process is short of processor time; nil means never.
	IsOverloaded func() bool

	// longHeads measures heads of more than maxHeadLines lines.
	longHeads overload.TimeShare
}

// isShort reports whether the process is short of processor time or of memory. It then has none for heads of many lines.
func (l *Listener) isShort() bool {
	return l.longHeads.At(time.Now()) > maxHeadTime*float64(runtime.GOMAXPROCS(0)) || l.Pool.IsShort() || (l.IsOverloaded != nil && l.IsOverloaded())
}

// Accept waits for the next connection that there is room for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		time.Sleep(l.Pool.OpenDelay(time.Now()))
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, listener: l}
		c.lease, err = l.Pool.Open(time.Now(), c)
		if err == nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// headTooLarge is the answer to a head over the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// overloaded is the answer to a head for which there is no time. Its request can't have run.
const overloaded = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	lease    *Lease
	listener *Listener
	// headBytes and headLines are the length of the head so far. Only one goroutine reads heads.
	headBytes, headLines int64
	// headReadAt is when a part of a long head was read that the server is working on, else zero. Only one goroutine reads heads.
	headReadAt time.Time
	// received counts the bytes that were read.
	received atomic.Int64
	// isPipelined is set once a byte of another request was read while one is in hand. The server doesn't notice then that the
	// caller leaves.
	isPipelined atomic.Bool
	// isRefused is set once a request was refused whose body isn't read, and isStalled once the rest of a refused request
	// hasn't come.
	isRefused, isStalled atomic.Bool
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
	c.endHeadPart()
	n, err := c.Conn.Read(p)
	if n <= 0 {
		if c.isRefused.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			c.isStalled.Store(true)
		}
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
	lines := int64(bytes.Count(part, []byte{'\n'}))
	c.headBytes += int64(len(part))
	c.headLines += lines
	if answer, err := c.checkHead(); err != nil {
		_, _ = io.WriteString(c.Conn, answer) // the connection ends either way
		c.isStalled.Store(true)
		return err
	}
	if c.headLines > maxHeadLines {
		c.headReadAt = now
	}
	c.lease.Advance(now, len(part))
	return c.lease.Take(now, headByteCost*int64(len(part))+headLineCost*lines)
}

// checkHead returns the answer to a head that isn't read on, and why.
func (c *Conn) checkHead() (answer string, err error) {
	if most := c.listener.MaxHeadBytes.Load(); most > 0 && c.headBytes > most {
		return headTooLarge, &HeadTooLargeError{Limit: most}
	}
	if c.headLines > maxHeadLines && c.listener.isShort() {
		return overloaded, &HeadLinesError{Lines: c.headLines}
	}
	return "", nil
}

// endHeadPart records the time that the server took for the last part of a long head.
func (c *Conn) endHeadPart() {
	if c.headReadAt.IsZero() {
		return
	}
	now := time.Now()
	c.listener.longHeads.Add(now, now.Sub(c.headReadAt))
	c.headReadAt = time.Time{}
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
		_ = c.closeNow()
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

// refuseBody ends the effect of an eviction on reads, so that the refusal isn't lost. The connection stays evicted.
func (c *Conn) refuseBody() {
	if c == nil {
		return
	}
	c.isRefused.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = false
}

// CloseWrite ends the answers. The caller may still read them. After a refusal of a body, which says that the connection
// closes, the end isn't sent: a caller that returns at once costs more than one that waits.
func (c *Conn) CloseWrite() error {
	_ = c.lease.Enter(time.Now(), budget.Closing) // an evicted connection closes anyway
	if c.isRefused.Load() {
		return nil
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// Close closes the connection, gives back what it holds and ends its requests. A stalled one is closed later, unless others
// need its place.
func (c *Conn) Close() error {
	if !c.isStalled.Load() {
		return c.closeNow()
	}
	_ = c.lease.Enter(time.Now(), budget.Closing)
	c.lease.Give(c.lease.Bytes() - budget.ConnectionBytes)
	time.AfterFunc(stalledCloseDelay, func() { _ = c.closeNow() })
	return nil
}

func (c *Conn) closeNow() error {
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
		c.headBytes, c.headLines = 0, 0
		c.endHeadPart()
		_ = c.lease.Enter(time.Now(), budget.Serving) // what is read or written next fails if it was evicted
	case http.StateIdle:
		c.isPipelined.Store(false)
		c.isRefused.Store(false)
		c.isStalled.Store(false)
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
