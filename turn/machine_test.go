package turn_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/coldstart"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// poolMachine is a state machine of a pool whose upstreams are removed, added and changed
// (instance, data centre, slots, cold or warm) while tickets wait, are reassigned, cancelled
// and ended.
type poolMachine struct {
	pool         turn.Pool
	now          time.Time
	upstreams    []registry.Upstream
	incarnations [6]registry.StartTime
	tickets      []*trackedTicket
	lastPrompt   uint64
	// ownsCold is what the pool is told about the ownership of cold upstreams.
	ownsCold bool
	// avoided are the upstreams that want no requests for a while.
	avoided avoidance.Set[turn.Instance]
}

// trackedTicket is a ticket and its request.
type trackedTicket struct {
	*turn.Ticket
	request     turn.Request
	submittedAt time.Time
	// ended is true once the ticket was cancelled, refused or ended.
	ended bool
}

func (t *trackedTicket) isWaiting() bool { return !t.ended && !isGranted(t.Ticket) }

func (m *poolMachine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
}

// setUpstreams replaces the list by any subset of the upstreams, including none.
func (m *poolMachine) setUpstreams(t *rapid.T) {
	m.advance(t)
	present := rapid.IntRange(0, 1<<len(m.incarnations)-1).Draw(t, "present")
	if rapid.IntRange(0, 3).Draw(t, "empty") == 0 {
		present = 0
	}
	m.upstreams = nil
	for i := range m.incarnations {
		if rapid.IntRange(0, 9).Draw(t, "new life") == 0 {
			m.incarnations[i]++
		}
		if present&(1<<i) == 0 {
			continue
		}
		m.upstreams = append(m.upstreams, registry.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Address: fmt.Sprintf("10.0.0.%d:80", i), StartTime: m.incarnations[i],
			Slots: rapid.IntRange(0, 3).Draw(t, "slots"), DataCenter: rapid.SampledFrom([]fleet.DataCenterID{"", "a", "b"}).Draw(t, "data centre"),
			ColdUntil: m.now.Add(rapid.SampledFrom([]time.Duration{-time.Hour, time.Second, time.Hour}).Draw(t, "cold")),
		})
	}
	m.pool.SetUpstreams(m.now, m.upstreams, rapid.SampledFrom([]time.Duration{0, target, time.Hour}).Draw(t, "target"))
}

// setColdStart changes the limit on cold upstreams and which router owns them.
func (m *poolMachine) setColdStart(t *rapid.T) {
	rate := rapid.SampledFrom([]float64{0, 0.3, 5, 1e9}).Draw(t, "rate")
	m.pool.SetColdStart(coldstart.Policy{Duration: time.Second, Limit: coldstart.Tolerance{}.Limit(rate)})
	m.ownsCold = rapid.Bool().Draw(t, "owns")
}

func (m *poolMachine) setGrouped(t *rapid.T) {
	m.pool.SetGrouped(m.now, rapid.Bool().Draw(t, "grouped"))
}

func (m *poolMachine) setMemory(t *rapid.T) {
	m.pool.SetMemory(m.now, turn.Memory{Capacity: rapid.SampledFrom([]int{0, 1, 30_000, 1_000_000}).Draw(t, "capacity")})
}

func (m *poolMachine) submit(t *rapid.T) {
	m.advance(t)
	m.lastPrompt++
	id := m.lastPrompt - min(rapid.Uint64Range(0, 3).Draw(t, "returns"), m.lastPrompt-1)
	r := prompt(rapid.SampledFrom([]fleet.AccountID{"a", "b", "c"}).Draw(t, "account"), rapid.Uint64Range(1, 4).Draw(t, "shared"), 100+id,
		rapid.SampledFrom([]int{-10_000, 1_000, 200_000}).Draw(t, "tokens"))
	r.Patience = rapid.SampledFrom([]time.Duration{0, target, time.Hour}).Draw(t, "patience")
	r.Left = rapid.SampledFrom([]time.Duration{0, 4 * time.Second, time.Hour}).Draw(t, "left")
	r.Age = rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, time.Hour}).Draw(t, "age")
	for i := range m.incarnations {
		if rapid.IntRange(0, 5).Draw(t, "tried") == 0 {
			r.Tried = append(r.Tried, turn.Instance{ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), StartTime: m.incarnations[i]})
		}
	}
	r.Avoid = &m.avoided
	ticket, err := m.pool.Submit(m.now, r)
	if err != nil {
		var refused *turn.RefusedError
		require.ErrorAs(t, err, &refused)
		require.Positive(t, refused.RetryAfter)
		require.False(t, refused.Reserved && refused.RetryAfter > r.Left/3, "the caller doesn't return so late")
		require.False(t, refused.Reserved && r.Age == 0 && refused.RetryAfter > r.Target, "the first event can't be in time")
		return
	}
	m.tickets = append(m.tickets, &trackedTicket{Ticket: ticket, request: r, submittedAt: m.now})
	if isGranted(ticket) {
		_, avoided := m.avoided.Find(m.now, turn.InstanceOf(ticket.Upstream()))
		require.False(t, avoided, "sent to an upstream that wants no requests")
	}
}

// drawTicket returns one of the tickets, or skips the step if there are none.
func (m *poolMachine) drawTicket(t *rapid.T) *trackedTicket {
	if len(m.tickets) == 0 {
		t.Skip("no ticket")
	}
	return m.tickets[rapid.IntRange(0, len(m.tickets)-1).Draw(t, "ticket")]
}

// cancel cancels a ticket, including one that has already ended.
func (m *poolMachine) cancel(t *rapid.T) {
	m.advance(t)
	ticket := m.drawTicket(t)
	if isGranted(ticket.Ticket) {
		require.Nil(t, ticket.Cancel(m.now))
		return
	}
	refused := ticket.Cancel(m.now)
	require.NotNil(t, refused)
	require.Positive(t, refused.RetryAfter)
	ticket.ended = true
}

