package call_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/timer"
)

// engine is a model engine that cuts the first cuts connections of a stream
// after the events given, and counts runs and cancellations.
type engine struct {
	*httptest.Server
	mu        sync.Mutex
	events    int
	cuts      []int
	runs      int
	resumed   []string
	cancelled []string
	stream    string
	renamed   string
	skip      int
	done      chan struct{}
}

func newEngine(t *testing.T, events int, cuts ...int) *engine {
	t.Helper()
	e := &engine{events: events, cuts: cuts, done: make(chan struct{}, 8)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.runs++
		e.stream = r.Header.Get(attempt.StreamIDHeader)
		e.mu.Unlock()
		e.send(w, 0)
	})
	mux.HandleFunc("GET /v1/streams/{id}", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.resumed = append(e.resumed, r.URL.Query().Get("after"))
		known := r.PathValue("id") == e.stream
		e.mu.Unlock()
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		e.send(w, after+e.skip)
	})
	mux.HandleFunc("DELETE /v1/streams/{id}", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.cancelled = append(e.cancelled, r.PathValue("id"))
		e.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
		e.done <- struct{}{}
	})
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *engine) send(w http.ResponseWriter, after int) {
	e.mu.Lock()
	cut := e.events + 1
	if len(e.cuts) > 0 {
		cut, e.cuts = e.cuts[0], e.cuts[1:]
	}
	name := e.stream
	if after > 0 && e.renamed != "" {
		name = e.renamed
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(attempt.StreamIDHeader, name)
	w.WriteHeader(http.StatusOK)
	for n := after + 1; n <= e.events; n++ {
		if n == cut {
			_, _ = io.WriteString(w, event(n, e.events)[:9])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event(n, e.events))
		_ = http.NewResponseController(w).Flush()
	}
}

func event(n, last int) string {
	switch n {
	case last:
		return fmt.Sprintf("id: %d\ndata: [DONE]\n\n", n)
	case last - 1:
		return fmt.Sprintf("id: %d\ndata: {\"usage\":{\"prompt_tokens\":400,\"completion_tokens\":8}}\n\n", n)
	default:
		return fmt.Sprintf("id: %d\ndata: {\"token\":%d}\n\n", n, n)
	}
}

func answer(last int) string {
	var all strings.Builder
	for n := 1; n <= last; n++ {
		all.WriteString(event(n, last))
	}
	return all.String()
}

// slots hands out the upstreams in turn and keeps what is reported.
type slots struct {
	mu       sync.Mutex
	ups      []*schema.Upstream
	next     int
	done     []dispatch.Done
	progress []fleet.Tokens
}

func (s *slots) Acquire(context.Context, dispatch.Work) (dispatch.Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := s.ups[s.next%len(s.ups)]
	s.next++
	return &slot{owner: s, up: up}, nil
}

type slot struct {
	owner *slots
	up    *schema.Upstream
}

func (s *slot) Upstream() *schema.Upstream { return s.up }

func (s *slot) Progress(cost fleet.Tokens) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.owner.progress = append(s.owner.progress, cost)
}

func (s *slot) Done(done dispatch.Done) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.owner.done = append(s.owner.done, done)
}

func upstreams(addresses ...string) *slots {
	s := &slots{}
	for _, address := range addresses {
		s.ups = append(s.ups, &schema.Upstream{Id: address, Address: strings.TrimPrefix(address, "http://")})
	}
	return s
}

// hasty is a timer whose delays are over at once.
type hasty struct{ timer.System }

func (hasty) After(_ time.Duration, fn func(time.Time)) timer.Subscription {
	return timer.System{}.After(0, fn)
}

func newRunner(source *slots) *call.Runner {
	return &call.Runner{Source: source, Retry: &retry.Budget{Attempts: 4}, Client: &attempt.Client{}, Timer: hasty{}}
}

func chat() call.Request {
	return call.Request{
		ID: "r-1", Account: &schema.Account{Id: "halonen"}, Service: &schema.Service{Id: "findings", Kind: "model"},
		Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(`{"stream":true}`), Idempotent: true,
		Estimate: 500, Deadline: time.Now().Add(time.Minute),
	}
}

// reports keeps what an observer of one request at a time is told.
type reports []call.Report

func (r *reports) Ended(report call.Report) { *r = append(*r, report) }

func TestStreamIsRelayedByteForByteAndCharged(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 10)
	source := upstreams(e.URL)
	w := httptest.NewRecorder()
	runner := newRunner(source)
	reports := &reports{}
	runner.Observers = call.Observers{reports}

	require.NoError(t, runner.Run(t.Context(), w, chat()))

	require.Equal(t, answer(10), w.Body.String())
	require.Len(t, *reports, 1)
	report := (*reports)[0]
	require.Empty(t, report.Refused)
	require.Equal(t, []int64{400, 8}, []int64{report.Input, report.Output})
	require.Positive(t, report.FirstToken)
	require.Len(t, source.done, 1)
	require.Equal(t, dispatch.Answered, source.done[0].Result)
	require.Equal(t, fleet.Tokens(400/4+8), source.done[0].Cost)
	require.Len(t, source.progress, 9)
}

