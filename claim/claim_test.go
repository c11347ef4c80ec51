package claim_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/claim"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/timer"
)

// twoRouters is a fleet of two routers that share one table.
type twoRouters struct {
	clock    *timer.Fake
	table    *faultyTable
	one, two *claim.Store
}

func newTwoRouters(faults ...faultKind) *twoRouters {
	clock := timer.NewFake(time.Unix(1e9, 0))
	t := &faultyTable{nextFault: faultSequence(faults...)}
	o := &objectStore{}
	return &twoRouters{
		clock: clock, table: t,
		one: &claim.Store{Table: t, Objects: o, Router: "one", Timer: clock},
		two: &claim.Store{Table: t, Objects: o, Router: "two", Timer: clock},
	}
}

func (p *twoRouters) request() claim.Request { return orderRequest("k", p.clock.Now().Add(deadline)) }

type objectStore struct {
	bodies map[string][]byte
	down   bool
}

func (o *objectStore) Put(_ context.Context, name string, data []byte) error {
	if o.bodies == nil {
		o.bodies = map[string][]byte{}
	}
	o.bodies[name] = data
	return nil
}

func (o *objectStore) Get(_ context.Context, name string) ([]byte, error) {
	if o.down {
		return nil, &store.UnavailableError{Operation: "get", Cause: errFault}
	}
	if data, ok := o.bodies[name]; ok {
		return data, nil
	}
	return nil, &store.NotFoundError{Name: name}
}

func requireRefused(t *testing.T, err error, reason refusal.Reason, outcome refusal.Outcome) {
	t.Helper()
	var got *refusal.Error
	require.ErrorAs(t, err, &got)
	require.Equal(t, reason, got.Reason)
	require.Equal(t, outcome, got.Outcome)
	mayRetry := reason == refusal.DuplicateInFlight || reason == refusal.ClaimsUnavailable
	require.Equal(t, mayRetry, got.RetryAfter > 0, "RetryAfter is set")
}

// A caller that did not receive the answer to its order repeats the order
// through another router. It must get the first answer, whatever its size.
func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	t.Parallel()
	for _, body := range []string{"", "booked", strings.Repeat("b", claim.MaxInlineBody+1)} {
		p := newTwoRouters()
		first, _, err := p.one.Claim(t.Context(), p.request())
		require.NoError(t, err)
		require.True(t, first.Valid())
		header := map[string][]string{"Content-Type": {"text/plain"}, "Set-Cookie": {"secret"}}
		first.Finish(t.Context(), claim.Answer{Status: 201, Header: header, Body: []byte(body)})

		_, answer, err := p.two.Claim(t.Context(), p.request())

		require.NoError(t, err)
		require.Equal(t, 201, answer.Status)
		require.Equal(t, body, string(answer.Body))
		require.Equal(t, map[string][]string{"Content-Type": {"text/plain"}}, answer.Header)
	}
}

// The router that sent the order crashes. Whether the order ran is unknown, so a
// repeat must not be sent: it is refused with duplicate-in-flight until the
// deadline and with outcome-lost from then on.
func TestRepeatAfterTheSenderDied(t *testing.T) {
	t.Parallel()
	p := newTwoRouters()
	_, _, err := p.one.Claim(t.Context(), p.request())
	require.NoError(t, err)

	_, _, err = p.two.Claim(t.Context(), p.request())
	requireRefused(t, err, refusal.DuplicateInFlight, refusal.Unknown)

	p.clock.Advance(deadline + 3*time.Second)
	_, _, err = p.two.Claim(t.Context(), p.request())
	requireRefused(t, err, refusal.OutcomeLost, refusal.Unknown)
}

