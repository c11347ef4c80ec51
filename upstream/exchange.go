package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nutmeglock.example/nutmeglock/answer"
	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/segment"
)

const (
	// maxInlineRequest is the size in bytes up to which a request is written before the answer is
	// read. A larger one may not fit into the buffers on the way, and an answer that the upstream
	// sends before it has read everything would go unread.
	maxInlineRequest = 16 << 10
	// writeTimeout bounds how long the rest of a request may take after the answer has ended. The
	// upstream may still be reading; a connection on which the rest was never sent can't be reused.
	writeTimeout = 300 * time.Millisecond
	// maxStrayAnswers is how many answers to other requests are skipped.
	maxStrayAnswers = 2
	// maxStrayBody is the maximum body size of a skipped answer, in bytes.
	maxStrayBody = 64 << 10
)

// Request is a request to an upstream. URI and Host are sent as the caller wrote them.
type Request struct {
	ID     fleet.RequestID
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   segment.List
	// Process is when the upstream's process must have started; zero means any time.
	Process registry.StartTime
	// Probe, unless nil, is attached to the request's connection.
	Probe *Probe
	// Permit, unless nil, is called before a connection is opened and again right before the request is sent. If it
	// returns an error, nothing is sent.
	Permit func() error
}

func (r Request) permit() error {
	if r.Permit == nil {
		return nil
	}
	return r.Permit()
}

// encodeHead returns the request's head in wire format, with room for more bytes behind it. The body always has a
// Content-Length, even if the caller sent it in chunks.
func (r Request) encodeHead(length, room int) []byte {
	var b bytes.Buffer
	b.Grow(room + 1024)
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
	if length > 0 || !attempt.IsBodyless(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(length))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// encode returns the request in wire format, in few segments. A long body isn't copied.
func (r Request) encode() segment.List {
	length := r.Body.Len()
	if length > maxInlineRequest {
		return append(segment.List{r.encodeHead(length, 0)}, r.Body...)
	}
	return segment.List{r.Body.AppendTo(r.encodeHead(length, length))}
}

// exchange is one request and its answer on a connection.
type exchange struct {
	client  *Client
	conn    *conn
	address string
	// writeDone is closed once the request was written, or that has failed. sent and writeErr are
	// set before.
	writeDone chan struct{}
	sent      bool
	writeErr  error
	stopAbort func() bool
}

// abort closes the connection, which also unblocks pending reads and writes.
func (x *exchange) abort() { _ = x.conn.Close() }

func (x *exchange) send(request Request) {
	data := request.encode()
	x.conn.Begin(int64(request.Body.Len()))
	if data.Len() <= maxInlineRequest {
		x.write(data)
		return
	}
	x.sent = true
	go x.write(data)
}

// write writes the request and records whether a byte may have been sent. An answer may follow even
// if it fails: an upstream that refuses early closes its receiving side.
func (x *exchange) write(data segment.List) {
	n, err := data.WriteTo(x.conn)
	if n > 0 {
		x.sent = true
	}
	x.writeErr = err
	close(x.writeDone)
}

// receive reads the header of the answer to this request, skipping answers to others.
func (x *exchange) receive(request Request) (*http.Response, error) {
	for stray := 0; ; {
		response, err := x.readHead(request)
		if err != nil {
			return nil, err
		}
		if x.answersRequest(request.ID, response.Header) {
			return response, nil
		}
		stray++
		if stray > maxStrayAnswers || response.ContentLength < 0 || response.ContentLength > maxStrayBody {
			return nil, &StrayAnswersError{Count: stray}
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
}

// readHead reads the header of the next answer, skipping interim ones.
func (x *exchange) readHead(request Request) (*http.Response, error) {
	httpRequest := &http.Request{Method: request.Method}
	x.conn.head.begin(x.conn.reader.Buffered())
	defer x.conn.head.end()
	for range maxInterimAnswers + 1 {
		response, err := http.ReadResponse(x.conn.reader, httpRequest)
		if x.conn.head.exceeded {
			return nil, &HeadTooLargeError{Bytes: maxHeadBytes}
		}
		if err == nil {
			err = answer.CheckHead(response)
		}
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, &HeadTooLargeError{Bytes: maxHeadBytes, InterimAnswers: maxInterimAnswers}
}

// answersRequest reports whether an answer belongs to a request. The id may be missing only on a
// new connection, where no other answer can be left over.
func (x *exchange) answersRequest(id fleet.RequestID, header http.Header) bool {
	if x.client.EchoedID == nil {
		return true
	}
	echoed := x.client.EchoedID(header)
	return echoed == id || (echoed == "" && x.conn.isNew)
}

// finish returns the connection to the pool if both directions are complete, and else closes it.
func (x *exchange) finish(complete bool, idleTime time.Duration) {
	if !x.stopAbort() || !complete || !x.awaitWritten() || x.conn.reader.Buffered() > 0 {
		x.abort()
		return
	}
	x.client.putIdle(x.address, x.conn, idleTime)
}

// awaitWritten reports whether the whole request was sent. It waits up to writeTimeout.
func (x *exchange) awaitWritten() bool {
	select {
	case <-x.writeDone:
		return x.writeErr == nil
	default:
	}
	t := time.NewTimer(writeTimeout)
	defer t.Stop()
	select {
	case <-x.writeDone:
		return x.writeErr == nil
	case <-t.C:
		return false
	}
}

// Answer is an answer whose header has arrived. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if the header doesn't state it.
	Length int64
	// Unframed is true when the body has neither a length nor chunks, so that it ends with its connection.
	Unframed bool
	Body     io.ReadCloser
	// Closing is true when the upstream closes the connection after this answer.
	Closing bool
}

func newAnswer(x *exchange, response *http.Response) *Answer {
	idle := parseKeepAlive(response.Header.Get("Keep-Alive"))
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		Body:     &body{inner: response.Body, exchange: x, idleTime: idle, closesConnection: response.Close || idle <= 0},
		Closing:  response.Close,
		Unframed: isUnframed(response),
	}
}

func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

// parseKeepAlive returns how long an idle connection may be kept according to a Keep-Alive field.
func parseKeepAlive(field string) time.Duration {
	for parameter := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return defaultIdleTime
		}
		return time.Duration(float64(seconds) * idleFraction * float64(time.Second))
	}
	return defaultIdleTime
}

// body is the body of an Answer. At its end it returns the connection to the pool.
type body struct {
	inner            io.ReadCloser
	exchange         *exchange
	idleTime         time.Duration
	closesConnection bool
	ended            bool
}

// Read returns io.EOF only after a complete body, and *Error if the body broke off.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		b.endExchange(true)
		return n, err
	}
	b.endExchange(false)
	return n, &Error{Address: b.exchange.address, Sent: true, Answered: true, Cause: err}
}

// Close ends the exchange. If the body wasn't read to its end, the connection is closed, so that
// the upstream stops.
func (b *body) Close() error {
	b.endExchange(false)
	return nil
}

func (b *body) endExchange(complete bool) {
	if b.ended {
		return
	}
	b.ended = true
	b.exchange.finish(complete && !b.closesConnection, b.idleTime)
}
