package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/socket"
	"nutmeglock.example/nutmeglock/upload"
)

// conn is a connection to an upstream.
type conn struct {
	*upload.Conn
	raw    syscall.RawConn
	head   *headLimiter
	reader *bufio.Reader
	// idleUntil is when an idle connection is no longer used.
	idleUntil time.Time
	isNew     bool
	// process is when the process at the other end started; zero if it wasn't asked.
	process registry.StartTime
	// peeking guards wasReset, which is set once a look for unread bytes has found that the upstream has reset the
	// connection. The system then tells it to no read.
	peeking  sync.Mutex
	wasReset bool
}

func newConn(opened net.Conn, raw syscall.RawConn) *conn {
	c := &conn{Conn: &upload.Conn{Conn: opened}, raw: raw, isNew: true}
	c.head = &headLimiter{inner: c}
	c.reader = bufio.NewReaderSize(c.head, readBufferSize)
	return c
}

// Read returns the error of a reset also if hasUnread has found it, so that an answer that it cuts off doesn't seem whole.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.peeking.Lock()
	defer c.peeking.Unlock()
	if c.wasReset {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// hasUnread reports whether data, the end or a reset of the connection is waiting to be read.
func (c *conn) hasUnread() bool {
	c.peeking.Lock()
	defer c.peeking.Unlock()
	readable, isReset := socket.Readable(c.raw)
	c.wasReset = c.wasReset || isReset
	return readable
}