func TestKeyReusedForAnotherRequestIsRefused(t *testing.T) {
	t.Parallel()
	p := newTwoRouters()
	_, _, err := p.one.Claim(t.Context(), p.request())
	require.NoError(t, err)
	otherBody := p.request()
	otherBody.Body = []byte("another order")
	_, _, err = p.two.Claim(t.Context(), otherBody)
	requireRefused(t, err, refusal.KeyReused, refusal.NotRun)

	otherAccount := otherBody
	otherAccount.Account = "kilimanjaro"
	_, _, err = p.two.Claim(t.Context(), otherAccount)
	require.NoError(t, err)
}

// While the table is down, claims must fail at once, as not run.
func TestTableDownIsNotRun(t *testing.T) {
	t.Parallel()
	p := newTwoRouters(down)
	_, _, err := p.one.Claim(t.Context(), p.request())
	requireRefused(t, err, refusal.ClaimsUnavailable, refusal.NotRun)
	require.Equal(t, 1, p.table.commits)
}

// The table is down or slow for minutes. After a few failed claims the others
// must not wait for it, and one claim a second probes whether it is back.
func TestClaimsStopTryingATableThatIsDown(t *testing.T) {
	t.Parallel()
	p := newTwoRouters(down, down, down, down)
	claimErr := func() error {
		_, _, err := p.one.Claim(t.Context(), orderRequest("k", p.clock.Now().Add(deadline)))
		return err
	}
	for range 5 {
		requireRefused(t, claimErr(), refusal.ClaimsUnavailable, refusal.NotRun)
	}
	require.Equal(t, 3, p.table.commits)
	requireRefused(t, p.one.Available(), refusal.ClaimsUnavailable, refusal.NotRun)

	p.clock.Advance(time.Second)
	require.NoError(t, p.one.Available())
	for range 2 {
		requireRefused(t, claimErr(), refusal.ClaimsUnavailable, refusal.NotRun)
	}
	require.Equal(t, 4, p.table.commits)

	p.clock.Advance(time.Second)
	require.NoError(t, claimErr())
	require.NoError(t, p.one.Available())
}

// The table applied the claim but its reply was lost. The router must find this
// out by reading the row back, even if the first read is stale; otherwise it
// would refuse the order for no reason.
func TestLostReplyIsResolvedByReadingBack(t *testing.T) {
	t.Parallel()
	p := newTwoRouters(replyLost, noFault, stale)
	got, _, err := p.one.Claim(t.Context(), p.request())
	require.NoError(t, err)
	require.True(t, got.Valid())
}

// The first claim gets no reply, and the router gives up and reports not-run.
// The claim then takes effect late, before or after the final write is retried.
// The repeat must run, exactly once.
func TestFirstClaimTakesEffectLate(t *testing.T) {
	t.Parallel()
	for name, between := range map[string]func(p *twoRouters){
		"before the retry": func(p *twoRouters) { p.table.applyPending(0); p.one.RetryWrites(context.Background()) },
		"after the retry":  func(p *twoRouters) { p.one.RetryWrites(context.Background()); p.table.applyPending(0) },
	} {
		for _, released := range []bool{false, true} {
			p := newTwoRouters(late, down)
			if released {
				p.table.nextFault = nil
				earlier, _, err := p.two.Claim(t.Context(), p.request())
				require.NoError(t, err)
				earlier.Release(t.Context())
				p.table.nextFault = faultSequence(noFault, noFault, late, down)
			}
			_, _, err := p.one.Claim(t.Context(), p.request())
			requireRefused(t, err, refusal.ClaimsUnavailable, refusal.NotRun)

			between(p)

			_, _, err = p.two.Claim(t.Context(), p.request())
			require.NoError(t, err, name)
			_, _, err = p.one.Claim(t.Context(), p.request())
			requireRefused(t, err, refusal.DuplicateInFlight, refusal.Unknown)
		}
	}
}

