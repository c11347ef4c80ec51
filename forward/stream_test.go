package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// events streams the events from..to, beginning after Last-Event-Id if it is set. Unless whole is
// true it breaks off in the middle of a further event.
func events(from, to int, whole bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signed", "yes")
		w.Header().Set("Content-Type", "text/event-stream")
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &from)
			from++
		}
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if !whole {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func expectedEvents(to int) string {
	var b strings.Builder
	for i := 1; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// A stream that breaks off within an event is resumed at another upstream after the last complete
// event, and the caller gets each event once.
func TestBrokenStreamIsResumedAtAnotherUpstream(t *testing.T) {
	t.Parallel()
	var once sync.Once
	first := func(w http.ResponseWriter, r *http.Request) {
		fn := events(1, 6, true)
		once.Do(func() { fn = events(1, 3, false) })
		fn(w, r)
	}
	f := start(t, first, first)
	status, body, _, err := f.post(t, "/stream/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, expectedEvents(6), body)
	require.Equal(t, "3", f.requests[1].Header.Get("Last-Event-Id"))
}

// An upstream may resume a stream from its beginning or with a gap. Events that the caller has are
// skipped; a gap can't be filled, so it visibly breaks off the answer.
func TestResumedStreamsAreJoinedExactly(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		again http.HandlerFunc
		whole bool
	}{
		{"from the beginning", func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del("Last-Event-Id")
			events(1, 5, true)(w, r)
		}, true},
		{"with a gap", func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del("Last-Event-Id")
			events(4, 5, true)(w, r)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			fn := func(w http.ResponseWriter, r *http.Request) {
				chosen := c.again
				once.Do(func() { chosen = events(1, 2, false) })
				chosen(w, r)
			}
			f := start(t, fn, fn)
			_, body, _, err := f.post(t, "/stream/1")
			if c.whole {
				require.NoError(t, err)
				require.Equal(t, expectedEvents(5), body)
				return
			}
			require.Error(t, err)
			require.Equal(t, expectedEvents(2), body)
		})
	}
}

// A stream that isn't resumable is not sent again, and its caller sees that it broke off.
func TestStreamThatIsNotResumableBreaksOffVisibly(t *testing.T) {
	t.Parallel()
	f := start(t, events(1, 3, false), events(1, 3, false))
	_, body, _, err := f.post(t, "/once/1")
	require.Error(t, err)
	require.Equal(t, expectedEvents(3), body)
	require.Equal(t, 1, f.count())
}

// When an upstream accepts a request and stays silent, a resumable stream moves to another upstream
// while its caller still waits.
func TestStreamMovesAwayFromASilentUpstream(t *testing.T) {
	t.Parallel()
	var once sync.Once
	silent := func(w http.ResponseWriter, r *http.Request) {
		stuck := false
		once.Do(func() { stuck = true })
		if stuck {
			<-r.Context().Done()
			return
		}
		events(1, 2, true)(w, r)
	}
	f := start(t, silent, silent)
	begin := time.Now()
	_, body, _, err := f.post(t, "/stream/1")
	require.NoError(t, err)
	require.Equal(t, expectedEvents(2), body)
	require.Less(t, time.Since(begin), 4*time.Second)
}

// When a caller disconnects in the middle of a stream, the upstream's request is cancelled at once.
func TestCallerDisconnectCancelsTheUpstreamRequest(t *testing.T) {
	t.Parallel()
	stopped := make(chan time.Time, 1)
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signed", "yes")
		_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		stopped <- time.Now()
	})
	ctx, cancel := context.WithCancel(t.Context())
	r := f.request(t, http.MethodPost, "/stream/1", "body").WithContext(ctx)
	answer, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer answer.Body.Close()
	line, err := bufio.NewReader(answer.Body).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "id: 1\n", line)
	left := time.Now()
	cancel()
	select {
	case at := <-stopped:
		require.Less(t, at.Sub(left), 500*time.Millisecond)
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream's request was not cancelled")
	}
}

// Guards against a part of an answer that passes for a whole one at a caller of HTTP/1.0, where it ends with its connection.
func TestBrokenAnswerIsSeenByACallerOfHTTP10(t *testing.T) {
	t.Parallel()
	f := start(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "yes")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.router.Listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "POST /once/1 "+proto+"\r\nHost: h\r\nX-Id: a\r\nX-Key: k\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, proto)
		body, err := io.ReadAll(response.Body)
		require.Error(t, err, "%s: %q passes for a whole answer", proto, body)
		_ = response.Body.Close()
		_ = conn.Close()
	}
}
