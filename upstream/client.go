// Package upstream exchanges requests and answers with upstreams over HTTP/1.1,
// one exchange at a time on a connection, and keeps idle connections.
//
// It answers upstreams that misbehave on the wire. Each exchange tells whether
// a byte of the request may have left, so that "not run" is only said when it
// is true; nothing is ever sent twice. An answer to another request, left over
// on a kept connection, is passed over instead of given to the wrong caller. A
// connection is used again only if its last exchange ended whole in both
// directions and nothing has arrived on it since.
package upstream

import (
	"bufio"
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
	// connectTimeout bounds the opening of a connection. Data centres are some
	// milliseconds apart, and a first packet that is lost is sent again only
	// after a second; another upstream is asked sooner than that.
	connectTimeout = 400 * time.Millisecond
	// maxSilence bounds how long bytes stay unacknowledged. TCP sends a lost
	// packet again after 200 ms and then after twice as long each time, so that
	// three losses in a row pass.
	maxSilence = 1800 * time.Millisecond
	// A connection on which nothing moves is probed every probeInterval, and is
	// given up after probeCount probes without an answer. Waiting for an answer
	// sends nothing, so without probes a dead machine looks like a slow one.
	probeInterval = time.Second
	probeCount    = 2
	// maxIdle is the most idle connections that are kept for one upstream.
	maxIdle = 64
	// defaultIdleTime is how long a connection is kept whose upstream did not
	// say how long it keeps it.
	defaultIdleTime = 4 * time.Second
	// idleMargin is the part of the announced time that is used. A request must
	// not cross the upstream's close.
	idleMargin = 0.75
	// checkedIdleTime is how long a connection is kept that was only opened to check its upstream.
	checkedIdleTime = time.Second
	// readerSize holds the header of an answer, and several events of a stream.
	readerSize = 4 << 10
)

// Client exchanges requests with upstreams. Its zero value works. It is safe
// for concurrent use.
type Client struct {
	// Echoed returns the id of the request that an answer is for, empty when
	// the answer has none. Nil takes each answer for the right one.
	Echoed func(http.Header) fleet.RequestID
	// Opened is called with each new connection, unless it is nil.
	Opened func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	// until is when an idle connection isn't used any more.
	until time.Time
	fresh bool
}

// Do sends a request to the upstream at address and returns its answer as soon
// as the header has arrived. It fails with *Error. ctx bounds the exchange and
// the reading of the body.
func (c *Client) Do(ctx context.Context, address string, request Request) (*Answer, error) {
	connection, err := c.get(ctx, address)
	if err != nil {
		return nil, &Error{Address: address, Cause: causeOf(ctx, err)}
	}
	request.Probe.watch(connection)
	x := &exchange{client: c, conn: connection, address: address, written: make(chan struct{})}
	x.release = context.AfterFunc(ctx, x.abort)
	x.send(request)
	response, err := x.receive(request) //nolint:bodyclose // the answer closes it
	if err != nil {
		x.abort()
		<-x.written
		return nil, &Error{Address: address, Sent: x.sent, Cause: causeOf(ctx, err)}
	}
	return newAnswer(x, response), nil
}

// causeOf returns why an exchange failed: what ended its context, if that has,
// since the connection's error only shows that it was closed then.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// get returns an idle connection, or a new one.
func (c *Client) get(ctx context.Context, address string) (*conn, error) {
	if kept := c.take(address); kept != nil {
		return kept, nil
	}
	dialer := net.Dialer{
		Timeout: connectTimeout,
		Control: func(_, _ string, raw syscall.RawConn) error { return socket.BoundSilence(raw, maxSilence) },
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
	if c.Opened != nil {
		c.Opened()
	}
	return &conn{Conn: opened, raw: raw, reader: bufio.NewReaderSize(opened, readerSize), fresh: true}, nil
}

// Check returns an error if no connection to an upstream can be had. Nothing is sent.
func (c *Client) Check(ctx context.Context, address string) error {
	connection, err := c.get(ctx, address)
	if err != nil {
		return &Error{Address: address, Cause: causeOf(ctx, err)}
	}
	c.put(address, connection, checkedIdleTime)
	return nil
}

// take returns the idle connection that was used last, closing those that may
// not be used any more.
func (c *Client) take(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := c.idle[address]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		if now.Before(last.until) && !socket.Pending(last.raw) {
			c.idle[address] = list
			return last
		}
		_ = last.Close()
	}
	delete(c.idle, address)
	return nil
}

// put keeps a connection for the next exchange.
func (c *Client) put(address string, connection *conn, idleTime time.Duration) {
	connection.fresh = false
	connection.until = time.Now().Add(idleTime)
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

// Sweep closes the idle connections whose time is over, and all to addresses
// that keep refuses. Each holds a descriptor here and a place at its upstream.
func (c *Client) Sweep(now time.Time, keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, connection := range list {
			if keep(address) && now.Before(connection.until) {
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
