package attempt

import (
	"bytes"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

var errSealed = eris.New("the exchange was given up")

// conn is a connection that knows how much of the current request it carried.
type conn struct {
	net.Conn

	mu      sync.Mutex
	current *record
}

// begin starts the record of a new request on the connection.
func (c *conn) begin() *record {
	r := &record{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = r
	return r
}

// Write passes bytes on unless the current request was sealed.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	r := c.current
	c.mu.Unlock()
	if r == nil {
		return c.Conn.Write(p)
	}
	if !r.start(p) {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	r.finish(p[:n])
	return n, err
}

// record is what one request wrote to its connection.
type record struct {
	mu     sync.Mutex
	sealed bool
	// settled counts the writes that have returned, assumed also the one that
	// is under way, as if all of it were written.
	settled progress
	assumed progress
}

func (r *record) start(p []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sealed {
		return false
	}
	r.assumed = r.settled.plus(p)
	return true
}

func (r *record) finish(written []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled = r.settled.plus(written)
	r.assumed = r.settled
}

// seal returns the most that was written and lets nothing follow.
//
// When a context ends, net/http returns to its caller while the goroutine that
// writes the request may not have started. A request called not-run on the
// count alone would then be sent a moment later, seen as a run of a request
// that the caller was told to repeat. After seal the late write fails.
func (r *record) seal() progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
	return r.assumed
}

// progress follows a request's bytes to the end of its header.
type progress struct {
	written     int64
	headerWhole bool
	tail        string
}

var headerEnd = []byte("\r\n\r\n")

func (p progress) plus(b []byte) progress {
	p.written += int64(len(b))
	if p.headerWhole {
		return p
	}
	seen := append([]byte(p.tail), b...)
	if bytes.Contains(seen, headerEnd) {
		p.headerWhole = true
		p.tail = ""
		return p
	}
	p.tail = string(seen[max(0, len(seen)-len(headerEnd)+1):])
	return p
}