func (m *poolMachine) recordFirstEvent(t *rapid.T) {
	m.advance(t)
	m.drawTicket(t).RecordFirstEvent(m.now)
}

func (m *poolMachine) end(t *rapid.T) {
	m.advance(t)
	ticket := m.drawTicket(t)
	granted := isGranted(ticket.Ticket)
	ticket.End(m.now, turn.Outcome(rapid.IntRange(-1, 9).Draw(t, "outcome")))
	ticket.ended = ticket.ended || granted
}

// applyReport applies an arbitrary report of another router.
func (m *poolMachine) applyReport(t *rapid.T) {
	m.advance(t)
	amount := rapid.SampledFrom([]int{0, 1, 5_000, 1 << 32, -5})
	tokens := rapid.SampledFrom([]float64{0, 1, 1e6, 1e300, -1e300})
	report := turn.Report{Upstreams: make(map[turn.Key]turn.Load), Accounts: make(map[turn.Key]turn.Usage)}
	for _, id := range []fleet.UpstreamID{"e0", "e3", "unknown"} {
		report.Upstreams[turn.KeyOf(id)] = turn.Load{
			PendingPrefill: amount.Draw(t, "unread"), InFlight: amount.Draw(t, "in flight"), WaitingTokens: amount.Draw(t, "waiting"),
			NewPrefixes: []uint64{rapid.Uint64().Draw(t, "read")},
		}
	}
	for _, id := range []fleet.AccountID{"a", "unknown"} {
		report.Accounts[turn.KeyOf(id)] = turn.Usage{
			Served: tokens.Draw(t, "served"), WaitingTokens: amount.Draw(t, "waiting"), Refused: tokens.Draw(t, "denied"), Shed: tokens.Draw(t, "shed"),
		}
	}
	m.pool.ApplyReport(m.now, rapid.SampledFrom([]fleet.RouterID{"r1", "r2"}).Draw(t, "router"), report)
}

func (m *poolMachine) recordShed(t *rapid.T) {
	m.pool.RecordShed(m.now, "a", rapid.SampledFrom([]float64{0, 1e4, 1e300}).Draw(t, "tokens"))
}

// check compares the pool's report with the tickets, and requires that each waiting ticket
// has a usable upstream.
func (m *poolMachine) check(t *rapid.T) {
	waiting := 0
	for _, ticket := range m.tickets {
		select {
		case refused := <-ticket.Refused():
			require.True(t, refused.NoUpstream || (refused.Lack == turn.LackBackoff && m.backsOff(ticket)), "refused for %q", refused.Lack)
			require.False(t, ticket.ended, "refused after its end")
			ticket.ended = true
		default:
		}
		if !ticket.isWaiting() {
			continue
		}
		waiting += ticket.request.Input
		require.True(t, m.hasUpstream(ticket), "the ticket waits although no untried upstream is left")
	}
	report := m.pool.Report(m.now)
	byUpstream, byAccount := 0, 0
	for _, load := range report.Upstreams {
		byUpstream += load.WaitingTokens
	}
	for _, usage := range report.Accounts {
		byAccount += usage.WaitingTokens
	}
	require.Equal(t, waiting, byUpstream)
	require.Equal(t, waiting, byAccount)
}

// backOff makes an upstream want no requests for a while.
func (m *poolMachine) backOff(t *rapid.T) {
	if len(m.upstreams) == 0 {
		return
	}
	i := turn.InstanceOf(rapid.SampledFrom(m.upstreams).Draw(t, "upstream"))
	until, _ := m.avoided.RecordBackoff(m.now, i, time.Duration(rapid.IntRange(1, 3000).Draw(t, "backoff ms"))*time.Millisecond)
	m.pool.ApplyBackoff(m.now, i, until)
}

// backsOff reports whether all upstreams that a ticket could go to want no requests until its patience is over.
func (m *poolMachine) backsOff(ticket *trackedTicket) bool {
	for _, u := range m.upstreams {
		term, avoided := m.avoided.Find(m.now, turn.InstanceOf(u))
		isTried := slices.Contains(ticket.request.Tried, turn.InstanceOf(u))
		if !isTried && (!avoided || !term.Until.After(ticket.submittedAt.Add(ticket.Patience()))) {
			return false
		}
	}
	return true
}

func (m *poolMachine) hasUpstream(ticket *trackedTicket) bool {
	for _, u := range m.upstreams {
		tried := false
		for _, i := range ticket.request.Tried {
			tried = tried || i == turn.InstanceOf(u)
		}
		if !tried {
			return true
		}
	}
	return false
}

// Guards against a crash, or a request that waits without any upstream, when all upstreams
// of a service are removed, added and changed while requests wait.
func TestPoolSurvivesUpstreamChanges(t *testing.T) {
	t.Parallel()
	for name, placement := range map[string]turn.Placement{"by-cache": nil, "least-loaded": turn.LeastLoaded{}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				m := &poolMachine{now: start}
				m.pool.Placement = placement
				m.pool.OwnsCold = func(time.Time, fleet.UpstreamID, int) bool { return m.ownsCold }
				// Repeat sorts the steps by name, so other names change the sequences of a seed.
				t.Repeat(map[string]func(*rapid.T){
					"set": m.setUpstreams, "group": m.setGrouped, "ask": m.submit, "ask more": m.submit, "give up": m.cancel, "first": m.recordFirstEvent,
					"end": m.end, "cold": m.setColdStart, "back off": m.backOff, "memory": m.setMemory, "observe": m.applyReport, "shed": m.recordShed, "": m.check,
				})
			})
		})
	}
}
