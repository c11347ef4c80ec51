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

// engine is a model engine that streams a number of events, and records runs,
// resumptions and cancellations.
type engine struct {
	*httptest.Server
	mu     sync.Mutex
	events int
	// cutsAt lists, for each connection, the event within which it is closed.
	cutsAt    []int
	runs      int
	resumed   []string
	cancelled []string
	stream    string
	// resumedStream, if set, is the wrong stream id of resumed connections.
	resumedStream string
	// skip is the number of events left out of resumed connections.
	skip         int
	cancellation chan struct{}
}

func newEngine(t *testing.T, events int, cutsAt ...int) *engine {
	t.Helper()
	e := &engine{events: events, cutsAt: cutsAt, cancellation: make(chan struct{}, 8)}
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
		e.cancellation <- struct{}{}
	})
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *engine) send(w http.ResponseWriter, after int) {
	e.mu.Lock()
	cutAt := e.events + 1
	if len(e.cutsAt) > 0 {
		cutAt, e.cutsAt = e.cutsAt[0], e.cutsAt[1:]
	}
	streamID := e.stream
	if after > 0 && e.resumedStream != "" {
		streamID = e.resumedStream
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(attempt.StreamIDHeader, streamID)
	w.WriteHeader(http.StatusOK)
	for n := after + 1; n <= e.events; n++ {
		if n == cutAt {
			_, _ = io.WriteString(w, eventText(n, e.events)[:9])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, eventText(n, e.events))
		_ = http.NewResponseController(w).Flush()
	}
}

// eventText returns event n of a stream of last events: the last two are the
// usage and the end mark.
func eventText(n, last int) string {
	switch n {
	case last:
		return fmt.Sprintf("id: %d\ndata: [DONE]\n\n", n)
	case last - 1:
		return fmt.Sprintf("id: %d\ndata: {\"usage\":{\"prompt_tokens\":400,\"completion_tokens\":8}}\n\n", n)
	default:
		return fmt.Sprintf("id: %d\ndata: {\"token\":%d}\n\n", n, n)
	}
}

func fullStream(last int) string {
	var events strings.Builder
	for n := 1; n <= last; n++ {
		events.WriteString(eventText(n, last))
	}
	return events.String()
}

// fakeSource returns slots at its upstreams in turn and records the completions
// and costs reported for them.
type fakeSource struct {
	mu            sync.Mutex
	upstreams     []*schema.Upstream
	next          int
	completions   []dispatch.Completion
	reportedCosts []fleet.Tokens
}

func (s *fakeSource) Acquire(context.Context, dispatch.Request) (dispatch.Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	upstream := s.upstreams[s.next%len(s.upstreams)]
	s.next++
	return &fakeSlot{source: s, upstream: upstream}, nil
}

type fakeSlot struct {
	source   *fakeSource
	upstream *schema.Upstream
}

func (s *fakeSlot) Upstream() *schema.Upstream { return s.upstream }

func (s *fakeSlot) ReportCost(cost fleet.Tokens) {
	s.source.mu.Lock()
	defer s.source.mu.Unlock()
	s.source.reportedCosts = append(s.source.reportedCosts, cost)
}

func (s *fakeSlot) Release(completion dispatch.Completion) {
	s.source.mu.Lock()
	defer s.source.mu.Unlock()
	s.source.completions = append(s.source.completions, completion)
}

func newSource(addresses ...string) *fakeSource {
	s := &fakeSource{}
	for _, address := range addresses {
		s.upstreams = append(s.upstreams, &schema.Upstream{Id: address, Address: strings.TrimPrefix(address, "http://")})
	}
	return s
}

// instantTimer is a timer without delays.
type instantTimer struct{ timer.System }

func (instantTimer) After(_ time.Duration, fn func(time.Time)) timer.Subscription {
	return timer.System{}.After(0, fn)
}

func newRunner(source *fakeSource) *call.Runner {
	return &call.Runner{Source: source, Retry: &retry.Budget{MaxAttempts: 4}, Client: &attempt.Client{}, Timer: instantTimer{}}
}

func chatRequest() call.Request {
	return call.Request{
		ID: "r-1", Account: &schema.Account{Id: "halonen"}, Service: &schema.Service{Id: "findings", Kind: "model"},
		Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(`{"stream":true}`), Idempotent: true,
		EstimatedCost: 500, Deadline: time.Now().Add(time.Minute),
	}
}

// reports is an Observer that keeps the reports. It is not safe for concurrent use.
type reports []call.Report

func (r *reports) Ended(report call.Report) { *r = append(*r, report) }

func TestStreamIsRelayedByteForByteAndCharged(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 10)
	source := newSource(e.URL)
	w := httptest.NewRecorder()
	runner := newRunner(source)
	reports := &reports{}
	runner.Observers = call.Observers{reports}

	require.NoError(t, runner.Run(t.Context(), w, chatRequest()))

	require.Equal(t, fullStream(10), w.Body.String())
	require.Len(t, *reports, 1)
	report := (*reports)[0]
	require.Empty(t, report.RefusalReason)
	require.Equal(t, []int64{400, 8}, []int64{report.InputTokens, report.OutputTokens})
	require.Positive(t, report.TimeToFirstToken)
	require.Len(t, source.completions, 1)
	require.Equal(t, dispatch.Answered, source.completions[0].Result)
	require.Equal(t, fleet.Tokens(400/4+8), source.completions[0].Cost)
	require.Len(t, source.reportedCosts, 9)
}

