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

	"nutmeglock.example/nutmeglock/socket"
)

const (
	// defaultConnectTimeout allows for one lost SYN, which is sent again after
	// a second; data centres are about a millisecond apart.
	defaultConnectTimeout = 1500 * time.Millisecond
	// defaultMaxIdle keeps as many connections as a busy engine has slots.
	defaultMaxIdle = 32
	// idleTimeout is below the usual keep-alive timeouts of servers (a minute
	// and more), so that it is mostly this side that closes.
	idleTimeout = 30 * time.Second
	// defaultMaxSilence is as long as an engine keeps a stream without a reader.
	defaultMaxSilence = 10 * time.Second
	// A connection on which nothing is sent is probed after probeIdle, and
	// given up after probeCount probes without an answer: after 19 s in all.
	probeIdle     = 10 * time.Second
	probeInterval = 3 * time.Second
	probeCount    = 3
	// maxAnswerHeader bounds an answer's header, in bytes.
	maxAnswerHeader = 64 << 10
	// maxRefusalBody bounds what is read of a refusal so that its connection
	// can be used again, in bytes.
	maxRefusalBody = 16 << 10
)

// Client makes exchanges. Its zero value works. It is safe for concurrent use.
type Client struct {
	// ConnectTimeout bounds the opening of a connection; zero means 1.5 s.
	ConnectTimeout time.Duration
	// MaxSilence bounds how long bytes stay unacknowledged or can't be sent
	// because the upstream does not read; zero means 10 s.
	MaxSilence time.Duration
	// MaxIdle bounds the idle connections kept for one upstream; zero means 32.
	MaxIdle int

	once   sync.Once
	reused *http.Transport
	fresh  *http.Transport
}

// Do sends a request to the upstream at address and returns its answer as soon
// as the header has arrived. It fails with *Error. ctx bounds the exchange and
// the reading of the body.
func (c *Client) Do(ctx context.Context, address string, request Request) (*Answer, error) {
	c.once.Do(c.start)
	start := time.Now()
	x := &exchange{}
	out, err := build(httptrace.WithClientTrace(ctx, x.trace()), address, request)
	if err != nil {
		return nil, &Error{Address: address, Cause: err}
	}
	in, err := c.transport(request).RoundTrip(out) //nolint:bodyclose // the answer's reader closes it
	if err != nil {
		return nil, &Error{Address: address, Facts: x.close(), Cause: err}
	}
	if refused := refusedBy(in); refused != "" {
		discard(in.Body)
		facts := x.close()
		facts.Refused = refused
		return nil, &Error{Address: address, Facts: facts, Cause: eris.Errorf("upstream refused: %s", refused)}
	}
	return &Answer{
		Status: in.StatusCode, Header: in.Header, Length: in.ContentLength,
		Body: &body{ReadCloser: in.Body, address: address}, FirstByte: time.Since(start),
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.start)
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

func (c *Client) start() {
	c.reused = c.newTransport()
	c.fresh = c.newTransport()
	c.fresh.DisableKeepAlives = true
}

func (c *Client) newTransport() *http.Transport {
	silence := c.MaxSilence
	if silence == 0 {
		silence = defaultMaxSilence
	}
	dialer := &net.Dialer{
		Timeout:         c.ConnectTimeout,
		Control:         func(_, _ string, raw syscall.RawConn) error { return socket.BoundSilence(raw, silence) },
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	if dialer.Timeout == 0 {
		dialer.Timeout = defaultConnectTimeout
	}
	maxIdle := c.MaxIdle
	if maxIdle == 0 {
		maxIdle = defaultMaxIdle
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			inner, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: inner}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

// transport returns one that opens a connection for the request alone when the
// request may run once at most, or when net/http would take it for repeatable:
// an Idempotency-Key and no body are enough for that.
func (c *Client) transport(request Request) *http.Transport {
	if !request.Idempotent || (len(request.Body) == 0 && !UsuallyEmpty(request.Method)) {
		return c.fresh
	}
	return c.reused
}

// UsuallyEmpty reports whether requests of a method usually have no body, so that
// no length is announced for an empty one.
func UsuallyEmpty(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// onceBody is a request body that can't be rewound. With it, and without
// GetBody, net/http has no way to send a request a second time.
type onceBody struct{ *bytes.Reader }

func (onceBody) Close() error { return nil }

func build(ctx context.Context, address string, request Request) (*http.Request, error) {
	path, err := url.Parse(request.Path)
	if err != nil || !strings.HasPrefix(request.Path, "/") {
		return nil, eris.Errorf("path %q is no absolute path", request.Path)
	}
	out := (&http.Request{
		Method: request.Method, Host: address, Header: sendable(request.Header),
		URL:           &url.URL{Scheme: "http", Host: address, Path: path.Path, RawPath: path.RawPath, RawQuery: path.RawQuery},
		Body:          onceBody{bytes.NewReader(request.Body)},
		ContentLength: int64(len(request.Body)),
	}).WithContext(ctx)
	if len(request.Body) == 0 && !UsuallyEmpty(request.Method) {
		out.Body = http.NoBody
	}
	out.Header.Set(RequestIDHeader, string(request.ID))
	if request.Stream != "" {
		out.Header.Set(StreamIDHeader, request.Stream)
	}
	return out, nil
}

// dropped are the fields that are not passed on: those of one connection, and
// the caller's credentials, which are for nutmeglock alone.
var dropped = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host", "Authorization",
}

func sendable(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	StripHopByHop(out)
	for _, name := range dropped {
		out.Del(name)
	}
	if out.Get("User-Agent") == "" {
		out.Set("User-Agent", "nutmeglock")
	}
	return out
}

// StripHopByHop removes the fields of a header that concern one connection.
func StripHopByHop(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range dropped[:9] {
		header.Del(name)
	}
}

func refusedBy(answer *http.Response) Refused {
	if answer.StatusCode != http.StatusServiceUnavailable && answer.StatusCode != http.StatusTooManyRequests {
		return ""
	}
	return Refused(answer.Header.Get(RefusedHeader))
}

func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxRefusalBody)
	_ = body.Close()
}

// body turns a broken answer into *Error.
type body struct {
	io.ReadCloser
	address string
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	facts := Facts{Connected: true, HeaderWhole: true, AnswerByte: true, AnswerHeader: true}
	return n, &Error{Address: b.address, Facts: facts, Cause: err}
}
