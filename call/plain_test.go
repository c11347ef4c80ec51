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

// plainService starts a plain service that counts its runs. It handles the n-th
// request with the n-th handler, and further ones with the last.
func plainService(t *testing.T, handlers ...http.HandlerFunc) (address string, runs func() int) {
	t.Helper()
	var mu sync.Mutex
	count := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		handle := handlers[min(count, len(handlers)-1)]
		count++
		mu.Unlock()
		handle(w, r)
	}))
	t.Cleanup(server.Close)
	return server.URL, func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "booked") }

func cutBeforeAnswer(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func cutWithinAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "6")
	_, _ = io.WriteString(w, "boo")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func draining(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(attempt.RefusedHeader, "draining")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func orderRequest() call.Request {
	return call.Request{
		ID: "r-2", Account: &schema.Account{Id: "halonen"}, Service: &schema.Service{Id: "orders", Kind: "plain"},
		Method: http.MethodPost, Path: "/orders", Body: []byte(`{}`), Deadline: time.Now().Add(time.Minute),
	}
}

// Upstreams fail in different ways. Idempotent requests must be retried; an order
// that may have been run must not be, and its caller must get that outcome.
func TestRetriesOnlyWhatMayBeRepeated(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		handlers   []http.HandlerFunc
		idempotent bool
		runs       int
		reason     refusal.Reason
		outcome    refusal.Outcome
	}{
		"broken, idempotent":     {[]http.HandlerFunc{cutBeforeAnswer, ok}, true, 2, "", ""},
		"broken, order":          {[]http.HandlerFunc{cutBeforeAnswer, ok}, false, 1, refusal.UpstreamFailed, refusal.Unknown},
		"draining, idempotent":   {[]http.HandlerFunc{draining, ok}, true, 2, "", ""},
		"draining, order":        {[]http.HandlerFunc{draining, ok}, false, 1, refusal.UpstreamBusy, refusal.NotRun},
		"broken, then all drain": {[]http.HandlerFunc{cutBeforeAnswer, draining}, true, 4, refusal.RetriesExhausted, refusal.Unknown},
	} {
		address, runs := plainService(t, c.handlers...)
		request := orderRequest()
		request.Idempotent = c.idempotent
		w := httptest.NewRecorder()

		runner, reports := newRunner(newSource(address)), &reports{}
		runner.Observers = call.Observers{reports}

		err := runner.Run(t.Context(), w, request)

		require.Equal(t, c.runs, runs(), name)
		require.Len(t, *reports, 1, name)
		require.Equal(t, c.reason, (*reports)[0].RefusalReason, name)
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
	address, runs := plainService(t, cutWithinAnswer, ok)
	request := orderRequest()
	request.Idempotent = true
	w := httptest.NewRecorder()
	var broken *call.BrokenError

	require.ErrorAs(t, newRunner(newSource(address)).Run(t.Context(), w, request), &broken)

	require.Equal(t, "boo", w.Body.String())
	require.Equal(t, 1, runs())
}

// withHead sends an answer with a head of its own, and closes the connection.
func withHead(head string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+head+"\r\n\r\nboo")
			_ = conn.Close()
		}
	}
}

// Guards against a panic, or an answer with a body that isn't the upstream's, because its head isn't one in HTTP.
func TestAnswerWithAnInvalidHeadIsNone(t *testing.T) {
	t.Parallel()
	for _, head := range []string{
		"000 Odd\r\nContent-Length: 3", "000\r\nContent-Length: 3", "099 Odd\r\nContent-Length: 3", "+20 Odd\r\nContent-Length: 3",
		"200 OK\r\nContent-Length : 2", "200 OK\r\nContent-Length: 3\r\nX Odd: 1", "200 OK\r\nContent-Length: 3\r\nX\x01Odd: 1",
	} {
		t.Run(head, func(t *testing.T) {
			t.Parallel()
			address, runs := plainService(t, withHead(head), ok)
			request := orderRequest()
			var refused *refusal.Error
			require.ErrorAs(t, newRunner(newSource(address)).Run(t.Context(), httptest.NewRecorder(), request), &refused)
			require.Equal(t, refusal.UpstreamFailed, refused.Reason)
			require.Equal(t, refusal.Unknown, refused.Outcome)
			require.Equal(t, 1, runs())

			address, _ = plainService(t, withHead(head), ok)
			request.Idempotent = true
			w := httptest.NewRecorder()
			require.NoError(t, newRunner(newSource(address)).Run(t.Context(), w, request))
			require.Equal(t, "booked", w.Body.String())
		})
	}
}

// A model's answer is cut off while it is still buffered. It must be fetched from
// another engine.
func TestBufferedAnswerIsFetchedFromAnotherUpstream(t *testing.T) {
	t.Parallel()
	address, runs := plainService(t, cutWithinAnswer, ok, ok)
	w := httptest.NewRecorder()

	runner := newRunner(newSource(address))
	require.NoError(t, runner.Run(t.Context(), w, chatRequest()))

	runner.Wait()
	require.Equal(t, "booked", w.Body.String())
	require.Equal(t, 3, runs(), "two attempts and the cancellation of the first")
}

// fullSource is a Source that never has a free slot.
type fullSource struct{}

func (fullSource) Acquire(ctx context.Context, _ dispatch.Request) (dispatch.Slot, error) {
	<-ctx.Done()
	return nil, refusal.New(refusal.CallerGone, "gone", 0)
}

// All slots are taken and the deadline passes while a request waits. The source
// sees only that its context ended and reports caller-gone. A caller that is
// still connected must get deadline-before-turn with a Retry-After instead.
func TestDeadlineInQueueIsNotReportedAsCallerGone(t *testing.T) {
	t.Parallel()
	runner := newRunner(nil)
	runner.Source = fullSource{}
	request := orderRequest()
	request.Deadline = time.Now().Add(time.Millisecond)
	err := runner.Run(t.Context(), httptest.NewRecorder(), request)
	requireRefused(t, err, refusal.DeadlineBeforeTurn, refusal.NotRun)
	var refused *refusal.Error
	require.ErrorAs(t, err, &refused)
	require.Positive(t, refused.RetryAfter)

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	requireRefused(t, runner.Run(cancelled, httptest.NewRecorder(), orderRequest()), refusal.CallerGone, refusal.NotRun)
}
