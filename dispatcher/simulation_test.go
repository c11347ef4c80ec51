package dispatcher_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/keeper"
	"nutmeglock.example/nutmeglock/placement"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/share"
)

// simulatedFleet is a dispatcher, a keeper and three routers. Messages between them
// are lost, repeated and reordered.
type simulatedFleet struct {
	dispatcher *dispatcher.Dispatcher[*share.Fair[fleet.ShortID], inflight.Fixed, placement.LeastLoaded]
	keeper     *keeper.Keeper
	now        time.Time
	routers    map[fleet.RouterID]*simulatedRouter
	inTransit  []message
	slots      int
	upstreams  int
}

// simulatedRouter is the state of one router.
type simulatedRouter struct {
	waiting     map[fleet.ShortID]int
	held        map[dispatcher.GrantID]dispatcher.Grant
	seenThrough dispatcher.GrantID
}

// message is a message in transit from or to a router.
type message struct {
	router      fleet.RouterID
	grant       *dispatcher.Grant
	ask         *schema.Ask
	seenThrough dispatcher.GrantID
	release     *schema.Release
	report      *share.Report[fleet.ShortID]
	total       *share.Total
	account     fleet.ShortID
}

func newSimulatedFleet(ups, slots int) *simulatedFleet {
	f := &simulatedFleet{now: start, routers: make(map[fleet.RouterID]*simulatedRouter), slots: slots, upstreams: ups, keeper: keeper.New(keeper.Options{})}
	f.dispatcher = dispatcher.New(dispatcher.Options[*share.Fair[fleet.ShortID], inflight.Fixed, placement.LeastLoaded]{
		SharePolicy: newFairPolicy, Limiter: fixedLimit,
	})
	setUpstreams(f.dispatcher, ups, slots, false)
	for i := range 3 {
		f.routers[fleet.RouterID(fmt.Sprintf("r%d", i))] = &simulatedRouter{
			waiting: make(map[fleet.ShortID]int), held: make(map[dispatcher.GrantID]dispatcher.Grant),
		}
	}
	return f
}

func (f *simulatedFleet) routerIDs() []fleet.RouterID { return []fleet.RouterID{"r0", "r1", "r2"} }

func (f *simulatedFleet) send(x message) { f.inTransit = append(f.inTransit, x) }

func (f *simulatedFleet) addRequests(router fleet.RouterID, account fleet.ShortID, n int) {
	f.routers[router].waiting[account] += n
	f.sendAsk(router, account)
}

func (f *simulatedFleet) sendAsk(router fleet.RouterID, account fleet.ShortID) {
	r := f.routers[router]
	f.send(message{router: router, ask: newAsk(account, r.waiting[account]), seenThrough: r.seenThrough})
}

// grantAndCheck makes the dispatcher grant slots and checks the invariant of each
// step: it grants only slots that are free as far as it can know. The limit may be
// exceeded while a grant that was removed as lost is in use after all.
func (f *simulatedFleet) grantAndCheck(t require.TestingT) {
	before := make(map[fleet.ShortID]int)
	for i := range f.upstreams {
		upstream := firstUpstream + fleet.ShortID(i)
		before[upstream] = inFlight(f.dispatcher, upstream)
		require.GreaterOrEqual(t, before[upstream], 0)
	}
	for _, g := range f.dispatcher.Grant(f.now) {
		f.send(message{router: g.To, grant: &g})
		before[g.Upstream]++
		require.LessOrEqual(t, before[g.Upstream], f.slots)
	}
	for upstream, n := range before {
		require.Equal(t, n, inFlight(f.dispatcher, upstream))
	}
}

func (f *simulatedFleet) deliver(x message) {
	r := f.routers[x.router]
	switch {
	case x.ask != nil:
		f.dispatcher.HandleAsk(f.now, x.router, x.seenThrough, x.ask)
	case x.release != nil:
		f.dispatcher.Release(f.now, x.router, x.release)
	case x.grant != nil:
		f.receiveGrant(x.router, r, *x.grant)
	case x.report != nil:
		total := f.keeper.Report(f.now, "d", 1, share.Report[keeper.Key]{
			Key: keeper.Key{Service: serviceNumber, Account: x.report.Key}, Cumulative: x.report.Cumulative, Floor: x.report.Floor,
		})
		f.send(message{router: x.router, total: &total, account: x.report.Key})
	case x.total != nil:
		f.dispatcher.Observe(serviceNumber, x.account, *x.total)
	}
}

// receiveGrant handles a grant that arrives at a router.
func (f *simulatedFleet) receiveGrant(router fleet.RouterID, r *simulatedRouter, g dispatcher.Grant) {
	if _, known := r.held[g.ID]; known || g.ID <= 0 {
		return
	}
	r.seenThrough = max(r.seenThrough, g.ID)
	if r.waiting[g.Account] == 0 {
		f.send(message{router: router, release: &schema.Release{Id: g.ID.Count(), Result: schema.Result_RESULT_UNUSED}})
		return
	}
	r.waiting[g.Account]--
	r.held[g.ID] = g
}