// As above, but the repeat is claimed first: the late claim must not replace it.
func TestLateClaimDoesNotDisplaceTheRepeat(t *testing.T) {
	t.Parallel()
	p := newTwoRouters(late, down)
	_, _, err := p.one.Claim(t.Context(), p.request())
	require.Error(t, err)
	second, _, err := p.two.Claim(t.Context(), p.request())
	require.NoError(t, err)

	p.table.applyPending(0)
	p.one.RetryWrites(t.Context())

	second.Finish(t.Context(), claim.Answer{Status: 200})
	_, answer, err := p.one.Claim(t.Context(), p.request())
	require.NoError(t, err)
	require.Equal(t, 200, answer.Status)
}

// The table is down when the order's answer arrives. The answer must be stored
// as soon as the table is back.
func TestAnswerIsKeptAfterAnOutage(t *testing.T) {
	t.Parallel()
	p := newTwoRouters(noFault, down, down)
	first, _, err := p.one.Claim(t.Context(), p.request())
	require.NoError(t, err)
	first.Finish(t.Context(), claim.Answer{Status: 200, Body: []byte("booked")})
	require.False(t, first.Valid())

	p.one.RetryWrites(t.Context())
	p.one.RetryWrites(t.Context())

	_, answer, err := p.two.Claim(t.Context(), p.request())
	require.NoError(t, err)
	require.Equal(t, "booked", string(answer.Body))
}

// The object of a large answer was overwritten by another answer. A repeat must
// not get the other answer.
func TestOverwrittenObjectIsNotReplayed(t *testing.T) {
	t.Parallel()
	p := newTwoRouters()
	first, _, err := p.one.Claim(t.Context(), p.request())
	require.NoError(t, err)
	first.Finish(t.Context(), claim.Answer{Status: 200, Body: make([]byte, claim.MaxInlineBody+1)})
	objects, ok := p.one.Objects.(*objectStore)
	require.True(t, ok)
	for name := range objects.bodies {
		objects.bodies[name] = []byte("another's")
	}
	_, _, err = p.two.Claim(t.Context(), p.request())
	requireRefused(t, err, refusal.OutcomeLost, refusal.Run)
	objects.down = true
	_, _, err = p.two.Claim(t.Context(), p.request())
	requireRefused(t, err, refusal.ClaimsUnavailable, refusal.Run)
}

// A router claims a key again after the sweeper has read its expired row and
// before the removal. The removal must not delete the new claim, or the next
// repeat would run the order a second time.
func TestSweeperKeepsRowsClaimedAgain(t *testing.T) {
	t.Parallel()
	p := newTwoRouters()
	first, _, err := p.one.Claim(t.Context(), p.request())
	require.NoError(t, err)
	first.Release(t.Context())
	p.clock.Advance(time.Hour)
	p.table.nextFault = func(bool) faultKind { return late }
	sweeper := &claim.Sweeper{Store: p.one}
	for len(p.table.pending) == 0 {
		_, _ = sweeper.Sweep(t.Context())
	}
	p.table.nextFault = nil
	_, _, err = p.two.Claim(t.Context(), p.request())
	require.NoError(t, err)

	p.table.applyPending(0)

	_, _, err = p.one.Claim(t.Context(), p.request())
	requireRefused(t, err, refusal.DuplicateInFlight, refusal.Unknown)
}

func TestSweeperRemovesOnlyWhatHasExpired(t *testing.T) {
	t.Parallel()
	p := newTwoRouters()
	sweeper := &claim.Sweeper{Store: p.two}
	for _, key := range []string{"a", "b", "c"} {
		_, _, err := p.one.Claim(t.Context(), orderRequest(key, p.clock.Now().Add(deadline)))
		require.NoError(t, err)
	}
	sweepAll := func() int {
		removed := 0
		for range 3 {
			n, err := sweeper.Sweep(t.Context())
			require.NoError(t, err)
			removed += n
		}
		return removed
	}
	p.clock.Advance(claim.DefaultRetention)
	require.Zero(t, sweepAll())
	p.clock.Advance(2 * deadline)
	require.Equal(t, 3, sweepAll())
}
