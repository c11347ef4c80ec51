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
	serviceNumber = fleet.ShortID(1)
	smallAccount  = fleet.ShortID(10)
	floodAccount  = fleet.ShortID(11)
	firstUpstream = fleet.ShortID(100)
)

var start = time.Unix(1_700_000_000, 0)

// slotDispatcher is the part of a Dispatcher that does not depend on its policies.
type slotDispatcher interface {
	SetUpstreams(now time.Time, owned []*schema.Upstream, services map[fleet.ServiceID]fleet.ShortID, others bool)
	HandleAsk(now time.Time, from fleet.RouterID, through dispatcher.GrantID, message *schema.Ask)
	Grant(now time.Time) []dispatcher.Grant
	Release(now time.Time, from fleet.RouterID, message *schema.Release)
	HandleHeld(now time.Time, from fleet.RouterID, service fleet.ShortID, message *schema.Held)
	Reconcile(now time.Time, from fleet.RouterID, ids map[dispatcher.GrantID]bool)
	HandleConnect(now time.Time, from fleet.RouterID, ids map[dispatcher.GrantID]bool, restarted bool)
	HandleDisconnect(now time.Time, router fleet.RouterID)
	Tick(now time.Time)
	UpdateLoad(now time.Time, upstream fleet.ShortID, load inflight.Load)
	InFlight(upstream fleet.ShortID) (int, bool)
}

func fixedLimit(slots int) inflight.Fixed { return inflight.Fixed(slots) }

func newFairPolicy() *share.Fair[fleet.ShortID] { return &share.Fair[fleet.ShortID]{} }

func newFairDispatcher() slotDispatcher {
	return dispatcher.New(dispatcher.Options[*share.Fair[fleet.ShortID], inflight.Fixed, placement.LeastLoaded]{
		SharePolicy: newFairPolicy, Limiter: fixedLimit,
	})
}

func newFirstComeDispatcher() slotDispatcher {
	return dispatcher.New(dispatcher.Options[*share.FirstCome[fleet.ShortID], inflight.Fixed, placement.LeastLoaded]{
		SharePolicy: func() *share.FirstCome[fleet.ShortID] { return &share.FirstCome[fleet.ShortID]{} }, Limiter: fixedLimit,
	})
}

// setUpstreams makes a dispatcher responsible for n upstreams with slots slots each.
func setUpstreams(d slotDispatcher, n, slots int, leaving bool) {
	var ups []*schema.Upstream
	for i := range n {
		ups = append(ups, &schema.Upstream{
			Id: fmt.Sprintf("u%d", i), Service: "s", Slots: uint32(slots), Number: uint32(firstUpstream) + uint32(i), Leaving: leaving,
		})
	}
	d.SetUpstreams(start, ups, map[fleet.ServiceID]fleet.ShortID{"s": serviceNumber}, false)
}

func newAsk(account fleet.ShortID, waiting int) *schema.Ask {
	return &schema.Ask{Service: uint32(serviceNumber), Account: uint32(account), Waiting: uint32(waiting), Estimate: 300}
}

func inFlight(d slotDispatcher, upstream fleet.ShortID) int {
	n, _ := d.InFlight(upstream)
	return n
}

func newRelease(g dispatcher.Grant) *schema.Release {
	return &schema.Release{Id: g.ID.Count(), Cost: 300}
}

// One account has hundreds of requests waiting at each of three routers, and a
// small account one request at a time at a fourth. In order of arrival, each
// request of the small account would wait for all requests of the other.
func TestSmallAccountBesideAFlood(t *testing.T) {
	t.Parallel()
	for name, want := range map[string]struct {
		d     slotDispatcher
		least int
		most  int
	}{
		"fair":       {newFairDispatcher(), 40, 60},
		"first come": {newFirstComeDispatcher(), 0, 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			setUpstreams(want.d, 1, 1, false)
			for _, router := range []fleet.RouterID{"a", "b", "c"} {
				m := newAsk(floodAccount, 500)
				m.WaitedMs = 10_000
				want.d.HandleAsk(start, router, 0, m)
			}
			served := 0
			for range 100 {
				want.d.HandleAsk(start, "d", 1<<62, newAsk(smallAccount, 1))
				granted := want.d.Grant(start)
				require.Len(t, granted, 1)
				if granted[0].Account == smallAccount {
					served++
				}
				want.d.Release(start, granted[0].To, newRelease(granted[0]))
			}
			require.GreaterOrEqual(t, served, want.least)
			require.LessOrEqual(t, served, want.most)
		})
	}
}

