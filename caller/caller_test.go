package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/budget"
	"nutmeglock.example/nutmeglock/caller"
)

const kib = 1 << 10

// server answers each request with the length of its body, or with why it can't be read.
type server struct {
	address string
	pool    *caller.Pool
	// reader reads the bodies, and handle, unless it is nil, handles requests in place of that.
	reader caller.BodyReader
	handle http.HandlerFunc
	// maxHeadBytes is the limit of the listener.
	maxHeadBytes int64
	// isOverloaded is that of the listener.
	isOverloaded func() bool
}

func (s *server) start(t *testing.T) *server {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = listener.Addr().String()
	h := &http.Server{Handler: s, ConnState: caller.ConnState, ConnContext: caller.ConnContext}
	callers := &caller.Listener{Listener: listener, Pool: s.pool, IsOverloaded: s.isOverloaded}
	callers.MaxHeadBytes.Store(s.maxHeadBytes)
	go func() { _ = h.Serve(callers) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.handle != nil {
		s.handle(w, r)
		return
	}
	body, err := s.reader.Read(w, r)
	if err == nil {
		_, _ = fmt.Fprintf(w, "%d", body.Len())
		return
	}
	caller.EndUnread(w, r, true)
	var (
		evicted   *budget.EvictedError
		exhausted *budget.ExhaustedError
		tooLarge  *http.MaxBytesError
		framing   *caller.FramingError
	)
	text := err.Error()
	switch {
	case errors.As(err, &evicted):
		text = "evicted"
	case errors.As(err, &exhausted):
		text = "exhausted"
	case errors.As(err, &tooLarge):
		text = "too large"
	case errors.As(err, &framing):
		text = "framing"
	case caller.IsTooSlow(err):
		text = "too slow"
	}
	http.Error(w, text, http.StatusServiceUnavailable)
}

func (s *server) dial(t *testing.T, sent ...string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, strings.Join(sent, ""))
	require.NoError(t, err)
	return conn
}

// answer returns the body of the next answer.
func answer(t *testing.T, conn net.Conn) string {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return strings.TrimSpace(string(text))
}

// isClosed reports whether the server has closed a connection without an answer.
func isClosed(conn net.Conn) bool {
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, net.ErrClosed)
}

const (
	post    = "POST / HTTP/1.1\r\nHost: h\r\n"
	chunked = post + "Transfer-Encoding: chunked\r\n\r\n"
)

func withLength(n int) string { return post + fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

func TestBodiesAreReadWhole(t *testing.T) {
	t.Parallel()
	s := (&server{pool: &caller.Pool{}, reader: caller.BodyReader{MaxBytes: 100 * kib}}).start(t)
	long := strings.Repeat("b", 100*kib)
	for _, c := range []struct{ request, want string }{
		{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "0"},
		{withLength(2) + "ab", "2"},
		{withLength(len(long)) + long, "102400"},
		{chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long), "102400"},
		{chunked + fmt.Sprintf("%x\r\n%sb\r\n0\r\n\r\n", len(long)+1, long), "too large"},
		{withLength(len(long)+1) + long, "too large"},
	} {
		conn := s.dial(t, c.request)
		require.Equal(t, c.want, answer(t, conn))
	}
	require.Eventually(t, func() bool {
		u := s.pool.Usage()
		return u.Bytes <= int64(6*budget.ConnectionBytes)
	}, 5*time.Second, time.Millisecond, "what was read is given back")
}

// Guards against a body over the limit that is read before it is refused.
func TestAnnouncedBodyOverTheLimitIsRefusedUnread(t *testing.T) {
	t.Parallel()
	s := (&server{pool: &caller.Pool{}, reader: caller.BodyReader{MaxBytes: kib}}).start(t)
	require.Equal(t, "too large", answer(t, s.dial(t, withLength(1<<30))))
}

// Guards against a refusal that is lost because the body is still arriving when the connection is closed.
func TestRefusalReachesACallerThatStillSends(t *testing.T) {
	t.Parallel()
	s := (&server{pool: &caller.Pool{}, reader: caller.BodyReader{MaxBytes: kib}}).start(t)
	conn := s.dial(t, chunked)
	go func() {
		for {
			if _, err := io.WriteString(conn, "400\r\n"+strings.Repeat("b", kib)+"\r\n"); err != nil {
				return
			}
		}
	}()
	require.Equal(t, "too large", answer(t, conn))
}

// Guards against a body that stops short of its end and keeps the memory that another one needs; and against a caller
// that isn't told.
func TestStoppedBodyGivesWay(t *testing.T) {
	t.Parallel()
	s := (&server{pool: &caller.Pool{Bytes: 1000 * kib}}).start(t)
	largest := s.dial(t, withLength(300*kib), strings.Repeat("b", 300*kib-1))
	s.dial(t, withLength(200*kib), strings.Repeat("b", 200*kib-1))
	time.Sleep(1200 * time.Millisecond)
	long := strings.Repeat("b", 250*kib)
	require.Equal(t, "256000", answer(t, s.dial(t, withLength(len(long)), long)))
	require.Equal(t, "evicted", answer(t, largest))
}

// Guards against a body that holds its connection for as long as its caller likes.
func TestSlowBodyIsRefusedInTime(t *testing.T) {
	t.Parallel()
	s := (&server{pool: &caller.Pool{}}).start(t)
	s.reader.Deadline = time.Now().Add(100 * time.Millisecond)
	require.Equal(t, "too slow", answer(t, s.dial(t, withLength(2), "b")))
}

