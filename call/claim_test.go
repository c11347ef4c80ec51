package call_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/claim"
	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/timer"
)

// newRouters returns two routers that share one platform and one upstream.
func newRouters(address string) (one, two *call.Runner, source *fakeSource, table *memory.Platform) {
	table = memory.New(timer.System{})
	source = newSource(address)
	one, two = newRunner(source), newRunner(source)
	one.Claims = &claim.Store{Table: table, Objects: table, Router: "one"}
	two.Claims = &claim.Store{Table: table, Objects: table, Router: "two"}
	return one, two, source, table
}

func keyedRequest() call.Request {
	request := orderRequest()
	request.IdempotencyKey = "k"
	return request
}

func requireRefused(t *testing.T, err error, reason refusal.Reason, outcome refusal.Outcome) {
	t.Helper()
	var refused *refusal.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, reason, refused.Reason)
	require.Equal(t, outcome, refused.Outcome)
}

// A caller does not receive the answer to its order and repeats it through
// another router. The order must run once, and the caller must get its answer.
func TestOrderIsRunOnceThroughTwoRouters(t *testing.T) {
	t.Parallel()
	address, runs := plainService(t, ok)
	one, two, source, _ := newRouters(address)
	first, again := httptest.NewRecorder(), httptest.NewRecorder()

	require.NoError(t, one.Run(t.Context(), first, keyedRequest()))
	require.NoError(t, two.Run(t.Context(), again, keyedRequest()))

	require.Equal(t, 1, runs())
	require.Equal(t, first.Body.String(), again.Body.String())
	require.Empty(t, first.Header().Get(call.ReplayedHeader))
	require.Equal(t, "true", again.Header().Get(call.ReplayedHeader))
	require.Equal(t, dispatch.Unused, source.completions[1].Result)
}

// The caller's connection breaks while its order runs. The router must still
// read the answer, for the repeat.
func TestAnswerIsKeptForCallerThatDisconnected(t *testing.T) {
	t.Parallel()
	arrived, disconnected := make(chan struct{}), make(chan struct{})
	address, runs := plainService(t, func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-disconnected
		_, _ = io.WriteString(w, "booked")
	})
	one, two, _, _ := newRouters(address)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
		close(disconnected)
	}()
	_ = one.Run(ctx, httptest.NewRecorder(), keyedRequest())
	again := httptest.NewRecorder()

	require.NoError(t, two.Run(t.Context(), again, keyedRequest()))

	require.Equal(t, 1, runs())
	require.Equal(t, "booked", again.Body.String())
}

// The upstream closes the connection before its answer. The order may have been
// run, so a repeat must be refused at once, with outcome-lost.
func TestOrderWithoutAnAnswerIsNotRunAgain(t *testing.T) {
	t.Parallel()
	address, runs := plainService(t, cutBeforeAnswer, ok)
	one, two, _, _ := newRouters(address)
	requireRefused(t, one.Run(t.Context(), httptest.NewRecorder(), keyedRequest()), refusal.UpstreamFailed, refusal.Unknown)
	requireRefused(t, two.Run(t.Context(), httptest.NewRecorder(), keyedRequest()), refusal.OutcomeLost, refusal.Unknown)
	require.Equal(t, 1, runs())
}

// Every upstream refuses the order without running it. The caller must get
// not-run and be able to repeat it.
func TestOrderThatWasNotRunCanBeRepeated(t *testing.T) {
	t.Parallel()
	address, runs := plainService(t, draining, draining, draining, draining, ok)
	one, two, _, _ := newRouters(address)
	requireRefused(t, one.Run(t.Context(), httptest.NewRecorder(), keyedRequest()), refusal.RetriesExhausted, refusal.NotRun)
	require.Equal(t, 4, runs())
	require.NoError(t, two.Run(t.Context(), httptest.NewRecorder(), keyedRequest()))
}

// If the table is down, an order must be refused at once, as not run. If the
// table goes down after the claim, the answer must be sent and stored later.
func TestOrderWhileTheTableIsDown(t *testing.T) {
	t.Parallel()
	address, runs := plainService(t, ok)
	one, two, _, table := newRouters(address)
	table.Faults.Set(fault.Fault{Kind: fault.Down})
	requireRefused(t, one.Run(t.Context(), httptest.NewRecorder(), keyedRequest()), refusal.ClaimsUnavailable, refusal.NotRun)
	require.Zero(t, runs())

	table.Faults.Set()
	received := httptest.NewRecorder()
	one.Source = &failingSource{fakeSource: newSource(address), table: table}
	require.NoError(t, one.Run(t.Context(), received, keyedRequest()))
	require.Equal(t, "booked", received.Body.String())

	table.Faults.Set()
	requireRefused(t, two.Run(t.Context(), httptest.NewRecorder(), keyedRequest()), refusal.DuplicateInFlight, refusal.Unknown)
	one.Claims.RetryWrites(t.Context())
	require.NoError(t, two.Run(t.Context(), httptest.NewRecorder(), keyedRequest()))
	require.Equal(t, 1, runs())
}

// failingSource takes the table down after the first commit since a slot was
// acquired.
type failingSource struct {
	*fakeSource
	table *memory.Platform
}

func (s *failingSource) Acquire(ctx context.Context, request dispatch.Request) (dispatch.Slot, error) {
	s.table.Faults.Set(fault.Fault{Kind: fault.Slow, Operation: memory.OperationCommit, Times: 1}, fault.Fault{Kind: fault.Down})
	return s.fakeSource.Acquire(ctx, request)
}

// The router is suspended between its claim and the sending, and resumes after
// the deadline, when the caller may have repeated the request elsewhere.
func TestRouterResumedAfterDeadlineDoesNotSend(t *testing.T) {
	t.Parallel()
	address, runs := plainService(t, ok)
	one, _, _, table := newRouters(address)
	clock := timer.NewFake(time.Now())
	one.Claims.Timer = clock
	one.Claims.Table = &freezingTable{Platform: table, clock: clock}

	err := one.Run(t.Context(), httptest.NewRecorder(), keyedRequest())

	requireRefused(t, err, refusal.DeadlinePassed, refusal.NotRun)
	require.Zero(t, runs())
}

// freezingTable advances the clock by an hour with each commit.
type freezingTable struct {
	*memory.Platform
	clock *timer.Fake
}

func (f *freezingTable) Commit(ctx context.Context, txn store.Txn) error {
	defer f.clock.Advance(time.Hour)
	return f.Platform.Commit(ctx, txn)
}
