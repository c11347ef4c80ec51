package attempt

import (
	"sync"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/upload"
)

var errSealed = eris.New("the exchange has ended")

// conn is a connection that records how much of the current request was written.
type conn struct {
	*upload.Conn

	mu      sync.Mutex
	current *writeRecord
}

// begin starts a writeRecord for a new request on the connection, whose body has a length in bytes.
func (c *conn) begin(bodyBytes int64) *writeRecord {
	c.Begin(bodyBytes)
	r := &writeRecord{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = r
	return r
}

// Write writes to the connection unless the record of the current request is sealed.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	r := c.current
	c.mu.Unlock()
	if r == nil {
		return c.Conn.Write(p)
	}
	if !r.beginWrite(p) {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	r.endWrite(p[:n])
	return n, err
}

// writeRecord tracks what one request wrote to its connection.
type writeRecord struct {
	mu     sync.Mutex
	sealed bool
	// completed counts the writes that have returned, and upperBound also the one in
	// progress, as if all its bytes were written.
	completed  upload.Progress
	upperBound upload.Progress
}

func (r *writeRecord) beginWrite(p []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sealed {
		return false
	}
	r.upperBound = r.completed.Add(p)
	return true
}

func (r *writeRecord) endWrite(written []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed = r.completed.Add(written)
	r.upperBound = r.completed
}

// seal returns an upper bound of what was written and makes later writes fail.
//
// When a context ends, net/http returns while the goroutine that writes the request
// may not have started. A request reported as not-run from the count alone would then
// be sent a moment later, and run in addition to the caller's retry.
func (r *writeRecord) seal() upload.Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
	return r.upperBound
}