// An engine sends its header at once, but its first token only when the prompt is
// processed. FirstTokenLatency must be the time to the latter, because it controls
// the limit of requests in flight.
func TestFirstTokenLatencyEndsAtTheFirstEvent(t *testing.T) {
	t.Parallel()
	const prefill = 20 * time.Millisecond
	address, _ := plainService(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(prefill)
		_, _ = io.WriteString(w, fullStream(3))
	})
	source := newSource(address)

	require.NoError(t, newRunner(source).Run(t.Context(), httptest.NewRecorder(), chatRequest()))

	require.GreaterOrEqual(t, source.completions[0].FirstTokenLatency, prefill)
}

// The connection to an engine breaks within a stream, more often than the number
// of tries after one break. The caller must get the whole stream.
func TestBrokenStreamIsResumed(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 12, 2, 3, 4, 5, 6, 7, 8)
	source := newSource(e.URL)
	w := httptest.NewRecorder()

	require.NoError(t, newRunner(source).Run(t.Context(), w, chatRequest()))

	require.Equal(t, fullStream(12), w.Body.String())
	require.Equal(t, []string{"1", "2", "3", "4", "5", "6", "7"}, e.resumed)
	require.Equal(t, 1, e.runs)
}

// After a break the engine answers with a different stream or leaves an event
// out. The caller must get an error event, not a normal end.
func TestStreamThatCannotBeJoinedEndsInAnError(t *testing.T) {
	t.Parallel()
	for _, misbehave := range []func(*engine){
		func(e *engine) { e.resumedStream = "other" },
		func(e *engine) { e.skip = 1 },
	} {
		e := newEngine(t, 12, 4)
		misbehave(e)
		w := httptest.NewRecorder()
		runner := newRunner(newSource(e.URL))
		var broken *call.BrokenError

		require.ErrorAs(t, runner.Run(t.Context(), w, chatRequest()), &broken)

		require.Equal(t, refusal.Run, broken.Outcome)
		body, found := strings.CutPrefix(w.Body.String(), fullStream(12)[:len(eventText(1, 12))*3])
		require.True(t, found)
		require.Contains(t, body, "event: error\ndata: {")
		runner.Wait()
		require.Equal(t, []string{e.stream}, e.cancelled)
	}
}

// leavingCaller is a caller that disconnects after a number of writes.
type leavingCaller struct {
	*httptest.ResponseRecorder
	writes int
	cancel context.CancelFunc
}

func (l *leavingCaller) Write(p []byte) (int, error) {
	if l.writes--; l.writes < 0 {
		l.cancel()
		return 0, io.ErrClosedPipe
	}
	return l.ResponseRecorder.Write(p)
}

// A caller disconnects within a stream. The stream must be cancelled, because
// nobody would read it, unless the caller requested a resumable stream.
func TestCallerThatGoesAwayCancelsItsStream(t *testing.T) {
	t.Parallel()
	for _, resumable := range []bool{false, true} {
		e := newEngine(t, 12)
		source := newSource(e.URL)
		runner := newRunner(source)
		request := chatRequest()
		if resumable {
			request.Header = http.Header{call.ResumableHeader: {"true"}}
		}
		ctx, cancel := context.WithCancel(t.Context())

		require.Error(t, runner.Run(ctx, &leavingCaller{httptest.NewRecorder(), 3, cancel}, request))

		runner.Wait()
		if resumable {
			require.Empty(t, e.cancelled)
			require.Equal(t, request.EstimatedCost, source.completions[0].Cost)
		} else {
			require.Equal(t, []string{e.stream}, e.cancelled)
		}
	}
}

// A caller sends a long prompt and disconnects before the first token. It must be
// charged for the work of the engine, and the engine must not count as failed.
func TestCallerThatLeavesEarlyIsCharged(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	address, _ := plainService(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}, ok)
	source := newSource(address)
	runner := newRunner(source)
	request := chatRequest()
	request.Body = make([]byte, 8000)

	requireRefused(t, runner.Run(ctx, httptest.NewRecorder(), request), refusal.CallerGone, refusal.Unknown)

	runner.Wait()
	require.Equal(t, []dispatch.Completion{{Result: dispatch.Answered, Cost: 8000 / 4 / 4}}, source.completions)
}

// A caller requests a long stream and stops reading, but keeps its connection
// open. It must not hold the engine's slot after its deadline.
func TestCallerThatStopsReadingLosesItsSlot(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 400_000)
	source := newSource(e.URL)
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := chatRequest()
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
		require.Fail(t, "the caller still holds its slot")
	}
}