// An engine sends its header at once and its first token when the prompt is
// processed. The limit of requests in flight is set by the second.
func TestFirstTokenIsTimedByTheFirstEvent(t *testing.T) {
	t.Parallel()
	const prefill = 20 * time.Millisecond
	address, _ := plain(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(prefill)
		_, _ = io.WriteString(w, answer(3))
	})
	source := upstreams(address)

	require.NoError(t, newRunner(source).Run(t.Context(), httptest.NewRecorder(), chat()))

	require.GreaterOrEqual(t, source.done[0].FirstToken, prefill)
}

// An engine's connection breaks off in the middle of a stream, more often than
// one break is tried again. The caller must not notice.
func TestBrokenStreamIsResumed(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 12, 2, 3, 4, 5, 6, 7, 8)
	source := upstreams(e.URL)
	w := httptest.NewRecorder()

	require.NoError(t, newRunner(source).Run(t.Context(), w, chat()))

	require.Equal(t, answer(12), w.Body.String())
	require.Equal(t, []string{"1", "2", "3", "4", "5", "6", "7"}, e.resumed)
	require.Equal(t, 1, e.runs)
}

// After a break the engine answers with another stream, or leaves an event
// out. The caller must see that its answer is not whole.
func TestStreamThatCannotBeJoinedEndsInAnError(t *testing.T) {
	t.Parallel()
	for _, spoil := range []func(*engine){
		func(e *engine) { e.renamed = "other" },
		func(e *engine) { e.skip = 1 },
	} {
		e := newEngine(t, 12, 4)
		spoil(e)
		w := httptest.NewRecorder()
		runner := newRunner(upstreams(e.URL))
		var broken *call.BrokenError

		require.ErrorAs(t, runner.Run(t.Context(), w, chat()), &broken)

		require.Equal(t, refusal.Run, broken.Outcome)
		body, found := strings.CutPrefix(w.Body.String(), answer(12)[:len(event(1, 12))*3])
		require.True(t, found)
		require.Contains(t, body, "event: error\ndata: {")
		runner.Wait()
		require.Equal(t, []string{e.stream}, e.cancelled)
	}
}

// leaving is a caller that goes away after some events.
type leaving struct {
	*httptest.ResponseRecorder
	writes int
	cancel context.CancelFunc
}

func (l *leaving) Write(p []byte) (int, error) {
	if l.writes--; l.writes < 0 {
		l.cancel()
		return 0, io.ErrClosedPipe
	}
	return l.ResponseRecorder.Write(p)
}

// A caller closes its connection in the middle of a stream. The engine would
// go on with an answer for nobody, unless the caller said that it may return.
func TestCallerThatGoesAwayCancelsItsStream(t *testing.T) {
	t.Parallel()
	for _, resumable := range []bool{false, true} {
		e := newEngine(t, 12)
		source := upstreams(e.URL)
		runner := newRunner(source)
		request := chat()
		if resumable {
			request.Header = http.Header{call.ResumableHeader: {"true"}}
		}
		ctx, cancel := context.WithCancel(t.Context())

		require.Error(t, runner.Run(ctx, &leaving{httptest.NewRecorder(), 3, cancel}, request))

		runner.Wait()
		if resumable {
			require.Empty(t, e.cancelled)
			require.Equal(t, request.Estimate, source.done[0].Cost)
		} else {
			require.Equal(t, []string{e.stream}, e.cancelled)
		}
	}
}

// A caller sends long prompts and leaves before the first token. The engine
// has worked for it all the same, and is not to blame.
func TestCallerThatLeavesEarlyIsCharged(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	address, _ := plain(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}, ok)
	source := upstreams(address)
	runner := newRunner(source)
	request := chat()
	request.Body = make([]byte, 8000)

	requireRefused(t, runner.Run(ctx, httptest.NewRecorder(), request), refusal.CallerGone, refusal.Unknown)

	runner.Wait()
	require.Equal(t, []dispatch.Done{{Result: dispatch.Answered, Cost: 8000 / 4 / 4}}, source.done)
}

// A caller asks for a long stream and stops reading, with its connection open.
// It must not hold the engine's slot beyond its deadline.
func TestCallerThatStopsReadingLosesItsSlot(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 400_000)
	source := upstreams(e.URL)
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := chat()
		request.Deadline = time.Now().Add(500 * time.Millisecond)
		ended <- newRunner(source).Run(r.Context(), w, request)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: r\r\n\r\n")
	require.NoError(t, err)

	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(20 * time.Second):
		require.Fail(t, "the caller holds its slot")
	}
}
