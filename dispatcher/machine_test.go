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

// machine is a dispatcher, a keeper and three routers whose messages are lost,
// repeated and reordered.
type machine struct {
	d       *dispatcher.Dispatcher[*share.Fair[fleet.Number], inflight.Fixed, placement.LeastLoaded]
	k       *keeper.Keeper
	now     time.Time
	routers map[fleet.RouterID]*model
	wire    []message
	slots   int
	ups     int
}

// model is what one router has.
type model struct {
	waiting map[fleet.Number]int
	holds   map[dispatcher.GrantID]dispatcher.Grant
	through dispatcher.GrantID
}

// message is on its way from or to a router.
type message struct {
	router  fleet.RouterID
	grant   *dispatcher.Grant
	ask     *schema.Ask
	through dispatcher.GrantID
	release *schema.Release
	report  *share.Report[fleet.Number]
	total   *share.Total
	account fleet.Number
}

func newMachine(ups, slots int) *machine {
	m := &machine{now: start, routers: make(map[fleet.RouterID]*model), slots: slots, ups: ups, k: keeper.New(keeper.Options{})}
	m.d = dispatcher.New(dispatcher.Options[*share.Fair[fleet.Number], inflight.Fixed, placement.LeastLoaded]{
		Order: newFair, Limiter: fixed,
	})
	own(m.d, ups, slots, false)
	for i := range 3 {
		m.routers[fleet.RouterID(fmt.Sprintf("r%d", i))] = &model{
			waiting: make(map[fleet.Number]int), holds: make(map[dispatcher.GrantID]dispatcher.Grant),
		}
	}
	return m
}

func (m *machine) ids() []fleet.RouterID { return []fleet.RouterID{"r0", "r1", "r2"} }

func (m *machine) send(x message) { m.wire = append(m.wire, x) }

func (m *machine) arrive(router fleet.RouterID, account fleet.Number, n int) {
	m.routers[router].waiting[account] += n
	m.askOf(router, account)
}

func (m *machine) askOf(router fleet.RouterID, account fleet.Number) {
	r := m.routers[router]
	m.send(message{router: router, ask: ask(account, r.waiting[account]), through: r.through})
}

// settle lets the dispatcher grant, and checks what must hold after each step:
// it grants only what is free as far as it can know. A grant that it gave up
// as lost and that is used all the same counts beyond the limit until it ends.
func (m *machine) settle(t require.TestingT) {
	before := make(map[fleet.Number]int)
	for i := range m.ups {
		upstream := first + fleet.Number(i)
		before[upstream] = inFlight(m.d, upstream)
		require.GreaterOrEqual(t, before[upstream], 0)
	}
	for _, g := range m.d.Grant(m.now) {
		m.send(message{router: g.To, grant: &g})
		before[g.Upstream]++
		require.LessOrEqual(t, before[g.Upstream], m.slots)
	}
	for upstream, n := range before {
		require.Equal(t, n, inFlight(m.d, upstream))
	}
}

func (m *machine) deliver(x message) {
	r := m.routers[x.router]
	switch {
	case x.ask != nil:
		m.d.Ask(m.now, x.router, x.through, x.ask)
	case x.release != nil:
		m.d.Release(m.now, x.router, x.release)
	case x.grant != nil:
		m.take(x.router, r, *x.grant)
	case x.report != nil:
		total := m.k.Report(m.now, "d", 1, share.Report[keeper.Key]{
			Key: keeper.Key{Service: service, Account: x.report.Key}, Cumulative: x.report.Cumulative, Floor: x.report.Floor,
		})
		m.send(message{router: x.router, total: &total, account: x.report.Key})
	case x.total != nil:
		m.d.Observe(service, x.account, *x.total)
	}
}

// take is a router that gets a grant.
func (m *machine) take(router fleet.RouterID, r *model, g dispatcher.Grant) {
	if _, known := r.holds[g.ID]; known || g.ID <= 0 {
		return
	}
	r.through = max(r.through, g.ID)
	if r.waiting[g.Account] == 0 {
		m.send(message{router: router, release: &schema.Release{Id: g.ID.Count(), Result: schema.Result_RESULT_UNUSED}})
		return
	}
	r.waiting[g.Account]--
	r.holds[g.ID] = g
}

func (m *machine) finish(router fleet.RouterID, id dispatcher.GrantID, cost uint32) {
	delete(m.routers[router].holds, id)
	m.send(message{router: router, release: &schema.Release{Id: id.Count(), Cost: cost}})
}