// A router asks again while a grant to it is in transit. If its only request
// counted as waiting again, it would be granted a second slot, which would stay
// unused for a round trip while other requests wait.
func TestGrantInTransitIsNotGrantedAgain(t *testing.T) {
	t.Parallel()
	d := newFairDispatcher()
	setUpstreams(d, 1, 4, false)
	d.HandleAsk(start, "a", 0, newAsk(smallAccount, 1))
	granted := d.Grant(start)
	require.Len(t, granted, 1)
	d.HandleAsk(start, "a", 0, newAsk(smallAccount, 1))
	require.Empty(t, d.Grant(start))
	// An ask sent after the router received the grant is for another request.
	d.HandleAsk(start, "a", granted[0].ID, newAsk(smallAccount, 1))
	require.Len(t, d.Grant(start), 1)
}

// A grant was lost with its connection. The request that it was for must be
// granted a slot again after the timeout.
func TestLostGrantIsGrantedAgain(t *testing.T) {
	t.Parallel()
	d := newFairDispatcher()
	setUpstreams(d, 1, 4, false)
	d.HandleAsk(start, "a", 0, newAsk(smallAccount, 1))
	require.Len(t, d.Grant(start), 1)
	later := start.Add(dispatcher.DefaultAckTimeout)
	d.HandleAsk(later, "a", 0, newAsk(smallAccount, 1))
	require.Len(t, d.Grant(later), 1)
	d.Reconcile(later, "a", nil)
	require.Equal(t, 1, inFlight(d, firstUpstream))
}

// A router releases a slot unused because its request got one elsewhere. It must
// get no further grant until it asks again, or the same slot would be granted and
// released over and over.
func TestUnusedSlotIsNotGrantedBack(t *testing.T) {
	t.Parallel()
	d := newFairDispatcher()
	setUpstreams(d, 1, 1, false)
	d.HandleAsk(start, "a", 0, newAsk(smallAccount, 5))
	granted := d.Grant(start)
	d.Release(start, "a", &schema.Release{Id: granted[0].ID.Count(), Result: schema.Result_RESULT_UNUSED})
	require.Empty(t, d.Grant(start))
	require.Zero(t, inFlight(d, firstUpstream))
	d.HandleAsk(start, "a", granted[0].ID, newAsk(smallAccount, 1))
	require.Len(t, d.Grant(start), 1)
}

// An upstream announces that it is draining, or is marked as leaving in the
// release note. It must get no new requests, and those it runs keep their slots.
func TestDrainingUpstreamGetsNoWork(t *testing.T) {
	t.Parallel()
	d := newFairDispatcher()
	setUpstreams(d, 2, 2, false)
	d.HandleAsk(start, "a", 0, newAsk(smallAccount, 2))
	granted := d.Grant(start)
	require.Len(t, granted, 2)
	d.Release(start, "a", &schema.Release{Id: granted[0].ID.Count(), Result: schema.Result_RESULT_DRAINING})
	d.HandleAsk(start, "a", granted[1].ID, newAsk(smallAccount, 4))
	for _, g := range d.Grant(start) {
		require.NotEqual(t, granted[0].Upstream, g.Upstream)
	}
	// A later load report shows that it accepts work again.
	d.UpdateLoad(start, granted[0].Upstream, inflight.Load{MeasuredAt: start.Add(time.Second)})
	require.NotEmpty(t, d.Grant(start))
	setUpstreams(d, 2, 2, true)
	d.HandleAsk(start, "a", 1<<62, newAsk(smallAccount, 4))
	require.Empty(t, d.Grant(start))
}

// A router is killed and the engine notices at once. Its load report shows that
// the slots are free long before the grace period for lost routers has passed.
func TestUpstreamsReportFreesTheSlotsOfALostRouter(t *testing.T) {
	t.Parallel()
	d := newFairDispatcher()
	setUpstreams(d, 1, 4, false)
	d.HandleAsk(start, "a", 0, newAsk(smallAccount, 3))
	d.HandleAsk(start, "b", 0, newAsk(floodAccount, 1))
	require.Len(t, d.Grant(start), 4)
	d.HandleDisconnect(start.Add(time.Second), "a")
	require.Equal(t, 4, inFlight(d, firstUpstream))
	// A report from before the loss must free nothing.
	d.UpdateLoad(start.Add(2*time.Second), firstUpstream, inflight.Load{Running: 1, MeasuredAt: start.Add(time.Second / 2)})
	require.Equal(t, 4, inFlight(d, firstUpstream))
	d.UpdateLoad(start.Add(2*time.Second), firstUpstream, inflight.Load{Running: 2, MeasuredAt: start.Add(2 * time.Second)})
	require.Equal(t, 2, inFlight(d, firstUpstream))
}

