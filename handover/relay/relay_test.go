package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/handover"
	"nutmeglock.example/nutmeglock/handover/relay"
)

// token is that of the helper in tests.
var token = handover.Token{1, 2, 3}

// helper is a helping router that serves relays with a handler.
type helper struct {
	address string
	server  *http.Server
	// active is the number of accepted relays that aren't closed, and served the number of requests.
	active, served, malformed atomic.Int64
}

func (h *helper) Admit(p relay.Preamble) relay.Verdict {
	if !p.Token.Equal(token) {
		return relay.WrongToken
	}
	h.active.Add(1)
	return relay.Accepted
}

func (h *helper) Release()                        { h.active.Add(-1) }
func (h *helper) HandleMalformed(net.Addr, error) { h.malformed.Add(1) }

type connKey struct{}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

func startHelper(t *testing.T, handler http.HandlerFunc) *helper {
	t.Helper()
	listener := listen(t)
	h := &helper{address: listener.Addr().String()}
	h.server = &http.Server{
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.served.Add(1)
			handler(w, r)
		}),
	}
	go func() { _ = h.server.Serve(&relay.Listener{Listener: listener, Admitter: h}) }()
	t.Cleanup(func() { _ = h.server.Close() })
	return h
}

// sender is a router that hands over all requests to a helper.
type sender struct {
	address string
	// relays receives each relay before it runs, and ended how each ended or why it wasn't opened.
	relays chan *relay.Relay
	ended  chan error
	dialer relay.Dialer
	// left is the time until the deadline of a request.
	left time.Duration
}

