// Package upstream exchanges requests and answers with upstreams over HTTP/1.1, without pipelining,
// and pools idle connections.
//
// It defends against upstreams that violate the protocol. Each exchange reports whether a byte of
// the request may have been sent, so that a request is reported as not run only when that is true;
// nothing is ever sent twice. An answer to another request, left over on a pooled connection, is
// skipped instead of given to the wrong caller. A connection is reused only if its last exchange was
// complete in both directions and nothing has arrived since.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/socket"
)

const (
	// connectTimeout bounds the opening of a connection. Data centres are some milliseconds apart,
	// and TCP resends a lost first packet only after a second; another upstream is tried before
	// that.
	connectTimeout = 400 * time.Millisecond
	// maxUnacknowledged bounds how long sent bytes may stay unacknowledged. TCP resends a lost
	// packet after 200 ms and doubles the delay each time, so three losses in a row are tolerated.
	maxUnacknowledged = 1800 * time.Millisecond
	// A connection without traffic is probed every probeInterval, and closed after probeCount
	// unanswered probes. Waiting for an answer sends nothing, so without probes a dead machine
	// would look like a slow one.
	probeInterval = time.Second
	probeCount    = 2
	// maxIdle is the maximum number of idle connections per upstream.
	maxIdle = 64
	// defaultIdleTime is how long a connection is kept whose upstream didn't announce a keep-alive
	// timeout.
	defaultIdleTime = 4 * time.Second
	// idleFraction is the fraction of the announced keep-alive timeout that is used, so that a
	// request doesn't cross the upstream's close.
	idleFraction = 0.75
	// checkIdleTime is how long a connection is kept that was only opened by CheckReachable.
	checkIdleTime = time.Second
	// readBufferSize, in bytes, is enough for the header of an answer and several events of a
	// stream.
	readBufferSize = 4 << 10
)

// Client exchanges requests with upstreams. Its zero value is ready to use. It is safe for
// concurrent use.
type Client struct {
	// EchoedID returns the id of the request that an answer belongs to, empty when the answer has
	// none. If nil, every answer is assumed to belong to its request.
	EchoedID func(http.Header) fleet.RequestID
	// OnOpen is called with each new connection, unless it is nil.
	OnOpen func()
	// Identity is used for requests with a Process. It may be nil.
	Identity *Identity

	mu   sync.Mutex
	idle map[string][]*conn
}

// Do sends a request to the upstream at address and returns its answer as soon as the header has
// arrived. Errors are of type *Error. ctx applies to the exchange and to reading the body.
func (c *Client) Do(ctx context.Context, address string, request Request) (*Answer, error) {
	if err := request.permit(); err != nil {
		return nil, &Error{Address: address, Cause: err}
	}
	connection, err := c.connect(ctx, address)
	if err != nil {
		return nil, &Error{Address: address, Cause: errorCause(ctx, err)}
	}
	if c.Identity != nil && request.Process != 0 {
		if err := c.identify(connection, address, request.Process); err != nil {
			_ = connection.Close()
			return nil, &Error{Address: address, Cause: errorCause(ctx, err)}
		}
	}
	if err := request.permit(); err != nil {
		_ = connection.Close()
		return nil, &Error{Address: address, Cause: err}
	}
	request.Probe.watch(connection)
	x := &exchange{client: c, conn: connection, address: address, writeDone: make(chan struct{})}
	x.stopAbort = context.AfterFunc(ctx, x.abort)
	x.send(request)
	response, err := x.receive(request) //nolint:bodyclose // the answer closes it
	if err != nil {
		x.abort()
		<-x.writeDone
		return nil, &Error{Address: address, Sent: x.sent, Cause: errorCause(ctx, err)}
	}
	return newAnswer(x, response), nil
}

// errorCause returns why an exchange failed. If its context has ended, that is the context's cause,
// because the connection's error then only shows that it was closed.
func errorCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// connect returns an idle connection or opens a new one.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	if idle := c.takeIdle(address); idle != nil {
		return idle, nil
	}
	return c.open(ctx, address)
}

// open opens a new connection.
func (c *Client) open(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout: connectTimeout,
		Control: func(_, _ string, raw syscall.RawConn) error { return socket.SetUserTimeout(raw, maxUnacknowledged) },
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
		},
	}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := opened.(*net.TCPConn)
	if !ok {
		_ = opened.Close()
		return nil, eris.Errorf("connection to %s is not TCP", address)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = opened.Close()
		return nil, err
	}
	if c.OnOpen != nil {
		c.OnOpen()
	}
	return newConn(opened, raw), nil
}

// CheckReachable returns an error if no connection to an upstream can be opened. It sends no
// request. Idle connections tell nothing: when an upstream ends they are closed one after the other.
func (c *Client) CheckReachable(ctx context.Context, address string) error {
	connection, err := c.open(ctx, address)
	if err != nil {
		return &Error{Address: address, Cause: errorCause(ctx, err)}
	}
	c.putIdle(address, connection, checkIdleTime)
	return nil
}

// takeIdle returns the most recently used idle connection, nil if there is none. It closes those
// that can't be used any more.
func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := c.idle[address]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		if now.Before(last.idleUntil) && !socket.IdleReadable(last.raw) {
			c.idle[address] = list
			return last
		}
		_ = last.Close()
	}
	delete(c.idle, address)
	return nil
}

// putIdle keeps a connection for the next exchange, or closes it if there are too many.
func (c *Client) putIdle(address string, connection *conn, idleTime time.Duration) {
	connection.isNew = false
	connection.idleUntil = time.Now().Add(idleTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[string][]*conn)
	}
	if len(c.idle[address]) >= maxIdle {
		_ = connection.Close()
		return
	}
	c.idle[address] = append(c.idle[address], connection)
}

// Sweep closes the idle connections that have expired, and all to addresses for which keep returns
// false. Each holds a file descriptor here and a connection at its upstream.
func (c *Client) Sweep(now time.Time, keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, connection := range list {
			if keep(address) && now.Before(connection.idleUntil) {
				kept = append(kept, connection)
				continue
			}
			_ = connection.Close()
		}
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.Sweep(time.Now(), func(string) bool { return false }) }
