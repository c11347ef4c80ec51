package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// inlineRequest is the largest request that is written before the answer is
	// read. A larger one may not fit into the buffers on the way, and an
	// upstream that answers before it has read all would never be heard.
	inlineRequest = 16 << 10
	// writeGrace is how long the rest of a request may take after the answer
	// has ended. The upstream may read on; a connection of which the rest was
	// never sent can't be used again.
	writeGrace = 300 * time.Millisecond
	// maxStray bounds the answers to other requests that are passed over.
	maxStray = 2
	// maxStrayBody bounds the body of one of them, in bytes.
	maxStrayBody = 64 << 10
)

// Request is what is sent. URI and Host stand as the caller wrote them.
type Request struct {
	ID     fleet.RequestID
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Probe, unless it is nil, tells from now on what has arrived of the answer.
	Probe *Probe
}

// encode returns the bytes of a request. Its body has a length, whatever way
// the caller sent it.
func (r Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || !attempt.UsuallyEmpty(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// exchange is one request and its answer on a connection.
type exchange struct {
	client  *Client
	conn    *conn
	address string
	// written is closed once sending has ended. sent and failed are set before.
	written chan struct{}
	sent    bool
	failed  error
	release func() bool
}

// abort closes the connection, which also ends what waits on it.
func (x *exchange) abort() { _ = x.conn.Close() }

func (x *exchange) send(request Request) {
	data := request.encode()
	if len(data) <= inlineRequest {
		x.write(data)
		return
	}
	x.sent = true
	go x.write(data)
}

// write notes whether a byte may have left. A write that failed may still be
// followed by an answer: an upstream that refuses early closes its reading side.
func (x *exchange) write(data []byte) {
	n, err := x.conn.Write(data)
	if n > 0 {
		x.sent = true
	}
	x.failed = err
	close(x.written)
}

// receive reads the header of the answer to this request, passing over
// answers to others.
func (x *exchange) receive(sent Request) (*http.Response, error) {
	request := &http.Request{Method: sent.Method}
	for stray := 0; ; {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if x.isFor(sent.ID, response.Header) {
			return response, nil
		}
		stray++
		if stray > maxStray || response.ContentLength < 0 || response.ContentLength > maxStrayBody {
			return nil, &StrayAnswersError{Count: stray}
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
}

// isFor reports whether an answer is for a request. Only on a new connection,
// where no other answer can be left over, may the id be missing.
func (x *exchange) isFor(id fleet.RequestID, header http.Header) bool {
	if x.client.Echoed == nil {
		return true
	}
	echoed := x.client.Echoed(header)
	return echoed == id || (echoed == "" && x.conn.fresh)
}

// end gives the connection back when both directions ended whole.
func (x *exchange) end(whole bool, idleTime time.Duration) {
	if !x.release() || !whole || !x.hasWritten() || x.conn.reader.Buffered() > 0 {
		x.abort()
		return
	}
	x.client.put(x.address, x.conn, idleTime)
}

// hasWritten reports whether the whole request was sent, waiting a little.
func (x *exchange) hasWritten() bool {
	select {
	case <-x.written:
		return x.failed == nil
	default:
	}
	t := time.NewTimer(writeGrace)
	defer t.Stop()
	select {
	case <-x.written:
		return x.failed == nil
	case <-t.C:
		return false
	}
}

// Answer is an answer whose header has arrived. Its body has to be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body in bytes, -1 when the header doesn't tell.
	Length int64
	Body   io.ReadCloser
	// Closing is true when the upstream closes the connection after the answer.
	Closing bool
}

func newAnswer(x *exchange, response *http.Response) *Answer {
	idle := idleTime(response.Header.Get("Keep-Alive"))
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		Body:    &body{inner: response.Body, exchange: x, idleTime: idle, isLast: response.Close || idle <= 0},
		Closing: response.Close,
	}
}

// idleTime returns how long a connection may be kept by a Keep-Alive field.
func idleTime(field string) time.Duration {
	for parameter := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return defaultIdleTime
		}
		return time.Duration(float64(seconds) * idleMargin * float64(time.Second))
	}
	return defaultIdleTime
}

// body is the body of an Answer. It gives the connection back at its end.
type body struct {
	inner    io.ReadCloser
	exchange *exchange
	idleTime time.Duration
	isLast   bool
	ended    bool
}

// Read reads from the body. It returns io.EOF only after a whole body, and
// *Error when it broke off.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		b.finish(true)
		return n, err
	}
	b.finish(false)
	return n, &Error{Address: b.exchange.address, Sent: true, Answered: true, Cause: err}
}

// Close ends the exchange. A body that wasn't read to its end takes its
// connection with it, which tells the upstream to stop.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(whole bool) {
	if b.ended {
		return
	}
	b.ended = true
	b.exchange.end(whole && !b.isLast, b.idleTime)
}
