package attempt

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/answer"
	"nutmeglock.example/nutmeglock/socket"
	"nutmeglock.example/nutmeglock/upload"
)

const (
	// defaultConnectTimeout allows for one lost SYN, which is retransmitted after
	// a second; data centres are about a millisecond apart.
	defaultConnectTimeout = 1500 * time.Millisecond
	// defaultMaxIdleConns is the number of slots of a busy engine.
	defaultMaxIdleConns = 32
	// idleTimeout is below the usual keep-alive timeouts of servers (a minute and
	// more), so that mostly the router closes a connection.
	idleTimeout = 30 * time.Second
	// defaultMaxSilence is as long as an engine keeps a stream without a reader.
	defaultMaxSilence = 10 * time.Second
	// An idle connection is probed after probeIdle, and closed after probeCount
	// probes without an answer: after 19 s in all.
	probeIdle     = 10 * time.Second
	probeInterval = 3 * time.Second
	probeCount    = 3
	// maxAnswerHeaderBytes bounds an answer's header, in bytes.
	maxAnswerHeaderBytes = 64 << 10
	// maxRefusalBodyBytes bounds how much of a refusal is read in order to reuse its
	// connection, in bytes.
	maxRefusalBodyBytes = 16 << 10
)

// Client sends requests to upstreams. Its zero value is ready to use. It is safe for
// concurrent use.
type Client struct {
	// ConnectTimeout bounds the opening of a connection; zero means 1.5 s.
	ConnectTimeout time.Duration
	// MaxSilence bounds how long sent bytes may remain unacknowledged, or unsent
	// because the upstream does not read; zero means 10 s.
	MaxSilence time.Duration
	// MaxIdle bounds the idle connections kept for one upstream; zero means 32.
	MaxIdle int

	once      sync.Once
	keepAlive *http.Transport
	singleUse *http.Transport
}

// Do sends a request to the upstream at address and returns its answer once the
// header was read. It fails with *Error. ctx bounds the exchange and the reading of
// the body.
func (c *Client) Do(ctx context.Context, address string, request Request) (*Answer, error) {
	c.once.Do(c.initTransports)
	start := time.Now()
	x := &exchange{bodyBytes: int64(len(request.Body))}
	out, err := newRequest(httptrace.WithClientTrace(ctx, x.trace()), address, request)
	if err != nil {
		return nil, &Error{Address: address, Cause: err}
	}
	response, err := c.transportFor(request).RoundTrip(out)
	if err != nil {
		return nil, &Error{Address: address, Facts: x.close(), Cause: err}
	}
	if err := answer.CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, &Error{Address: address, Facts: x.close(), Cause: err}
	}
	if refused := refusalOf(response); refused != "" {
		drainAndClose(response.Body)
		facts := x.close()
		facts.Refused = refused
		return nil, &Error{Address: address, Facts: facts, Cause: eris.Errorf("upstream refused: %s", refused)}
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		Body: &answerBody{ReadCloser: response.Body, address: address}, TimeToHeader: time.Since(start),
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.initTransports)
	c.keepAlive.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

func (c *Client) initTransports() {
	c.keepAlive = c.newTransport()
	c.singleUse = c.newTransport()
	c.singleUse.DisableKeepAlives = true
}

func (c *Client) newTransport() *http.Transport {
	silence := c.MaxSilence
	if silence == 0 {
		silence = defaultMaxSilence
	}
	dialer := &net.Dialer{
		Timeout:         c.ConnectTimeout,
		Control:         func(_, _ string, raw syscall.RawConn) error { return socket.SetUserTimeout(raw, silence) },
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	if dialer.Timeout == 0 {
		dialer.Timeout = defaultConnectTimeout
	}
	maxIdle := c.MaxIdle
	if maxIdle == 0 {
		maxIdle = defaultMaxIdleConns
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			inner, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: &upload.Conn{Conn: inner}}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

// transportFor returns the transport for a request: singleUse, which opens a connection
// per request, if the request may run at most once or if net/http would consider it
// replayable, for which an Idempotency-Key and an empty body are enough.
func (c *Client) transportFor(request Request) *http.Transport {
	if !request.Idempotent || (len(request.Body) == 0 && !IsBodyless(request.Method)) {
		return c.singleUse
	}
	return c.keepAlive
}

// IsBodyless reports whether requests with a method usually have no body, so that
// an empty body is sent without a Content-Length.
func IsBodyless(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// nonRewindableBody is a request body that can't be rewound. Without GetBody,
// net/http can't send such a request a second time.
type nonRewindableBody struct{ *bytes.Reader }

func (nonRewindableBody) Close() error { return nil }

func newRequest(ctx context.Context, address string, request Request) (*http.Request, error) {
	path, err := url.Parse(request.Path)
	if err != nil || !strings.HasPrefix(request.Path, "/") {
		return nil, eris.Errorf("path %q is not an absolute path", request.Path)
	}
	out := (&http.Request{
		Method: request.Method, Host: address, Header: forwardedHeader(request.Header),
		URL:           &url.URL{Scheme: "http", Host: address, Path: path.Path, RawPath: path.RawPath, RawQuery: path.RawQuery},
		Body:          nonRewindableBody{bytes.NewReader(request.Body)},
		ContentLength: int64(len(request.Body)),
	}).WithContext(ctx)
	if len(request.Body) == 0 && !IsBodyless(request.Method) {
		out.Body = http.NoBody
	}
	out.Header.Set(RequestIDHeader, string(request.ID))
	if request.StreamID != "" {
		out.Header.Set(StreamIDHeader, request.StreamID)
	}
	return out, nil
}

// droppedHeaders are the header fields that are not forwarded: first the nine hop-by-hop
// fields, then those that are set anew, and the caller's credentials, which are for
// nutmeglock only.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host", "Authorization",
}

func forwardedHeader(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	StripHopByHop(out)
	for _, name := range droppedHeaders {
		out.Del(name)
	}
	if out.Get("User-Agent") == "" {
		out.Set("User-Agent", "nutmeglock")
	}
	return out
}

// StripHopByHop removes the hop-by-hop fields of a header.
func StripHopByHop(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range droppedHeaders[:9] {
		header.Del(name)
	}
}

func refusalOf(answer *http.Response) UpstreamRefusal {
	if answer.StatusCode != http.StatusServiceUnavailable && answer.StatusCode != http.StatusTooManyRequests {
		return ""
	}
	return UpstreamRefusal(answer.Header.Get(RefusedHeader))
}

func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxRefusalBodyBytes)
	_ = body.Close()
}

// answerBody returns *Error from Read if the answer is incomplete.
type answerBody struct {
	io.ReadCloser
	address string
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	facts := Facts{Connected: true, HeaderSent: true, AnswerStarted: true, AnswerHeaderRead: true}
	return n, &Error{Address: b.address, Facts: facts, Cause: err}
}