// Guards against an overloaded router that spends its time on bodies in tiny chunks, and refuses the others.
func TestBodyInTinyChunksIsRefusedUnderOverload(t *testing.T) {
	t.Parallel()
	var overloaded atomic.Bool
	s := (&server{pool: &caller.Pool{}, reader: caller.BodyReader{IsOverloaded: overloaded.Load}}).start(t)
	tiny := chunked + strings.Repeat("1\r\nb\r\n", 30*kib) + "0\r\n\r\n"
	require.Equal(t, "30720", answer(t, s.dial(t, tiny)))
	overloaded.Store(true)
	require.Equal(t, "framing", answer(t, s.dial(t, tiny)))
	require.Equal(t, "2", answer(t, s.dial(t, chunked+"1\r\nb\r\n1\r\nb\r\n0\r\n\r\n")))
}

// Guards against a head of many short lines, each of which takes more memory than bytes.
func TestHeadTakesMemoryByItsLines(t *testing.T) {
	t.Parallel()
	s := (&server{pool: &caller.Pool{Bytes: 64 * kib}}).start(t)
	conn := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n", strings.Repeat("a:\r\n", 500))
	require.True(t, isClosed(conn))
	require.Equal(t, "0", answer(t, s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")))
}

// Guards against heads that are longer than callers may send, which take memory and time until the server's own limit.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	t.Parallel()
	s := (&server{pool: &caller.Pool{}, maxHeadBytes: 4 * kib}).start(t)
	conn := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n", "A: ", strings.Repeat("a", 8*kib))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	kept := s.dial(t)
	for range 8 {
		_, err := io.WriteString(kept, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 3*kib)+"\r\n\r\n")
		require.NoError(t, err)
		require.Equal(t, "0", answer(t, kept), "each head counts by itself")
	}
}

// Guards against an overloaded router that spends its time on heads of many short lines, and refuses the others.
func TestHeadOfManyLinesIsRefusedUnderOverload(t *testing.T) {
	t.Parallel()
	var overloaded atomic.Bool
	s := (&server{pool: &caller.Pool{}, isOverloaded: overloaded.Load}).start(t)
	many := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 500) + "\r\n"
	require.Equal(t, "0", answer(t, s.dial(t, many)))
	overloaded.Store(true)
	conn := s.dial(t, many)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "0", answer(t, s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")))
}

// Guards against heads of many lines that take all of the processor time though the process doesn't count as overloaded.
func TestHeadsOfManyLinesLeaveTimeForOthers(t *testing.T) {
	t.Parallel()
	s := (&server{pool: &caller.Pool{}}).start(t)
	var many strings.Builder
	for i := range 8000 {
		fmt.Fprintf(&many, "%x:\r\n", i)
	}
	long := "GET / HTTP/1.1\r\nHost: h\r\n" + many.String() + "\r\n"
	require.Equal(t, "0", answer(t, s.dial(t, long)), "in calm")
	var refused atomic.Bool
	var crowd sync.WaitGroup
	for range 2 * runtime.GOMAXPROCS(0) {
		crowd.Go(func() {
			for end := time.Now().Add(20 * time.Second); !refused.Load() && time.Now().Before(end); {
				conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
				if err != nil {
					continue
				}
				_, _ = io.WriteString(conn, long) // ends early if it is refused
				if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					refused.CompareAndSwap(false, response.StatusCode == http.StatusServiceUnavailable)
					_ = response.Body.Close()
				}
				_ = conn.Close()
			}
		})
	}
	crowd.Wait()
	require.True(t, refused.Load())
	require.Equal(t, "0", answer(t, s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")))
}

// Guards against silent connections that keep new callers out.
func TestSilentConnectionsGiveWayToNewOnes(t *testing.T) {
	t.Parallel()
	s := (&server{pool: &caller.Pool{MaxConnections: 4}}).start(t)
	silent := make([]net.Conn, 4)
	for i := range silent {
		silent[i] = s.dial(t)
	}
	time.Sleep(time.Second)
	require.Equal(t, "0", answer(t, s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")))
	require.True(t, isClosed(silent[0]))
}

// Guards against a refusal that waits for a body that never comes.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	t.Parallel()
	s := &server{pool: &caller.Pool{}}
	s.handle = func(w http.ResponseWriter, r *http.Request) {
		caller.EndUnread(w, r, false)
		w.WriteHeader(http.StatusUnauthorized)
	}
	s.start(t)
	require.Empty(t, answer(t, s.dial(t, withLength(kib), "b")))
	require.Empty(t, answer(t, s.dial(t, chunked, "1\r\nb\r\n")))
	require.Eventually(t, func() bool { return s.pool.Usage().Bytes == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a caller that has sent further requests and left, and whose request goes on.
func TestRequestOfACallerThatPipelinedAndLeftEnds(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{}, 1)
	s := &server{pool: &caller.Pool{}}
	s.handle = func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		select {
		case ended <- struct{}{}:
		default:
		}
	}
	s.start(t)
	conn := s.dial(t, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 400))
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool {
		s.pool.Expire(time.Now(), budget.Timeouts{})
		select {
		case <-ended:
			return true
		default:
			return false
		}
	}, 5*time.Second, 10*time.Millisecond)
}

// Guards against a caller that reads nothing and holds its answer for ever.
func TestUnreadAnswerEnds(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	s := &server{pool: &caller.Pool{}}
	s.handle = func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20))
		ended <- err
	}
	s.start(t)
	s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool {
		s.pool.Expire(time.Now(), budget.Timeouts{Sending: 100 * time.Millisecond})
		return len(ended) > 0
	}, 10*time.Second, 10*time.Millisecond)
	require.Error(t, <-ended)
}
