package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/placement"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/share"
)

const (
	service = fleet.Number(1)
	small   = fleet.Number(10)
	flood   = fleet.Number(11)
	first   = fleet.Number(100)
)

var start = time.Unix(1_700_000_000, 0)

type slots interface {
	Own(now time.Time, owned []*schema.Upstream, services map[fleet.ServiceID]fleet.Number, others bool)
	Ask(now time.Time, from fleet.RouterID, through dispatcher.GrantID, message *schema.Ask)
	Grant(now time.Time) []dispatcher.Grant
	Release(now time.Time, from fleet.RouterID, message *schema.Release)
	Held(now time.Time, from fleet.RouterID, service fleet.Number, message *schema.Held)
	Complete(now time.Time, from fleet.RouterID, ids map[dispatcher.GrantID]bool)
	Connected(now time.Time, from fleet.RouterID, ids map[dispatcher.GrantID]bool, restarted bool)
	Gone(now time.Time, router fleet.RouterID)
	Tick(now time.Time)
	Reported(now time.Time, upstream fleet.Number, load inflight.Load)
	InFlight(upstream fleet.Number) (int, bool)
}

func fixed(slots int) inflight.Fixed { return inflight.Fixed(slots) }

func newFair() *share.Fair[fleet.Number] { return &share.Fair[fleet.Number]{} }

func withFair() slots {
	return dispatcher.New(dispatcher.Options[*share.Fair[fleet.Number], inflight.Fixed, placement.LeastLoaded]{
		Order: newFair, Limiter: fixed,
	})
}

func withFirstCome() slots {
	return dispatcher.New(dispatcher.Options[*share.FirstCome[fleet.Number], inflight.Fixed, placement.LeastLoaded]{
		Order: func() *share.FirstCome[fleet.Number] { return &share.FirstCome[fleet.Number]{} }, Limiter: fixed,
	})
}

// own gives a dispatcher n upstreams of so many slots.
func own(d slots, n, slots int, leaving bool) {
	var ups []*schema.Upstream
	for i := range n {
		ups = append(ups, &schema.Upstream{
			Id: fmt.Sprintf("u%d", i), Service: "s", Slots: uint32(slots), Number: uint32(first) + uint32(i), Leaving: leaving,
		})
	}
	d.Own(start, ups, map[fleet.ServiceID]fleet.Number{"s": service}, false)
}

func ask(account fleet.Number, waiting int) *schema.Ask {
	return &schema.Ask{Service: uint32(service), Account: uint32(account), Waiting: uint32(waiting), Estimate: 300}
}

func inFlight(d slots, upstream fleet.Number) int {
	n, _ := d.InFlight(upstream)
	return n
}

func answered(g dispatcher.Grant) *schema.Release {
	return &schema.Release{Id: g.ID.Count(), Cost: 300}
}

// A flooding account has hundreds of requests waiting at three routers, and a
// small one has one at a time at a fourth. In order of arrival the small
// account would wait for the whole flood each time.
func TestSmallAccountBesideAFlood(t *testing.T) {
	t.Parallel()
	for name, want := range map[string]struct {
		d     slots
		least int
		most  int
	}{
		"fair":       {withFair(), 40, 60},
		"first come": {withFirstCome(), 0, 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			own(want.d, 1, 1, false)
			for _, router := range []fleet.RouterID{"a", "b", "c"} {
				m := ask(flood, 500)
				m.WaitedMs = 10_000
				want.d.Ask(start, router, 0, m)
			}
			served := 0
			for range 100 {
				want.d.Ask(start, "d", 1<<62, ask(small, 1))
				granted := want.d.Grant(start)
				require.Len(t, granted, 1)
				if granted[0].Account == small {
					served++
				}
				want.d.Release(start, granted[0].To, answered(granted[0]))
			}
			require.GreaterOrEqual(t, served, want.least)
			require.LessOrEqual(t, served, want.most)
		})
	}
}

