package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// machine is a pool whose upstreams all leave and return, change their lives, data centres and
// slots, while tickets wait, move, are given up and end.
type machine struct {
	pool    turn.Pool
	now     time.Time
	list    []registry.Upstream
	lives   [6]registry.Life
	tickets []*tracked
	own     uint64
}

// tracked is a ticket with its demand.
type tracked struct {
	*turn.Ticket
	demand turn.Demand
	// over is true once the ticket was given up, refused or ended.
	over bool
}

func (k *tracked) isWaiting() bool { return !k.over && !started(k.Ticket) }

func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
}

// set replaces the list by any part of the upstreams, none included.
func (m *machine) set(t *rapid.T) {
	m.pass(t)
	present := rapid.IntRange(0, 1<<len(m.lives)-1).Draw(t, "present")
	if rapid.IntRange(0, 3).Draw(t, "empty") == 0 {
		present = 0
	}
	m.list = nil
	for i := range m.lives {
		if rapid.IntRange(0, 9).Draw(t, "new life") == 0 {
			m.lives[i]++
		}
		if present&(1<<i) == 0 {
			continue
		}
		m.list = append(m.list, registry.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Address: fmt.Sprintf("10.0.0.%d:80", i), Life: m.lives[i],
			Slots: rapid.IntRange(0, 3).Draw(t, "slots"), DataCenter: rapid.SampledFrom([]fleet.DataCenterID{"", "a", "b"}).Draw(t, "data centre"),
		})
	}
	m.pool.Set(m.now, m.list, rapid.SampledFrom([]time.Duration{0, target, time.Hour}).Draw(t, "target"))
}

func (m *machine) group(t *rapid.T) {
	m.pool.SetGrouped(m.now, rapid.Bool().Draw(t, "grouped"))
}

func (m *machine) ask(t *rapid.T) {
	m.pass(t)
	m.own++
	d := prompt(rapid.SampledFrom([]fleet.AccountID{"a", "b", "c"}).Draw(t, "account"), rapid.Uint64Range(1, 4).Draw(t, "shared"), 100+m.own,
		rapid.SampledFrom([]int{-10_000, 1_000, 200_000}).Draw(t, "tokens"))
	d.Patience = rapid.SampledFrom([]time.Duration{0, target, time.Hour}).Draw(t, "patience")
	for i := range m.lives {
		if rapid.IntRange(0, 5).Draw(t, "tried") == 0 {
			d.Tried = append(d.Tried, turn.Instance{ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Life: m.lives[i]})
		}
	}
	ticket, err := m.pool.Ask(m.now, d)
	if err != nil {
		var refused *turn.RefusedError
		require.ErrorAs(t, err, &refused)
		require.Positive(t, refused.RetryAfter)
		return
	}
	m.tickets = append(m.tickets, &tracked{Ticket: ticket, demand: d})
}

// any returns one of the tickets, skipping the step if there are none.
func (m *machine) any(t *rapid.T) *tracked {
	if len(m.tickets) == 0 {
		t.Skip("no ticket")
	}
	return m.tickets[rapid.IntRange(0, len(m.tickets)-1).Draw(t, "ticket")]
}

// giveUp ends the wait of a ticket, also of one that has ended.
func (m *machine) giveUp(t *rapid.T) {
	m.pass(t)
	ticket := m.any(t)
	if started(ticket.Ticket) {
		require.Nil(t, ticket.GiveUp(m.now))
		return
	}
	refused := ticket.GiveUp(m.now)
	require.NotNil(t, refused)
	require.Positive(t, refused.RetryAfter)
	ticket.over = true
}

func (m *machine) first(t *rapid.T) {
	m.pass(t)
	m.any(t).First(m.now)
}

func (m *machine) end(t *rapid.T) {
	m.pass(t)
	ticket := m.any(t)
	isGranted := started(ticket.Ticket)
	ticket.End(m.now, turn.Outcome(rapid.IntRange(-1, 9).Draw(t, "outcome")))
	ticket.over = ticket.over || isGranted
}

// observe takes a report of another router, of any content.
func (m *machine) observe(t *rapid.T) {
	m.pass(t)
	amount := rapid.SampledFrom([]int{0, 1, 5_000, 1 << 32, -5})
	tokens := rapid.SampledFrom([]float64{0, 1, 1e6, 1e300, -1e300})
	report := turn.Report{Upstreams: make(map[turn.Key]turn.Load), Accounts: make(map[turn.Key]turn.Standing)}
	for _, id := range []fleet.UpstreamID{"e0", "e3", "unknown"} {
		report.Upstreams[turn.KeyOf(id)] = turn.Load{
			Unread: amount.Draw(t, "unread"), InFlight: amount.Draw(t, "in flight"), Waiting: amount.Draw(t, "waiting"),
			Read: []uint64{rapid.Uint64().Draw(t, "read")},
		}
	}
	for _, id := range []fleet.AccountID{"a", "unknown"} {
		report.Accounts[turn.KeyOf(id)] = turn.Standing{
			Served: tokens.Draw(t, "served"), Waiting: amount.Draw(t, "waiting"), Denied: tokens.Draw(t, "denied"), Shed: tokens.Draw(t, "shed"),
		}
	}
	m.pool.Observe(m.now, rapid.SampledFrom([]fleet.RouterID{"r1", "r2"}).Draw(t, "router"), report)
}

func (m *machine) shed(t *rapid.T) {
	m.pool.Shed(m.now, "a", rapid.SampledFrom([]float64{0, 1e4, 1e300}).Draw(t, "tokens"))
}

// check compares what the pool tells with the tickets, and that none waits for nothing.
func (m *machine) check(t *rapid.T) {
	waiting := 0
	for _, ticket := range m.tickets {
		select {
		case refused := <-ticket.Refused():
			require.True(t, refused.NoUpstream)
			require.False(t, ticket.over, "refused after its end")
			ticket.over = true
		default:
		}
		if !ticket.isWaiting() {
			continue
		}
		waiting += ticket.demand.Input
		require.True(t, m.hasUpstream(ticket), "waits though no upstream is left that it hasn't tried")
	}
	report := m.pool.Report(m.now)
	byUpstream, byAccount := 0, 0
	for _, load := range report.Upstreams {
		byUpstream += load.Waiting
	}
	for _, standing := range report.Accounts {
		byAccount += standing.Waiting
	}
	require.Equal(t, waiting, byUpstream)
	require.Equal(t, waiting, byAccount)
}

func (m *machine) hasUpstream(ticket *tracked) bool {
	for _, u := range m.list {
		tried := false
		for _, i := range ticket.demand.Tried {
			tried = tried || i == turn.InstanceOf(u)
		}
		if !tried {
			return true
		}
	}
	return false
}

// Guards against a process that ends, or a request that waits for nothing, because all
// upstreams of a service leave, return and change while requests wait.
func TestPoolOutlivesAnyChangeOfItsUpstreams(t *testing.T) {
	t.Parallel()
	for name, placement := range map[string]turn.Placement{"by-cache": nil, "least-loaded": turn.LeastLoaded{}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				m := &machine{now: start}
				m.pool.Placement = placement
				t.Repeat(map[string]func(*rapid.T){
					"set": m.set, "group": m.group, "ask": m.ask, "ask more": m.ask, "give up": m.giveUp, "first": m.first,
					"end": m.end, "observe": m.observe, "shed": m.shed, "": m.check,
				})
			})
		})
	}
}
