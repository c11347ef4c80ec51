package call_test

import (
	"context"
	"fmt"
	"io"
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

func answer(from, last int) string {
	var all strings.Builder
	for n := from; n <= last; n++ {
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

// upTo allows a number of attempts, and only safe ones.
type upTo int

func (upTo) First(time.Time) {}

func (n upTo) Allow(_ time.Time, a retry.Attempt) bool {
	return a.Count < int(n) && !a.AnswerStarted && (a.Idempotent || a.Outcome == refusal.NotRun)
}

func upstreams(addresses ...string) *slots {
	s := &slots{}
	for _, address := range addresses {
		s.ups = append(s.ups, &schema.Upstream{Id: address, Address: strings.TrimPrefix(address, "http://")})
	}
	return s
}

func newRunner(source *slots) *call.Runner {
	return &call.Runner{Source: source, Retry: upTo(4), Client: &attempt.Client{}}
}

func chat() call.Request {
	return call.Request{
		ID: "r-1", Account: &schema.Account{Id: "halonen"}, Service: &schema.Service{Id: "findings", Kind: "model"},
		Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(`{"stream":true}`), Idempotent: true,
		Estimate: 500, Deadline: time.Now().Add(time.Minute),
	}
}

func TestStreamIsRelayedByteForByteAndCharged(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 10)
	source := upstreams(e.URL)
	w := httptest.NewRecorder()

	require.NoError(t, newRunner(source).Run(t.Context(), w, chat()))

	require.Equal(t, answer(1, 10), w.Body.String())
	require.Len(t, source.done, 1)
	require.Equal(t, dispatch.Answered, source.done[0].Result)
	require.Equal(t, fleet.Tokens(400/4+8), source.done[0].Cost)
	require.Len(t, source.progress, 9)
}
