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

// pair is two routers before one table.
type pair struct {
	clock    *timer.Fake
	table    *table
	one, two *claim.Store
}

func newPair(faults ...effect) *pair {
	clock := timer.NewFake(time.Unix(1e9, 0))
	t := &table{next: script(faults...)}
	o := &objects{}
	return &pair{
		clock: clock, table: t,
		one: &claim.Store{Table: t, Objects: o, Router: "one", Timer: clock},
		two: &claim.Store{Table: t, Objects: o, Router: "two", Timer: clock},
	}
}

func (p *pair) order() claim.Request { return order("k", p.clock.Now().Add(deadline)) }

type objects struct {
	data map[string][]byte
	down bool
}

func (o *objects) Put(_ context.Context, name string, data []byte) error {
	if o.data == nil {
		o.data = map[string][]byte{}
	}
	o.data[name] = data
	return nil
}

func (o *objects) Get(_ context.Context, name string) ([]byte, error) {
	if o.down {
		return nil, &store.UnavailableError{Operation: "get", Cause: errFault}
	}
	if data, ok := o.data[name]; ok {
		return data, nil
	}
	return nil, &store.NotFoundError{Name: name}
}

func refused(t *testing.T, err error, reason refusal.Reason, outcome refusal.Outcome) {
	t.Helper()
	var got *refusal.Error
	require.ErrorAs(t, err, &got)
	require.Equal(t, reason, got.Reason)
	require.Equal(t, outcome, got.Outcome)
	again := reason == refusal.DuplicateInFlight || reason == refusal.ClaimsUnavailable
	require.Equal(t, again, got.RetryAfter > 0, "when to come back")
}

// A caller loses the answer to its order and repeats it through another
// router. It gets the answer of the first, whatever its size.
func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	t.Parallel()
	for _, body := range []string{"", "booked", strings.Repeat("b", claim.MaxInline+1)} {
		p := newPair()
		first, _, err := p.one.Claim(t.Context(), p.order())
		require.NoError(t, err)
		require.True(t, first.Ready())
		header := map[string][]string{"Content-Type": {"text/plain"}, "Set-Cookie": {"secret"}}
		first.Finish(t.Context(), claim.Answer{Status: 201, Header: header, Body: []byte(body)})

		_, answer, err := p.two.Claim(t.Context(), p.order())

		require.NoError(t, err)
		require.Equal(t, 201, answer.Status)
		require.Equal(t, body, string(answer.Body))
		require.Equal(t, map[string][]string{"Content-Type": {"text/plain"}}, answer.Header)
	}
}

// The router that sent the order dies. Nobody can know whether it ran, so a
// repeat is refused: first as under way, later as lost. It is never sent.
func TestRepeatAfterTheSenderDied(t *testing.T) {
	t.Parallel()
	p := newPair()
	_, _, err := p.one.Claim(t.Context(), p.order())
	require.NoError(t, err)

	_, _, err = p.two.Claim(t.Context(), p.order())
	refused(t, err, refusal.DuplicateInFlight, refusal.Unknown)

	p.clock.Advance(deadline + 3*time.Second)
	_, _, err = p.two.Claim(t.Context(), p.order())
	refused(t, err, refusal.OutcomeLost, refusal.Unknown)
}

func TestKeyStandsForOneRequest(t *testing.T) {
	t.Parallel()
	p := newPair()
	_, _, err := p.one.Claim(t.Context(), p.order())
	require.NoError(t, err)
	other := p.order()
	other.Body = []byte("another order")
	_, _, err = p.two.Claim(t.Context(), other)
	refused(t, err, refusal.KeyReused, refusal.NotRun)

	stranger := other
	stranger.Account = "kilimanjaro"
	_, _, err = p.two.Claim(t.Context(), stranger)
	require.NoError(t, err)
}

// The table is down. The caller must hear so at once and may repeat.
func TestTableDownIsNotRun(t *testing.T) {
	t.Parallel()
	p := newPair(down)
	_, _, err := p.one.Claim(t.Context(), p.order())
	refused(t, err, refusal.ClaimsUnavailable, refusal.NotRun)
	require.Equal(t, 1, p.table.commits)
}

// The table is down or slow for minutes. After a few claims have found out,
// the others must not wait for it, and one a second tries whether it is back.
func TestClaimsStopTryingATableThatIsDown(t *testing.T) {
	t.Parallel()
	p := newPair(down, down, down, down)
	claimed := func() error {
		_, _, err := p.one.Claim(t.Context(), order("k", p.clock.Now().Add(deadline)))
		return err
	}
	for range 5 {
		refused(t, claimed(), refusal.ClaimsUnavailable, refusal.NotRun)
	}
	require.Equal(t, 3, p.table.commits)
	refused(t, p.one.Available(), refusal.ClaimsUnavailable, refusal.NotRun)

	p.clock.Advance(time.Second)
	require.NoError(t, p.one.Available())
	for range 2 {
		refused(t, claimed(), refusal.ClaimsUnavailable, refusal.NotRun)
	}
	require.Equal(t, 4, p.table.commits)

	p.clock.Advance(time.Second)
	require.NoError(t, claimed())
	require.NoError(t, p.one.Available())
}

