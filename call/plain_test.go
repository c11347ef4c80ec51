package call_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
)

// plain is a service that counts runs and treats each request by its turn.
func plain(t *testing.T, turns ...http.HandlerFunc) (address string, runs func() int) {
	t.Helper()
	var mu sync.Mutex
	count := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		turn := turns[min(count, len(turns)-1)]
		count++
		mu.Unlock()
		turn(w, r)
	}))
	t.Cleanup(server.Close)
	return server.URL, func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "booked") }

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func cutMidway(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "6")
	_, _ = io.WriteString(w, "boo")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func draining(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(attempt.RefusedHeader, "draining")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func order() call.Request {
	return call.Request{
		ID: "r-2", Account: &schema.Account{Id: "halonen"}, Service: &schema.Service{Id: "orders", Kind: "plain"},
		Method: http.MethodPost, Path: "/orders", Body: []byte(`{}`), Deadline: time.Now().Add(time.Minute),
	}
}

// Upstreams fail in the ways they do. What may be run again is, elsewhere; an
// order that may have been run is not, and its caller is told so.
func TestRetriesOnlyWhatMayBeRepeated(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		turns      []http.HandlerFunc
		idempotent bool
		runs       int
		reason     refusal.Reason
		outcome    refusal.Outcome
	}{
		"broken, idempotent":     {[]http.HandlerFunc{cut, ok}, true, 2, "", ""},
		"broken, order":          {[]http.HandlerFunc{cut, ok}, false, 1, refusal.UpstreamFailed, refusal.Unknown},
		"draining, idempotent":   {[]http.HandlerFunc{draining, ok}, true, 2, "", ""},
		"draining, order":        {[]http.HandlerFunc{draining, ok}, false, 1, refusal.UpstreamBusy, refusal.NotRun},
		"broken, then all drain": {[]http.HandlerFunc{cut, draining}, true, 4, refusal.RetriesExhausted, refusal.Unknown},
	} {
		address, runs := plain(t, c.turns...)
		request := order()
		request.Idempotent = c.idempotent
		w := httptest.NewRecorder()

		runner, reports := newRunner(upstreams(address)), &reports{}
		runner.Observers = call.Observers{reports}

		err := runner.Run(t.Context(), w, request)

		require.Equal(t, c.runs, runs(), name)
		require.Len(t, *reports, 1, name)
		require.Equal(t, c.reason, (*reports)[0].Refused, name)
		if c.reason == "" {
			require.NoError(t, err, name)
			require.Equal(t, "booked", w.Body.String(), name)
			continue
		}
		var refused *refusal.Error
		require.ErrorAs(t, err, &refused, name)
		require.Equal(t, c.reason, refused.Reason, name)
		require.Equal(t, c.outcome, refused.Outcome, name)
		require.Empty(t, w.Body.String(), name)
	}
}

func TestAnswerThatBreaksOffIsNotEndedNormally(t *testing.T) {
	t.Parallel()
	address, runs := plain(t, cutMidway, ok)
	request := order()
	request.Idempotent = true
	w := httptest.NewRecorder()
	var broken *call.BrokenError

	require.ErrorAs(t, newRunner(upstreams(address)).Run(t.Context(), w, request), &broken)

	require.Equal(t, "boo", w.Body.String())
	require.Equal(t, 1, runs())
}

// The model's answer breaks off while it is still held here. Another engine
// can give it whole.
func TestHeldAnswerIsFetchedElsewhere(t *testing.T) {
	t.Parallel()
	address, runs := plain(t, cutMidway, ok, ok)
	w := httptest.NewRecorder()

	runner := newRunner(upstreams(address))
	require.NoError(t, runner.Run(t.Context(), w, chat()))

	runner.Wait()
	require.Equal(t, "booked", w.Body.String())
	require.Equal(t, 3, runs(), "two attempts and the cancellation of the first")
}

// waiting is a source without a free slot.
type waiting struct{}

func (waiting) Acquire(ctx context.Context, _ dispatch.Work) (dispatch.Slot, error) {
	<-ctx.Done()
	return nil, refusal.New(refusal.CallerGone, "gone", 0)
}

// All slots are taken and the caller's deadline passes while its request
// waits. The source sees only that its context ended; told that it had gone
// away, a caller which is still there would not know when to come back.
func TestDeadlineThatPassesInTheQueueIsNoCallerThatWentAway(t *testing.T) {
	t.Parallel()
	runner := newRunner(nil)
	runner.Source = waiting{}
	request := order()
	request.Deadline = time.Now().Add(time.Millisecond)
	err := runner.Run(t.Context(), httptest.NewRecorder(), request)
	requireRefused(t, err, refusal.DeadlineBeforeTurn, refusal.NotRun)
	var refused *refusal.Error
	require.ErrorAs(t, err, &refused)
	require.Positive(t, refused.RetryAfter)

	gone, leave := context.WithCancel(t.Context())
	leave()
	requireRefused(t, runner.Run(gone, httptest.NewRecorder(), order()), refusal.CallerGone, refusal.NotRun)
}
