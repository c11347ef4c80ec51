package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/socket"
)

const (
	// silenceMargin is how long after its request's deadline a helper that sends nothing counts as
	// lost. It ends the request at the deadline itself, and its answer may be late by the wait for
	// its processor.
	silenceMargin = time.Second
	// lingerTime is how long a caller that still sends its body may take to read the answer. Closing
	// a connection with unread data resets it, and the answer could be lost.
	lingerTime = 500 * time.Millisecond
	// headBufferSize, in bytes, is enough for most heads and what the server has buffered of a body.
	headBufferSize = 8 << 10
)

// badGateway answers a request whose helper was lost before its answer began. It may have run, so nothing is said of
// when to return.
const badGateway = "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var errNoAnswer = eris.New("the helper closed the connection without an answer")

// BrokenError reports a relay that ended without a whole answer after the request was sent. The
// request may have run.
type BrokenError struct{ Cause error }

// Error returns a message with the cause.
func (e *BrokenError) Error() string { return "relay broken: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// headBuffers holds buffers for the first write to a helper.
var headBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, headBufferSize)
	return &buffer
}}

// Relay is a request that is handed over.
type Relay struct {
	Request *http.Request
	// Caller is the caller's connection, taken from the server, and Buffered what the server has read
	// from it beyond the head.
	Caller   net.Conn
	Buffered *bufio.Reader
	// Helper is a connection that a Dialer has opened.
	Helper *net.TCPConn
	// Deadline is that of the request.
	Deadline time.Time

	// bodySent is set once the whole body was sent, if its length is known, and callerGone once the
	// caller has disconnected.
	bodySent, callerGone atomic.Bool
}

// Run sends the request and copies the answer until one side ends, and closes both connections. The
// error is *BrokenError if the helper ended without an answer or was silent for too long. A caller
// that disconnects is no error: the helper then cancels the request, as its connection is closed.
func (r *Relay) Run() error {
	defer r.Close()
	unsent, err := r.sendHead()
	if err != nil {
		return &BrokenError{Cause: err}
	}
	uploaded := make(chan struct{})
	go func() {
		defer close(uploaded)
		r.upload(unsent)
	}()
	copied, err := r.download()
	if err == nil && copied == 0 {
		err = errNoAnswer
	}
	switch {
	case r.isCallerGone():
		err = nil
	case copied == 0:
		_, _ = io.WriteString(r.Caller, badGateway) // the error already says that the relay broke
		r.linger(uploaded)
	case err == nil:
		r.linger(uploaded)
	}
	r.Close()
	<-uploaded
	if err != nil {
		return &BrokenError{Cause: err}
	}
	return nil
}

// Close closes both connections, which ends Run.
func (r *Relay) Close() {
	_ = r.Caller.Close() // first, so that Run answers nothing once the router ends
	_ = r.Helper.Close()
}

// sendHead sends the request's head and the part of its body that the server has buffered. It
// returns the number of bytes of the body that are still unsent, negative if that is unknown.
func (r *Relay) sendHead() (int64, error) {
	buffer := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buffer)
	*buffer = appendHead((*buffer)[:0], r.Request)
	// What follows a body of known length is another request on the same connection. It isn't sent:
	// the answer says that the connection closes, so the caller knows that it wasn't read. The end
	// of a chunked body isn't known here, and the helper ignores what follows it.
	unsent := r.Request.ContentLength
	taken := r.Buffered.Buffered()
	if unsent >= 0 {
		taken = int(min(int64(taken), unsent))
		unsent -= int64(taken)
	}
	body, err := r.Buffered.Peek(taken)
	if err != nil {
		return 0, err
	}
	*buffer = append(*buffer, body...)
	_, err = r.Helper.Write(*buffer)
	return unsent, err
}

// upload sends the rest of the body, waits until the caller disconnects and then closes the
// connection to the helper.
func (r *Relay) upload(unsent int64) {
	if unsent < 0 {
		_, _ = io.Copy(r.Helper, r.Caller)
	} else {
		sent, _ := io.Copy(r.Helper, io.LimitReader(r.Caller, unsent))
		r.bodySent.Store(sent == unsent)
	}
	// If the helper has closed its side, the answer may still be on its way to the caller.
	_, err := io.Copy(io.Discard, r.Caller)
	r.callerGone.Store(err == nil || errors.Is(err, syscall.ECONNRESET))
	_ = r.Helper.Close()
}

// download copies the answer and returns the number of its bytes. It returns no error if the helper
// has closed its side.
func (r *Relay) download() (int64, error) {
	silentAt := r.Deadline.Add(silenceMargin)
	total := int64(0)
	for {
		if err := r.Helper.SetReadDeadline(silentAt); err != nil {
			return total, err
		}
		n, err := io.Copy(r.Caller, r.Helper)
		total += n
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return total, err
		}
		// The caller may read a long answer slowly that was ready in time.
		silentAt = time.Now().Add(silenceMargin)
	}
}

// linger lets a caller that still sends its body read the answer.
func (r *Relay) linger(uploaded <-chan struct{}) {
	if r.bodySent.Load() {
		return
	}
	if half, ok := r.Caller.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = r.Caller.SetReadDeadline(time.Now().Add(lingerTime))
	<-uploaded
}

// isCallerGone reports whether the caller has disconnected.
func (r *Relay) isCallerGone() bool {
	if r.callerGone.Load() {
		return true
	}
	conn, ok := r.Caller.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	return err == nil && socket.PeerClosed(raw)
}