func (f *simulatedFleet) finish(router fleet.RouterID, id dispatcher.GrantID, cost uint32) {
	delete(f.routers[router].held, id)
	f.send(message{router: router, release: &schema.Release{Id: id.Count(), Cost: cost}})
}

// resync makes a router report its whole state again, as after a reconnection:
// the grants that it holds and what it asks for.
func (f *simulatedFleet) resync(router fleet.RouterID) {
	r := f.routers[router]
	ids := make(map[dispatcher.GrantID]bool)
	for id, g := range r.held {
		ids[id] = true
		f.dispatcher.HandleHeld(f.now, router, serviceNumber, &schema.Held{
			Upstream: uint32(g.Upstream), Ids: []uint64{uint64(id)}, Accounts: []uint32{uint32(g.Account)}, Costs: []uint32{300},
		})
	}
	f.dispatcher.Reconcile(f.now, router, ids)
	for _, account := range []fleet.ShortID{smallAccount, floodAccount} {
		f.dispatcher.HandleAsk(f.now, router, r.seenThrough, newAsk(account, r.waiting[account]))
	}
}

// endFaults delivers all further messages in order and makes routers resync from
// time to time, until everything is done or 200 rounds have passed.
func (f *simulatedFleet) endFaults(t require.TestingT) {
	f.inTransit = nil
	for range 200 {
		if f.isIdle() {
			return
		}
		f.now = f.now.Add(dispatcher.DefaultAckTimeout)
		f.dispatcher.Tick(f.now)
		for _, router := range f.routerIDs() {
			f.resync(router)
		}
		f.grantAndCheck(t)
		for len(f.inTransit) > 0 {
			x := f.inTransit[0]
			f.inTransit = f.inTransit[1:]
			f.deliver(x)
			f.grantAndCheck(t)
		}
		for _, router := range f.routerIDs() {
			for _, id := range sortedIDs(f.routers[router].held) {
				f.finish(router, id, 300)
			}
		}
	}
}

// isIdle reports whether no request is waiting or holds a slot.
func (f *simulatedFleet) isIdle() bool {
	for _, r := range f.routers {
		if len(r.held)+r.waiting[smallAccount]+r.waiting[floodAccount] > 0 {
			return false
		}
	}
	for i := range f.upstreams {
		if inFlight(f.dispatcher, firstUpstream+fleet.ShortID(i)) != 0 {
			return false
		}
	}
	return true
}

func sortedIDs(held map[dispatcher.GrantID]dispatcher.Grant) []dispatcher.GrantID {
	var ids []dispatcher.GrantID
	for id := range held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Messages between routers are lost, repeated and reordered, because connections
// break and a replaced connection may still deliver messages. Slots must not
// leak, or an upstream would stay idle for good. The number in flight must not
// fall below zero, or the upstream would be overloaded. Every waiting request must
// get a slot once the faults end.
func TestFaultyMessages(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulatedFleet(rapid.IntRange(1, 3).Draw(t, "upstreams"), rapid.IntRange(1, 4).Draw(t, "slots"))
		router := rapid.SampledFrom(f.routerIDs())
		account := rapid.SampledFrom([]fleet.ShortID{smallAccount, floodAccount})
		pick := func(t *rapid.T) int {
			if len(f.inTransit) == 0 {
				t.Skip()
			}
			return rapid.IntRange(0, len(f.inTransit)-1).Draw(t, "message")
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { f.grantAndCheck(t) },
			"arrive": func(t *rapid.T) {
				f.addRequests(router.Draw(t, "router"), account.Draw(t, "account"), rapid.IntRange(1, 5).Draw(t, "n"))
			},
			"deliver": func(t *rapid.T) {
				i := pick(t)
				x := f.inTransit[i]
				f.inTransit = slices.Delete(f.inTransit, i, i+1)
				f.deliver(x)
			},
			"lose":   func(t *rapid.T) { i := pick(t); f.inTransit = slices.Delete(f.inTransit, i, i+1) },
			"repeat": func(t *rapid.T) { f.send(f.inTransit[pick(t)]) },
			"finish": func(t *rapid.T) {
				id := router.Draw(t, "router")
				held := sortedIDs(f.routers[id].held)
				if len(held) == 0 {
					t.Skip()
				}
				f.finish(id, rapid.SampledFrom(held).Draw(t, "hold"), uint32(rapid.IntRange(0, 900).Draw(t, "cost")))
			},
			"gone": func(t *rapid.T) { f.dispatcher.HandleDisconnect(f.now, router.Draw(t, "router")) },
			"rejoin": func(t *rapid.T) {
				id := router.Draw(t, "router")
				ids := make(map[dispatcher.GrantID]bool)
				for grant := range f.routers[id].held {
					ids[grant] = true
				}
				f.dispatcher.HandleConnect(f.now, id, ids, rapid.Bool().Draw(t, "restarted"))
			},
			"report": func(*rapid.T) {
				for _, reports := range f.dispatcher.Reports(500) {
					for _, r := range reports {
						f.send(message{router: "r0", report: &r})
					}
				}
			},
			"time": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
				f.dispatcher.Tick(f.now)
			},
		})
		f.endFaults(t)
		require.True(t, f.isIdle(), "a slot leaked or a request never got a slot")
	})
}
