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

// routers returns two routers before one platform and one upstream.
func routers(address string) (one, two *call.Runner, source *slots, table *memory.Platform) {
	table = memory.New(timer.System{})
	source = upstreams(address)
	one, two = newRunner(source), newRunner(source)
	one.Claims = &claim.Store{Table: table, Objects: table, Router: "one"}
	two.Claims = &claim.Store{Table: table, Objects: table, Router: "two"}
	return one, two, source, table
}

func keyed() call.Request {
	request := order()
	request.Key = "k"
	return request
}

func requireRefused(t *testing.T, err error, reason refusal.Reason, outcome refusal.Outcome) {
	t.Helper()
	var refused *refusal.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, reason, refused.Reason)
	require.Equal(t, outcome, refused.Outcome)
}

// A caller does not see the answer to its order and sends it again, through
// another router. There must be one order, and the caller gets its answer.
func TestOrderIsRunOnceThroughTwoRouters(t *testing.T) {
	t.Parallel()
	address, runs := plain(t, ok)
	one, two, source, _ := routers(address)
	first, again := httptest.NewRecorder(), httptest.NewRecorder()

	require.NoError(t, one.Run(t.Context(), first, keyed()))
	require.NoError(t, two.Run(t.Context(), again, keyed()))

	require.Equal(t, 1, runs())
	require.Equal(t, first.Body.String(), again.Body.String())
	require.Empty(t, first.Header().Get(call.ReplayedHeader))
	require.Equal(t, "true", again.Header().Get(call.ReplayedHeader))
	require.Equal(t, dispatch.Unused, source.done[1].Result)
}

// The caller's connection breaks while its order runs. The router has to get
// the answer all the same, for the repeat.
func TestOrderOfACallerThatWentAwayIsKept(t *testing.T) {
	t.Parallel()
	arrived, gone := make(chan struct{}), make(chan struct{})
	address, runs := plain(t, func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-gone
		_, _ = io.WriteString(w, "booked")
	})
	one, two, _, _ := routers(address)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
		close(gone)
	}()
	_ = one.Run(ctx, httptest.NewRecorder(), keyed())
	again := httptest.NewRecorder()

	require.NoError(t, two.Run(t.Context(), again, keyed()))

	require.Equal(t, 1, runs())
	require.Equal(t, "booked", again.Body.String())
}

// The upstream breaks off. The order may have been run, so a repeat is
// refused, at once and for good.
func TestOrderWithoutAnAnswerIsNotRunAgain(t *testing.T) {
	t.Parallel()
	address, runs := plain(t, cut, ok)
	one, two, _, _ := routers(address)
	requireRefused(t, one.Run(t.Context(), httptest.NewRecorder(), keyed()), refusal.UpstreamFailed, refusal.Unknown)
	requireRefused(t, two.Run(t.Context(), httptest.NewRecorder(), keyed()), refusal.OutcomeLost, refusal.Unknown)
	require.Equal(t, 1, runs())
}

// Every upstream turns the order away unrun, so the caller hears not-run and
// may repeat it.
func TestOrderThatWasNotRunCanBeRepeated(t *testing.T) {
	t.Parallel()
	address, runs := plain(t, draining, draining, draining, draining, ok)
	one, two, _, _ := routers(address)
	requireRefused(t, one.Run(t.Context(), httptest.NewRecorder(), keyed()), refusal.RetriesExhausted, refusal.NotRun)
	require.Equal(t, 4, runs())
	require.NoError(t, two.Run(t.Context(), httptest.NewRecorder(), keyed()))
}

// The table is down. An order is refused at once, unrun; when it goes down
// only after the claim, the answer goes out and is kept later.
func TestOrderWhileTheTableIsDown(t *testing.T) {
	t.Parallel()
	address, runs := plain(t, ok)
	one, two, _, table := routers(address)
	table.Faults.Set(fault.Fault{Kind: fault.Down})
	requireRefused(t, one.Run(t.Context(), httptest.NewRecorder(), keyed()), refusal.ClaimsUnavailable, refusal.NotRun)
	require.Zero(t, runs())

	table.Faults.Set()
	seen := httptest.NewRecorder()
	one.Source = &cutTable{slots: upstreams(address), table: table}
	require.NoError(t, one.Run(t.Context(), seen, keyed()))
	require.Equal(t, "booked", seen.Body.String())

	table.Faults.Set()
	requireRefused(t, two.Run(t.Context(), httptest.NewRecorder(), keyed()), refusal.DuplicateInFlight, refusal.Unknown)
	one.Claims.Settle(t.Context())
	require.NoError(t, two.Run(t.Context(), httptest.NewRecorder(), keyed()))
	require.Equal(t, 1, runs())
}

// cutTable takes the table down one commit after a slot was given.
type cutTable struct {
	*slots
	table *memory.Platform
}

func (c *cutTable) Acquire(ctx context.Context, work dispatch.Work) (dispatch.Slot, error) {
	c.table.Faults.Set(fault.Fault{Kind: fault.Slow, Operation: memory.OperationCommit, Times: 1}, fault.Fault{Kind: fault.Down})
	return c.slots.Acquire(ctx, work)
}

// The router is frozen between its claim and the sending, and wakes when the
// caller has long gone elsewhere.
func TestRouterThatWakesDoesNotSend(t *testing.T) {
	t.Parallel()
	address, runs := plain(t, ok)
	one, _, _, table := routers(address)
	clock := timer.NewFake(time.Now())
	one.Claims.Timer = clock
	one.Claims.Table = &freezing{Platform: table, clock: clock}

	err := one.Run(t.Context(), httptest.NewRecorder(), keyed())

	requireRefused(t, err, refusal.DeadlinePassed, refusal.NotRun)
	require.Zero(t, runs())
}

// freezing lets an hour pass with each commit.
type freezing struct {
	*memory.Platform
	clock *timer.Fake
}

func (f *freezing) Commit(ctx context.Context, txn store.Txn) error {
	defer f.clock.Advance(time.Hour)
	return f.Platform.Commit(ctx, txn)
}
