// Package upload tells whether a server has taken a whole request. An answer with neither a length nor chunks ends with
// its connection, and the end says nothing about whether the answer is whole while the server hasn't taken the request.
package upload

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"nutmeglock.example/nutmeglock/socket"
)

const (
	// maxStall is how long a server that has ended its answer may take no more of the request. TCP resends a lost packet
	// after 200 ms and once more after another 400 ms.
	maxStall = 700 * time.Millisecond
	// pollInterval is the time between two looks at what the server has taken.
	pollInterval = 5 * time.Millisecond
)

// Conn is a client's connection to a server that answers one request after the other. Its reads return io.EOF only if
// the server has taken the whole request, and *CutOffError otherwise.
//
// The system reports a reset of a connection once: if the writer of a long request learns of it, the reader sees an
// ordinary end. A server may also close its side before it resets the connection.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	request request
}

// request is what a connection has written of the current request.
type request struct {
	isAnnounced bool
	bodyBytes   int64
	progress    Progress
	writeErr    error
}

func (r *request) isWritten() bool { return r.progress.HeaderSent && r.progress.Body >= r.bodyBytes }

func (r *request) cutOff(cause error) error {
	return &CutOffError{Written: r.progress.Written, Cause: cause}
}

// Begin announces the next request, whose body has a length in bytes.
func (c *Conn) Begin(bodyBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = request{isAnnounced: true, bodyBytes: bodyBytes}
}

// Write writes a part of the request.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.progress = c.request.progress.Add(p[:n])
	c.request.writeErr = err
	return n, err
}

// Read reads a part of the answer. At the end of the connection it waits while the server takes the rest of the request.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.awaitTaken()
	}
	return n, err
}

// awaitTaken returns io.EOF once the server has taken the request, or *CutOffError.
func (c *Conn) awaitTaken() error {
	var acknowledged uint64
	progressAt := time.Now()
	for {
		current := c.current()
		queue, err := c.sendQueue()
		switch {
		case !current.isAnnounced:
			return io.EOF
		case current.writeErr != nil:
			return current.cutOff(current.writeErr)
		case err != nil:
			return current.cutOff(err)
		case queue.IsClosed:
			return current.cutOff(syscall.ECONNRESET)
		case current.isWritten() && !queue.IsPending:
			return io.EOF
		case queue.Acknowledged > acknowledged:
			acknowledged, progressAt = queue.Acknowledged, time.Now()
		case time.Since(progressAt) > maxStall:
			return current.cutOff(io.ErrUnexpectedEOF)
		}
		time.Sleep(pollInterval)
	}
}

func (c *Conn) current() request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.request
}

// sendQueue returns the state of what was written, as far as the system tells it.
func (c *Conn) sendQueue() (socket.SendQueue, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return socket.SendQueue{}, nil
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return socket.SendQueue{}, err
	}
	return socket.SendQueueOf(raw)
}