// A router asks again while a grant to it is on its way. Were its one request
// counted anew, it would be granted a second slot that nobody uses for a round
// trip while others wait.
func TestGrantOnItsWayIsNotGrantedAgain(t *testing.T) {
	t.Parallel()
	d := withFair()
	own(d, 1, 4, false)
	d.Ask(start, "a", 0, ask(small, 1))
	granted := d.Grant(start)
	require.Len(t, granted, 1)
	d.Ask(start, "a", 0, ask(small, 1))
	require.Empty(t, d.Grant(start))
	// Once it has seen the grant, what it asks for is more work.
	d.Ask(start, "a", granted[0].ID, ask(small, 1))
	require.Len(t, d.Grant(start), 1)
}

// A grant was lost with its connection. The work that it was meant for must
// not be held back for it for ever.
func TestLostGrantIsGrantedAgain(t *testing.T) {
	t.Parallel()
	d := withFair()
	own(d, 1, 4, false)
	d.Ask(start, "a", 0, ask(small, 1))
	require.Len(t, d.Grant(start), 1)
	later := start.Add(dispatcher.DefaultAckWait)
	d.Ask(later, "a", 0, ask(small, 1))
	require.Len(t, d.Grant(later), 1)
	d.Complete(later, "a", nil)
	require.Equal(t, 1, inFlight(d, first))
}

// A router gives a slot back unused because its work went elsewhere. It must
// not be granted the same again until it asks, or grants would fly to and fro.
func TestUnusedSlotIsNotGrantedBack(t *testing.T) {
	t.Parallel()
	d := withFair()
	own(d, 1, 1, false)
	d.Ask(start, "a", 0, ask(small, 5))
	granted := d.Grant(start)
	d.Release(start, "a", &schema.Release{Id: granted[0].ID.Count(), Result: schema.Result_RESULT_UNUSED})
	require.Empty(t, d.Grant(start))
	require.Zero(t, inFlight(d, first))
	d.Ask(start, "a", granted[0].ID, ask(small, 1))
	require.Len(t, d.Grant(start), 1)
}

// An upstream says that it drains, or its release note does. It must get
// nothing more, and what it runs keeps its slots.
func TestDrainingUpstreamGetsNoWork(t *testing.T) {
	t.Parallel()
	d := withFair()
	own(d, 2, 2, false)
	d.Ask(start, "a", 0, ask(small, 2))
	granted := d.Grant(start)
	require.Len(t, granted, 2)
	d.Release(start, "a", &schema.Release{Id: granted[0].ID.Count(), Result: schema.Result_RESULT_DRAINING})
	d.Ask(start, "a", granted[1].ID, ask(small, 4))
	for _, g := range d.Grant(start) {
		require.NotEqual(t, granted[0].Upstream, g.Upstream)
	}
	// Its own report says that it takes work again.
	d.Reported(start, granted[0].Upstream, inflight.Load{At: start.Add(time.Second)})
	require.NotEmpty(t, d.Grant(start))
	own(d, 2, 2, true)
	d.Ask(start, "a", 1<<62, ask(small, 4))
	require.Empty(t, d.Grant(start))
}

// A router is killed and the engine notices at once. Its report shows that
// the slots are free long before the grace for lost routers has passed.
func TestUpstreamsReportFreesTheSlotsOfALostRouter(t *testing.T) {
	t.Parallel()
	d := withFair()
	own(d, 1, 4, false)
	d.Ask(start, "a", 0, ask(small, 3))
	d.Ask(start, "b", 0, ask(flood, 1))
	require.Len(t, d.Grant(start), 4)
	d.Gone(start.Add(time.Second), "a")
	require.Equal(t, 4, inFlight(d, first))
	// A report from before the loss says nothing.
	d.Reported(start.Add(2*time.Second), first, inflight.Load{Running: 1, At: start.Add(time.Second / 2)})
	require.Equal(t, 4, inFlight(d, first))
	d.Reported(start.Add(2*time.Second), first, inflight.Load{Running: 2, At: start.Add(2 * time.Second)})
	require.Equal(t, 2, inFlight(d, first))
}