// complete is a router's repeated word of all that it holds and asks.
func (m *machine) complete(router fleet.RouterID) {
	r := m.routers[router]
	ids := make(map[dispatcher.GrantID]bool)
	for id, g := range r.holds {
		ids[id] = true
		m.d.Held(m.now, router, service, &schema.Held{
			Upstream: uint32(g.Upstream), Ids: []uint64{uint64(id)}, Accounts: []uint32{uint32(g.Account)}, Costs: []uint32{300},
		})
	}
	m.d.Complete(m.now, router, ids)
	for _, account := range []fleet.Number{small, flood} {
		m.d.Ask(m.now, router, r.through, ask(account, r.waiting[account]))
	}
}

// heal stops the faults: from now on messages arrive, and routers repeat their
// word as they do after each reconnection and from time to time.
func (m *machine) heal(t require.TestingT) {
	m.wire = nil
	for range 200 {
		if m.done() {
			return
		}
		m.now = m.now.Add(dispatcher.DefaultAckWait)
		m.d.Tick(m.now)
		for _, router := range m.ids() {
			m.complete(router)
		}
		m.settle(t)
		for len(m.wire) > 0 {
			x := m.wire[0]
			m.wire = m.wire[1:]
			m.deliver(x)
			m.settle(t)
		}
		for _, router := range m.ids() {
			for _, id := range sortedIDs(m.routers[router].holds) {
				m.finish(router, id, 300)
			}
		}
	}
}

// done reports whether nothing waits and no slot is taken.
func (m *machine) done() bool {
	for _, r := range m.routers {
		if len(r.holds)+r.waiting[small]+r.waiting[flood] > 0 {
			return false
		}
	}
	for i := range m.ups {
		if inFlight(m.d, first+fleet.Number(i)) != 0 {
			return false
		}
	}
	return true
}

func sortedIDs(holds map[dispatcher.GrantID]dispatcher.Grant) []dispatcher.GrantID {
	var ids []dispatcher.GrantID
	for id := range holds {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Messages between routers are lost, repeated and reordered: connections
// break, and a connection that is replaced may deliver late. Slots must not
// leak, or an upstream would idle for good; the count must not fall below
// zero, or it would be flooded; and each request that waits must get its turn
// once the faults end.
func TestFaultyMessages(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.IntRange(1, 3).Draw(t, "upstreams"), rapid.IntRange(1, 4).Draw(t, "slots"))
		router := rapid.SampledFrom(m.ids())
		account := rapid.SampledFrom([]fleet.Number{small, flood})
		pick := func(t *rapid.T) int {
			if len(m.wire) == 0 {
				t.Skip()
			}
			return rapid.IntRange(0, len(m.wire)-1).Draw(t, "message")
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { m.settle(t) },
			"arrive": func(t *rapid.T) {
				m.arrive(router.Draw(t, "router"), account.Draw(t, "account"), rapid.IntRange(1, 5).Draw(t, "n"))
			},
			"deliver": func(t *rapid.T) {
				i := pick(t)
				x := m.wire[i]
				m.wire = slices.Delete(m.wire, i, i+1)
				m.deliver(x)
			},
			"lose":   func(t *rapid.T) { i := pick(t); m.wire = slices.Delete(m.wire, i, i+1) },
			"repeat": func(t *rapid.T) { m.send(m.wire[pick(t)]) },
			"finish": func(t *rapid.T) {
				id := router.Draw(t, "router")
				holds := sortedIDs(m.routers[id].holds)
				if len(holds) == 0 {
					t.Skip()
				}
				m.finish(id, rapid.SampledFrom(holds).Draw(t, "hold"), uint32(rapid.IntRange(0, 900).Draw(t, "cost")))
			},
			"gone": func(t *rapid.T) { m.d.Gone(m.now, router.Draw(t, "router")) },
			"rejoin": func(t *rapid.T) {
				id := router.Draw(t, "router")
				ids := make(map[dispatcher.GrantID]bool)
				for hold := range m.routers[id].holds {
					ids[hold] = true
				}
				m.d.Connected(m.now, id, ids, rapid.Bool().Draw(t, "restarted"))
			},
			"report": func(*rapid.T) {
				for _, reports := range m.d.Reports(500) {
					for _, r := range reports {
						m.send(message{router: "r0", report: &r})
					}
				}
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
				m.d.Tick(m.now)
			},
		})
		m.heal(t)
		require.True(t, m.done(), "a slot leaked or a request was left to wait")
	})
}