func startSender(t *testing.T, address string, as handover.Token) *sender {
	t.Helper()
	listener := listen(t)
	s := &sender{address: listener.Addr().String(), relays: make(chan *relay.Relay, 9), ended: make(chan error, 9), dialer: relay.Dialer{Timeout: 5 * time.Second}, left: 5 * time.Second}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := s.dialer.Dial(context.Background(), handover.Helper{Address: address}, relay.Preamble{Token: as, Age: time.Second})
		if err != nil {
			s.ended <- err
			http.Error(w, "overloaded", http.StatusServiceUnavailable)
			return
		}
		caller, buffered, _ := http.NewResponseController(w).Hijack()
		handed := &relay.Relay{Request: r, Caller: caller, Buffered: buffered.Reader, Helper: conn, Deadline: time.Now().Add(s.left)}
		s.relays <- handed
		s.ended <- handed.Run()
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// send sends bytes on a new connection to the router.
func (s *sender) send(t *testing.T, request string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	return conn, bufio.NewReader(conn)
}

// readAnswer reads an answer and the end of its connection.
func readAnswer(t *testing.T, in *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.True(t, response.Close || response.ProtoMinor == 0 || response.StatusCode == http.StatusServiceUnavailable)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func echoBody(w http.ResponseWriter, r *http.Request) {
	if body, err := io.ReadAll(r.Body); err == nil {
		_, _ = w.Write(body)
	}
}

// Guards against a request that reaches the helper with another head than its caller sent.
func TestHeadIsRelayedAsItWasSent(t *testing.T) {
	t.Parallel()
	heads := make(chan *http.Request, 1)
	h := startHelper(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		heads <- r
	})
	before := time.Now()
	_, in := startSender(t, h.address, token).send(t, "PATCH /a%2Fb//c?x=%7e&&y HTTP/1.1\r\nHost: h.example:81\r\nAuthorization: Token k\r\nX-Two: 1\r\n"+
		"X-Two: 2\r\nConnection: X-Hop, keep-alive\r\nX-Hop: 1\r\nTrailer: X-End\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nX-End: e\r\n\r\n")
	readAnswer(t, in)
	got := <-heads
	require.Equal(t, []string{"PATCH", "/a%2Fb//c?x=%7e&&y", "h.example:81", "HTTP/1.1"}, []string{got.Method, got.RequestURI, got.Host, got.Proto})
	require.Equal(t, http.Header{
		"Authorization": {"Token k"}, "X-Two": {"1", "2"}, "Connection": {"X-Hop, keep-alive", "close"}, "X-Hop": {"1"},
	}, got.Header)
	require.Equal(t, []string{"chunked", "e"}, append(got.TransferEncoding, got.Trailer.Get("X-End")))
	require.WithinDuration(t, before.Add(-time.Second), got.Context().Value(connKey{}).(*relay.Conn).Arrived(), 500*time.Millisecond)
}

// Guards against bodies that are cut off, mixed up with the next request or never awaited.
func TestBodiesAreRelayedWhole(t *testing.T) {
	t.Parallel()
	h := startHelper(t, echoBody)
	s := startSender(t, h.address, token)
	long := strings.Repeat("0123456789", 100_000)
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct{ request, body string }{
		"none":          {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", ""},
		"short":         {post + "Content-Length: 2\r\n\r\nab", "ab"},
		"long":          {post + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)) + long, long},
		"chunked":       {post + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(long)) + long + "\r\n0\r\n\r\n", long},
		"pipelined":     {post + "Content-Length: 2\r\n\r\nabGET /second HTTP/1.1\r\nHost: h\r\n\r\n", "ab"},
		"after chunked": {post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n", "ab"},
		"old protocol":  {"POST / HTTP/1.0\r\nContent-Length: 2\r\n\r\nab", "ab"},
	} {
		served := h.served.Load()
		_, in := s.send(t, c.request)
		status, body := readAnswer(t, in)
		require.Equal(t, http.StatusOK, status, name)
		require.Equal(t, c.body, body, name)
		require.NoError(t, <-s.ended, name)
		<-s.relays
		require.Equal(t, served+1, h.served.Load(), name)
	}
	require.Eventually(t, func() bool { return h.active.Load() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a caller that waits for permission to send its body, and against an answer that is
// lost because its caller is still sending.
func TestHelperDecidesBeforeTheBodyIsSent(t *testing.T) {
	t.Parallel()
	s := startSender(t, startHelper(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/refused" {
			echoBody(w, r)
		}
	}).address, token)
	conn, in := s.send(t, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	permission := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	_, err := io.ReadFull(in, permission)
	require.NoError(t, err)
	require.Contains(t, string(permission), " 100 ")
	_, err = io.WriteString(conn, "ab")
	require.NoError(t, err)
	_, body := readAnswer(t, in)
	require.Equal(t, "ab", body)

	conn, in = s.send(t, "POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\nab")
	go func() { _, _ = io.Copy(conn, zeros{}) }()
	readAnswer(t, in)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against events that are held back until more of a stream has come.
func TestEventsAreRelayedAtOnce(t *testing.T) {
	t.Parallel()
	next := make(chan string, 1)
	h := startHelper(t, func(w http.ResponseWriter, _ *http.Request) {
		for event := range next {
			_, _ = io.WriteString(w, event)
			_ = http.NewResponseController(w).Flush()
		}
	})
	next <- "event 0\n"
	_, in := startSender(t, h.address, token).send(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	defer response.Body.Close()
	events := bufio.NewReader(response.Body)
	for i := range 20 {
		event, err := events.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("event %d\n", i), event)
		next <- fmt.Sprintf("event %d\n", i+1)
	}
	close(next)
}

// Guards against a request that is sent to a helper which didn't accept it, or doesn't respond.
func TestNothingIsSentWithoutAVerdict(t *testing.T) {
	t.Parallel()
	h := startHelper(t, echoBody)
	refused := func(address string, as handover.Token, timeout time.Duration) error {
		s := startSender(t, address, as)
		s.dialer.Timeout = timeout
		_, in := s.send(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		status, _ := readAnswer(t, in)
		require.Equal(t, http.StatusServiceUnavailable, status)
		return <-s.ended
	}
	var rejected *relay.RejectedError
	require.ErrorAs(t, refused(h.address, handover.Token{}, 5*time.Second), &rejected)
	require.Equal(t, relay.WrongToken, rejected.Verdict)
	frozen := listen(t) // accepts in the kernel only
	require.ErrorIs(t, refused(frozen.Addr().String(), token, 0), os.ErrDeadlineExceeded)
	require.NoError(t, frozen.Close())
	require.Error(t, refused(frozen.Addr().String(), token, 0), "killed")
	require.Zero(t, h.served.Load())
}

// Guards against requests from a connection that doesn't prove that it belongs to the fleet.
func TestStrangersAreNotServed(t *testing.T) {
	t.Parallel()
	h := startHelper(t, echoBody)
	for _, sent := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 200) + "\r\n\r\n",
		"\x02\x0a\x00GET / HTTP/1.1\r\nHost: h\r\n\r\n", // doesn't wait for the verdict
	} {
		_, in := (&sender{address: h.address}).send(t, sent)
		_, err := in.ReadByte()
		require.Error(t, err)
	}
	require.Equal(t, []int64{2, 0}, []int64{h.malformed.Load(), h.served.Load()})
}

// Guards against a second run, and an answer of "not run", after a helper was lost that may have run
// the request.
func TestLostHelperLeavesTheOutcomeOpen(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		left time.Duration
		body int64
	}{
		"killed":  {time.Minute, 2},
		"frozen":  {100 * time.Millisecond, 2}, // says nothing until the deadline has passed
		"cut off": {time.Minute, 100_000_000},  // takes no more bytes
	} {
		began := make(chan struct{}, 1)
		h := startHelper(t, func(_ http.ResponseWriter, r *http.Request) {
			began <- struct{}{}
			<-r.Context().Done()
		})
		s := startSender(t, h.address, token)
		s.left = c.left
		conn, in := s.send(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", c.body))
		go func() { _, _ = io.CopyN(conn, zeros{}, c.body) }()
		<-began
		if name == "killed" {
			require.NoError(t, h.server.Close())
		}
		answer, err := http.ReadResponse(in, nil)
		require.NoError(t, err, name)
		require.NoError(t, answer.Body.Close())
		require.Equal(t, http.StatusBadGateway, answer.StatusCode, name) // promises nothing
		_, err = in.ReadByte()
		require.ErrorIs(t, err, io.EOF, name)
		var broken *relay.BrokenError
		require.ErrorAs(t, <-s.ended, &broken, name)
		require.Equal(t, int64(1), h.served.Load(), name)
	}
}

// Guards against upstreams that work for callers that have disconnected, and for those of a router
// that was killed or has ended its stop.
func TestHelperCancelsRequestsWithoutACaller(t *testing.T) {
	t.Parallel()
	for name, request := range map[string]string{
		"no body":         "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"body sent":       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
		"body incomplete": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab",
		"chunked":         "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	} {
		for _, stops := range []bool{false, true} {
			began, ended := make(chan struct{}), make(chan struct{})
			h := startHelper(t, func(_ http.ResponseWriter, r *http.Request) {
				close(began)
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				close(ended)
			})
			s := startSender(t, h.address, token)
			conn, _ := s.send(t, request)
			<-began
			if stops {
				(<-s.relays).Close()
			} else {
				require.NoError(t, conn.Close())
			}
			require.Equal(t, stops, <-s.ended != nil, name)
			<-ended
		}
	}
}