// A router was only cut off, and comes back within the grace with its requests
// still in flight. They keep their slots; what ended meanwhile does not.
func TestRouterThatComesBackKeepsWhatItHolds(t *testing.T) {
	t.Parallel()
	d := withFair()
	own(d, 1, 3, false)
	d.Ask(start, "a", 0, ask(small, 3))
	granted := d.Grant(start)
	d.Gone(start, "a")
	back := start.Add(5 * time.Second)
	held := &schema.Held{Upstream: uint32(first)}
	for _, g := range granted[:2] {
		held.Ids = append(held.Ids, uint64(g.ID))
		held.Accounts = append(held.Accounts, uint32(small))
		held.Costs = append(held.Costs, 300)
	}
	d.Connected(back, "a", map[dispatcher.GrantID]bool{granted[0].ID: true, granted[1].ID: true}, false)
	d.Held(back, "a", service, held)
	d.Tick(back.Add(time.Hour))
	require.Equal(t, 2, inFlight(d, first))
}

// An upstream that an earlier attempt failed at is avoided by that request,
// and by no other.
func TestAvoidedUpstreamIsNotGranted(t *testing.T) {
	t.Parallel()
	d := withFair()
	own(d, 1, 2, false)
	avoiding := ask(small, 1)
	avoiding.Avoided = []uint32{uint32(first)}
	d.Ask(start, "a", 0, avoiding)
	require.Empty(t, d.Grant(start))
	d.Ask(start, "b", 0, ask(flood, 1))
	granted := d.Grant(start)
	require.Len(t, granted, 1)
	require.Equal(t, flood, granted[0].Account)
}

// An upstream joins while a burst waits. Sent all at once, the burst would
// meet a cold engine; it gets two requests, and one more for each answer that
// begins, without waiting for whole answers.
func TestUpstreamThatJoinsIsWarmedUp(t *testing.T) {
	t.Parallel()
	d := dispatcher.New(dispatcher.Options[*share.Fair[fleet.Number], inflight.Fixed, placement.LeastLoaded]{
		Order: newFair, Limiter: fixed, Warmup: true,
	})
	own(d, 1, 16, false)
	d.Ask(start, "a", 0, ask(small, 100))
	granted := d.Grant(start)
	require.Len(t, granted, 2)
	require.True(t, granted[0].Begin)
	d.Held(start, "a", service, &schema.Held{
		Upstream: uint32(first), Ids: []uint64{uint64(granted[0].ID)}, Accounts: []uint32{uint32(small)}, Costs: []uint32{1},
	})
	require.Len(t, d.Grant(start), 1)
	d.Release(start, "a", answered(granted[1]))
	require.Len(t, d.Grant(start), 2)
}

// An upstream changes hands while it is busy. Its work shows that it is warm;
// were it ramped up anew, most of it would idle after each change of routers.
func TestUpstreamThatChangesHandsIsNotWarmedUpAgain(t *testing.T) {
	t.Parallel()
	d := dispatcher.New(dispatcher.Options[*share.Fair[fleet.Number], inflight.Fixed, placement.LeastLoaded]{
		Order: newFair, Limiter: fixed, Warmup: true,
	})
	own(d, 1, 16, false)
	held := &schema.Held{Upstream: uint32(first)}
	for id := range uint64(12) {
		held.Ids = append(held.Ids, id+1)
		held.Accounts = append(held.Accounts, uint32(flood))
		held.Costs = append(held.Costs, 50)
	}
	d.Held(start, "b", service, held)
	require.Equal(t, 12, inFlight(d, first))
	d.Ask(start, "a", 0, ask(small, 100))
	require.Len(t, d.Grant(start), 2)
	for _, id := range held.GetIds() {
		d.Release(start, "b", &schema.Release{ForeignId: id, Cost: 60})
	}
	require.Len(t, d.Grant(start), 12)
}