// The table applied the claim and its reply was lost. The router must find
// out, also through a stale read, or the order would be refused for nothing.
func TestLostReplyIsSettledByReadingBack(t *testing.T) {
	t.Parallel()
	p := newPair(replyLost, none, stale)
	got, _, err := p.one.Claim(t.Context(), p.order())
	require.NoError(t, err)
	require.True(t, got.Ready())
}

// The first claim gets no reply and the router gives up; the caller hears
// not-run. Then the claim takes effect after all, or is about to when the
// caller repeats. The repeat has to run, and just once.
func TestFirstClaimTakesEffectLate(t *testing.T) {
	t.Parallel()
	for name, between := range map[string]func(p *pair){
		"before it is settled": func(p *pair) { p.table.land(0); p.one.Settle(context.Background()) },
		"after it is settled":  func(p *pair) { p.one.Settle(context.Background()); p.table.land(0) },
	} {
		for _, released := range []bool{false, true} {
			p := newPair(late, down)
			if released {
				p.table.next = nil
				earlier, _, err := p.two.Claim(t.Context(), p.order())
				require.NoError(t, err)
				earlier.Release(t.Context())
				p.table.next = script(none, none, late, down)
			}
			_, _, err := p.one.Claim(t.Context(), p.order())
			refused(t, err, refusal.ClaimsUnavailable, refusal.NotRun)

			between(p)

			_, _, err = p.two.Claim(t.Context(), p.order())
			require.NoError(t, err, name)
			_, _, err = p.one.Claim(t.Context(), p.order())
			refused(t, err, refusal.DuplicateInFlight, refusal.Unknown)
		}
	}
}

// The same, but the repeat comes first: the late claim must not displace it.
func TestLateClaimDoesNotDisplaceTheRepeat(t *testing.T) {
	t.Parallel()
	p := newPair(late, down)
	_, _, err := p.one.Claim(t.Context(), p.order())
	require.Error(t, err)
	second, _, err := p.two.Claim(t.Context(), p.order())
	require.NoError(t, err)

	p.table.land(0)
	p.one.Settle(t.Context())

	second.Finish(t.Context(), claim.Answer{Status: 200})
	_, answer, err := p.one.Claim(t.Context(), p.order())
	require.NoError(t, err)
	require.Equal(t, 200, answer.Status)
}

// The table is down when the order's answer arrives. The answer is kept as
// soon as the table is back.
func TestAnswerIsKeptAfterAnOutage(t *testing.T) {
	t.Parallel()
	p := newPair(none, down, down)
	first, _, err := p.one.Claim(t.Context(), p.order())
	require.NoError(t, err)
	first.Finish(t.Context(), claim.Answer{Status: 200, Body: []byte("booked")})
	require.False(t, first.Ready())

	p.one.Settle(t.Context())
	p.one.Settle(t.Context())

	_, answer, err := p.two.Claim(t.Context(), p.order())
	require.NoError(t, err)
	require.Equal(t, "booked", string(answer.Body))
}

// A large answer's object was overwritten by another's. A repeat must not be
// given the other answer.
func TestOverwrittenObjectIsNotReplayed(t *testing.T) {
	t.Parallel()
	p := newPair()
	first, _, err := p.one.Claim(t.Context(), p.order())
	require.NoError(t, err)
	first.Finish(t.Context(), claim.Answer{Status: 200, Body: make([]byte, claim.MaxInline+1)})
	store, ok := p.one.Objects.(*objects)
	require.True(t, ok)
	for name := range store.data {
		store.data[name] = []byte("another's")
	}
	_, _, err = p.two.Claim(t.Context(), p.order())
	refused(t, err, refusal.OutcomeLost, refusal.Run)
	store.down = true
	_, _, err = p.two.Claim(t.Context(), p.order())
	refused(t, err, refusal.ClaimsUnavailable, refusal.Run)
}

// The sweeper reads an expired row, and before it removes it a router claims
// the key again. The removal must not take the new claim away: the next repeat
// would run the order a second time.
func TestSweeperLeavesWhatWasClaimedAgain(t *testing.T) {
	t.Parallel()
	p := newPair()
	first, _, err := p.one.Claim(t.Context(), p.order())
	require.NoError(t, err)
	first.Release(t.Context())
	p.clock.Advance(time.Hour)
	p.table.next = func(bool) effect { return late }
	sweeper := &claim.Sweeper{Store: p.one}
	for len(p.table.pending) == 0 {
		_, _ = sweeper.Sweep(t.Context())
	}
	p.table.next = nil
	_, _, err = p.two.Claim(t.Context(), p.order())
	require.NoError(t, err)

	p.table.land(0)

	_, _, err = p.one.Claim(t.Context(), p.order())
	refused(t, err, refusal.DuplicateInFlight, refusal.Unknown)
}

func TestSweeperRemovesOnlyWhatHasExpired(t *testing.T) {
	t.Parallel()
	p := newPair()
	sweeper := &claim.Sweeper{Store: p.two}
	for _, key := range []string{"a", "b", "c"} {
		_, _, err := p.one.Claim(t.Context(), order(key, p.clock.Now().Add(deadline)))
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