// A router was only cut off, and reconnects within the grace period with requests
// still in flight. These keep their slots, and those that ended meanwhile don't.
func TestRouterThatComesBackKeepsWhatItHolds(t *testing.T) {
	t.Parallel()
	d := newFairDispatcher()
	setUpstreams(d, 1, 3, false)
	d.HandleAsk(start, "a", 0, newAsk(smallAccount, 3))
	granted := d.Grant(start)
	d.HandleDisconnect(start, "a")
	back := start.Add(5 * time.Second)
	held := &schema.Held{Upstream: uint32(firstUpstream)}
	for _, g := range granted[:2] {
		held.Ids = append(held.Ids, uint64(g.ID))
		held.Accounts = append(held.Accounts, uint32(smallAccount))
		held.Costs = append(held.Costs, 300)
	}
	d.HandleConnect(back, "a", map[dispatcher.GrantID]bool{granted[0].ID: true, granted[1].ID: true}, false)
	d.HandleHeld(back, "a", serviceNumber, held)
	d.Tick(back.Add(time.Hour))
	require.Equal(t, 2, inFlight(d, firstUpstream))
}

// A request must not be granted a slot at an upstream where an earlier attempt
// failed. Other requests may use that upstream.
func TestAvoidedUpstreamIsNotGranted(t *testing.T) {
	t.Parallel()
	d := newFairDispatcher()
	setUpstreams(d, 1, 2, false)
	avoiding := newAsk(smallAccount, 1)
	avoiding.Avoided = []uint32{uint32(firstUpstream)}
	d.HandleAsk(start, "a", 0, avoiding)
	require.Empty(t, d.Grant(start))
	d.HandleAsk(start, "b", 0, newAsk(floodAccount, 1))
	granted := d.Grant(start)
	require.Len(t, granted, 1)
	require.Equal(t, floodAccount, granted[0].Account)
}

// An upstream joins while many requests wait. Without warm-up, all of them would
// be sent to a cold engine at once. It gets two requests, and one more for each
// answer that begins, without waiting for answers to complete.
func TestUpstreamThatJoinsIsWarmedUp(t *testing.T) {
	t.Parallel()
	d := dispatcher.New(dispatcher.Options[*share.Fair[fleet.ShortID], inflight.Fixed, placement.LeastLoaded]{
		SharePolicy: newFairPolicy, Limiter: fixedLimit, Warmup: true,
	})
	setUpstreams(d, 1, 16, false)
	d.HandleAsk(start, "a", 0, newAsk(smallAccount, 100))
	granted := d.Grant(start)
	require.Len(t, granted, 2)
	require.True(t, granted[0].ReportBegin)
	d.HandleHeld(start, "a", serviceNumber, &schema.Held{
		Upstream: uint32(firstUpstream), Ids: []uint64{uint64(granted[0].ID)}, Accounts: []uint32{uint32(smallAccount)}, Costs: []uint32{1},
	})
	require.Len(t, d.Grant(start), 1)
	d.Release(start, "a", newRelease(granted[1]))
	require.Len(t, d.Grant(start), 2)
}

// A dispatcher takes over a busy upstream. Its requests in flight show that it is
// warm. If it were warmed up again, most of its slots would be idle after each
// change of routers.
func TestTakenOverUpstreamIsNotWarmedUpAgain(t *testing.T) {
	t.Parallel()
	d := dispatcher.New(dispatcher.Options[*share.Fair[fleet.ShortID], inflight.Fixed, placement.LeastLoaded]{
		SharePolicy: newFairPolicy, Limiter: fixedLimit, Warmup: true,
	})
	setUpstreams(d, 1, 16, false)
	held := &schema.Held{Upstream: uint32(firstUpstream)}
	for id := range uint64(12) {
		held.Ids = append(held.Ids, id+1)
		held.Accounts = append(held.Accounts, uint32(floodAccount))
		held.Costs = append(held.Costs, 50)
	}
	d.HandleHeld(start, "b", serviceNumber, held)
	require.Equal(t, 12, inFlight(d, firstUpstream))
	d.HandleAsk(start, "a", 0, newAsk(smallAccount, 100))
	require.Len(t, d.Grant(start), 2)
	for _, id := range held.GetIds() {
		d.Release(start, "b", &schema.Release{ForeignId: id, Cost: 60})
	}
	require.Len(t, d.Grant(start), 12)
}
