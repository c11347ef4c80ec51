package relay

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Admitter decides which relays a helper accepts. It must be safe for concurrent use.
type Admitter interface {
	// Admit returns the verdict on a relay.
	Admit(p Preamble) Verdict
	// Release is called once for each accepted relay, when its connection is closed.
	Release()
	// HandleMalformed is called for a connection that doesn't begin with a preamble.
	HandleMalformed(remote net.Addr, err error)
}

// Listener accepts the connections of relays for an HTTP server. The preamble is read in the
// goroutine that serves the connection, before the request.
type Listener struct {
	net.Listener
	Admitter Admitter
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, net.UnknownNetworkError(conn.LocalAddr().Network())
	}
	return &Conn{TCPConn: tcp, admitter: l.Admitter}, nil
}

// The states of a Conn.
const (
	stateNew = iota
	stateAccepted
	stateClosed
)

// Conn is the connection of a relay, as an HTTP server sees it.
type Conn struct {
	*net.TCPConn
	admitter Admitter
	// isOpen is set by the first Read; only one goroutine reads at a time.
	isOpen  bool
	arrived time.Time
	state   atomic.Int32
}

// Read reads from the request. The first call reads and answers the preamble before that. It returns
// io.EOF if the relay is rejected, so that the server answers nothing.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.isOpen && !c.open() {
		return 0, io.EOF
	}
	return c.TCPConn.Read(p)
}

// open reads the preamble and sends the verdict, and reports whether the relay is accepted.
func (c *Conn) open() bool {
	preamble, err := readPreamble(c.TCPConn)
	if err != nil {
		c.admitter.HandleMalformed(c.RemoteAddr(), err)
		return false
	}
	c.arrived = time.Now().Add(-preamble.Age)
	verdict := c.admitter.Admit(preamble)
	if verdict == Accepted && !c.state.CompareAndSwap(stateNew, stateAccepted) {
		c.admitter.Release() // it was closed meanwhile
		return false
	}
	if _, err := c.Write([]byte{byte(verdict)}); err != nil {
		return false
	}
	c.isOpen = verdict == Accepted
	return c.isOpen
}

// Arrived returns when the head of the request was read by the router that handed it over. It may be
// called once the server has read the request.
func (c *Conn) Arrived() time.Time { return c.arrived }

// Close closes the connection.
func (c *Conn) Close() error {
	if c.state.Swap(stateClosed) == stateAccepted {
		c.admitter.Release()
	}
	return c.TCPConn.Close()
}
