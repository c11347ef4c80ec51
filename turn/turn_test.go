package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

var start = time.Unix(1_800_000_000, 0)

const target = 800 * time.Millisecond

func engines(n int) []registry.Upstream {
	list := make([]registry.Upstream, n)
	for i := range list {
		list[i] = registry.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 64, Life: 1}
	}
	return list
}

func pool(n int) *turn.Pool {
	p := &turn.Pool{}
	p.Set(start, engines(n), target)
	return p
}

// prompt returns a demand whose prompt begins with a shared part.
func prompt(account fleet.AccountID, shared uint64, own uint64, tokens int) turn.Demand {
	return turn.Demand{
		Account: account, Input: 10_000 + tokens, Output: 100, Target: target, Patience: target / 2,
		Beginnings: []turn.Beginning{{Hash: shared, Tokens: 10_000}, {Hash: own, Tokens: 10_000 + tokens}},
	}
}

func started(t *turn.Ticket) bool {
	select {
	case <-t.Granted():
		return true
	default:
		return false
	}
}

// Many requests begin alike. Sent anywhere, each engine reads the beginning
// once more, and reading is what engines lack. They meet at the few owners of
// their beginning, and the second owner copies it from the first.
func TestRequestsThatBeginAlikeMeet(t *testing.T) {
	t.Parallel()
	p := pool(9)
	used := make(map[fleet.UpstreamID]int)
	fetched := 0
	for i := range uint64(30) {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		ticket, err := p.Ask(now, prompt("a", 1, 100+i, 1_000))
		require.NoError(t, err)
		require.True(t, started(ticket))
		used[ticket.Upstream().ID]++
		if ticket.FetchFrom() != "" {
			fetched++
			require.NotEqual(t, ticket.Upstream().Address, ticket.FetchFrom())
		}
		ticket.First(now.Add(90 * time.Millisecond))
		ticket.End(now.Add(95*time.Millisecond), turn.Served)
	}
	require.LessOrEqual(t, len(used), 2)
	require.LessOrEqual(t, fetched, 1)
}

// All routers must choose the same owners without asking each other.
func TestRoutersAgreeOnOwners(t *testing.T) {
	t.Parallel()
	for shared := range uint64(50) {
		one, err := pool(9).Ask(start, prompt("a", shared, 1, 0))
		require.NoError(t, err)
		other, err := pool(9).Ask(start, prompt("b", shared, 2, 0))
		require.NoError(t, err)
		require.Equal(t, one.Upstream().ID, other.Upstream().ID)
	}
}

// A burst asks one engine to read more prompts than it can in time. Sent there,
// they would stand in the engine's queue, each behind all others, and be read in
// vain when their callers have left. They wait here instead.
func TestEngineIsNotFilledBeyondWhatItReadsInTime(t *testing.T) {
	t.Parallel()
	p := pool(1)
	running := 0
	for i := range uint64(40) {
		ticket, err := p.Ask(start, prompt("a", i, 1_000+i, 2_000))
		if err == nil && started(ticket) {
			running++
		}
	}
	require.Equal(t, 1, running)
}

// Saturation: what can't have its turn in time is refused at once, with when to
// come back, and not held until it is late.
func TestSaturationIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	p := pool(1)
	refused := 0
	for i := range uint64(60) {
		_, err := p.Ask(start, prompt("a", i, 1_000+i, 2_000))
		var e *turn.RefusedError
		if err == nil {
			continue
		}
		require.ErrorAs(t, err, &e)
		require.Positive(t, e.RetryAfter)
		require.Greater(t, e.Wait, target/2)
		refused++
	}
	require.Greater(t, refused, 40)
}

// One account floods the service and another asks now and then. The small one's
// turn comes next, whatever stands in the queue before it.
func TestSmallAccountGoesBeforeAFlood(t *testing.T) {
	t.Parallel()
	p := pool(1)
	flood := make([]*turn.Ticket, 0, 10)
	for i := range uint64(10) {
		if ticket, err := p.Ask(start, prompt("flood", i, 1_000+i, 1_000)); err == nil {
			flood = append(flood, ticket)
		}
	}
	small, err := p.Ask(start, prompt("small", 99, 999, 1_000))
	require.NoError(t, err)
	require.False(t, started(small))
	flood[0].First(start.Add(100 * time.Millisecond))
	require.True(t, started(small))
	for _, waiting := range flood[1:] {
		require.False(t, started(waiting))
	}
}

// The accounts arrive at different routers: one floods here, another waits
// there. Without a word between the routers this one would give each place that
// comes free to the flood, and the other account would wait for ever.
func TestAccountThatWaitsElsewhereIsLeftRoom(t *testing.T) {
	t.Parallel()
	const reading = 250 * time.Millisecond
	serve := func(waiting int) int {
		p := pool(1)
		count := 0
		var queue []*turn.Ticket
		since := make(map[*turn.Ticket]time.Time)
		for i := range 300 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			p.Observe(now, "other", turn.Report{
				Upstreams: map[turn.Key]turn.Load{turn.KeyOf(fleet.UpstreamID("e0")): {Unread: 8_000, InFlight: 1}},
				Accounts:  map[turn.Key]turn.Standing{turn.KeyOf(fleet.AccountID("waits")): {Served: 10, Waiting: waiting}},
			})
			ticket, err := p.Ask(now, turn.Demand{Account: "flood", Input: 2_000, Patience: time.Hour, Target: target})
			require.NoError(t, err)
			queue = append(queue, ticket)
			for _, waiting := range queue {
				if _, known := since[waiting]; !known && started(waiting) {
					since[waiting] = now
				}
			}
			if begun, ok := since[queue[0]]; ok && now.Sub(begun) >= reading {
				queue[0].First(now)
				queue[0].End(now, turn.Served)
				queue = queue[1:]
				count++
			}
		}
		return count
	}
	require.Less(t, serve(20_000), serve(0)/2)
}

// Two accounts wait for a busy engine, of which one was served much of late. What
// both ask can't be served. The one that was served less waits longer before it is
// refused, or the other, with more requests, would have nearly every place.
func TestAccountServedLessWaitsLonger(t *testing.T) {
	t.Parallel()
	p := pool(1)
	p.Observe(start, "other", turn.Report{
		Upstreams: map[turn.Key]turn.Load{turn.KeyOf(fleet.UpstreamID("e0")): {Unread: 20_000, InFlight: 1}},
		Accounts:  map[turn.Key]turn.Standing{turn.KeyOf(fleet.AccountID("rich")): {Served: 500_000, Denied: 500_000}},
	})
	poor, err := p.Ask(start, prompt("poor", 1, 2, 0))
	require.NoError(t, err)
	rich, err := p.Ask(start, prompt("rich", 3, 4, 0))
	require.NoError(t, err)
	require.Greater(t, poor.Patience(), target/2)
	require.Less(t, rich.Patience(), target/2)
}

// Another router's last report is a second and a half old: it was cut off or is
// gone. What it had at the engines must not block them for ever.
func TestOldReportsOfARouterDoNotCount(t *testing.T) {
	t.Parallel()
	p := pool(1)
	full := turn.Report{Upstreams: map[turn.Key]turn.Load{turn.KeyOf(fleet.UpstreamID("e0")): {Unread: 1 << 20, InFlight: 64}}}
	p.Observe(start, "gone", full)
	ticket, err := p.Ask(start, prompt("a", 1, 2, 0))
	require.Error(t, err)
	require.Nil(t, ticket)
	later := start.Add(2 * time.Second)
	p.Observe(later, "other", turn.Report{})
	ticket, err = p.Ask(later, prompt("a", 1, 2, 0))
	require.NoError(t, err)
	require.True(t, started(ticket))
}

// All other routers lose power. No report comes any more that would take the place
// of their last ones, and the router that is left refuses everything because of
// what they had in flight.
func TestLastRouterForgetsWhatTheOthersHad(t *testing.T) {
	t.Parallel()
	p := pool(1)
	p.Observe(start, "gone", turn.Report{
		Upstreams: map[turn.Key]turn.Load{turn.KeyOf(fleet.UpstreamID("e0")): {Unread: 1 << 20, InFlight: 64}},
	})
	_, err := p.Ask(start, prompt("a", 1, 2, 0))
	require.Error(t, err)
	ticket, err := p.Ask(start.Add(2*time.Second), prompt("a", 1, 2, 0))
	require.NoError(t, err)
	require.True(t, started(ticket))
}

// An engine starts again under its id, with an empty cache. What its former life
// had must not be counted on.
func TestNewLifeOfAnEngineHasAnEmptyCache(t *testing.T) {
	t.Parallel()
	p := pool(1)
	first, err := p.Ask(start, prompt("a", 1, 2, 500))
	require.NoError(t, err)
	require.Equal(t, 10_500, first.Work())
	first.End(start, turn.Served)
	second, err := p.Ask(start, prompt("a", 1, 3, 500))
	require.NoError(t, err)
	require.Equal(t, 500, second.Work())
	second.End(start, turn.Served)
	reborn := engines(1)
	reborn[0].Life = 2
	p.Set(start, reborn, target)
	third, err := p.Ask(start, prompt("a", 1, 4, 500))
	require.NoError(t, err)
	require.Equal(t, 10_500, third.Work())
}

// A request was refused by one upstream and asks for another turn. It is not
// sent back to the one that refused it.
func TestTriedUpstreamsAreLeftOut(t *testing.T) {
	t.Parallel()
	p := pool(2)
	d := prompt("a", 1, 2, 0)
	first, err := p.Ask(start, d)
	require.NoError(t, err)
	d.Tried = []turn.Instance{turn.InstanceOf(first.Upstream())}
	first.End(start, turn.Refused)
	second, err := p.Ask(start, d)
	require.NoError(t, err)
	require.NotEqual(t, first.Upstream().ID, second.Upstream().ID)
	d.Tried = append(d.Tried, turn.InstanceOf(second.Upstream()))
	_, err = p.Ask(start, d)
	var refused *turn.RefusedError
	require.ErrorAs(t, err, &refused)
	require.True(t, refused.NoUpstream)
}

// A plain application has three upstreams of six slots. Requests go where least
// is in flight, one of them that reaches nothing is left, and no more than twice
// the slots are sent to one.
func TestPlainRequestsSpreadAndAreBounded(t *testing.T) {
	t.Parallel()
	p := &turn.Pool{Placement: turn.LeastLoaded{}}
	list := engines(3)
	for i := range list {
		list[i].Slots = 6
	}
	p.Set(start, list, 0)
	counts := make(map[fleet.UpstreamID]int)
	for range 50 {
		ticket, err := p.Ask(start, turn.Demand{Account: "a", Input: 1, Patience: time.Second})
		require.NoError(t, err)
		if started(ticket) {
			counts[ticket.Upstream().ID]++
		}
	}
	require.Equal(t, map[fleet.UpstreamID]int{"e0": 12, "e1": 12, "e2": 12}, counts)
}

// A caller leaves while its request waits. Its place in the queue is free, and
// if the turn came at the same moment, it is given back.
func TestGiveUpLeavesTheQueue(t *testing.T) {
	t.Parallel()
	p := pool(1)
	first, err := p.Ask(start, prompt("a", 1, 2, 8_000))
	require.NoError(t, err)
	second, err := p.Ask(start, prompt("a", 3, 4, 8_000))
	require.NoError(t, err)
	third, err := p.Ask(start, prompt("a", 5, 6, 8_000))
	require.NoError(t, err)
	refused := second.GiveUp(start.Add(time.Second))
	require.NotNil(t, refused)
	require.Equal(t, time.Second, refused.Waited)
	first.End(start.Add(time.Second), turn.Served)
	require.True(t, started(third))
	require.Nil(t, third.GiveUp(start.Add(time.Second)))
}

func BenchmarkAsk(b *testing.B) {
	p := pool(12)
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		ticket, err := p.Ask(now, prompt("a", uint64(i%400), uint64(1_000+i), 500))
		if err != nil {
			b.Fatal(err)
		}
		ticket.First(now)
		ticket.End(now, turn.Served)
	}
}

// A burst fills the queue; each event at an engine looks through it.
func BenchmarkPumpWithAFullQueue(b *testing.B) {
	p := pool(12)
	for i := range uint64(200) {
		d := prompt("a", i, 1_000+i, 20_000)
		d.Patience = time.Hour
		if _, err := p.Ask(start, d); err != nil {
			b.Fatal(err)
		}
	}
	for i := range b.N {
		p.Observe(start.Add(time.Duration(i)), "other", turn.Report{})
	}
}

// Guards against a process that ends because a request still waits when the last upstream goes.
func TestRequestThatWaitsOutlivesTheLastUpstream(t *testing.T) {
	t.Parallel()
	p := pool(1)
	granted, err := p.Ask(start, prompt("a", 1, 2, 40_000))
	require.NoError(t, err)
	require.True(t, started(granted))
	waiting, err := p.Ask(start, prompt("b", 1, 3, 1_000))
	require.NoError(t, err)
	require.False(t, started(waiting))
	p.Set(start, nil, target)
	refused := waiting.GiveUp(start)
	require.NotNil(t, refused)
	require.True(t, refused.NoUpstream)
	require.Positive(t, refused.RetryAfter)
	granted.End(start, turn.Failed)
}

// Guards against a request that waits out its patience although no upstream is left.
func TestRequestThatWaitsIsRefusedWithTheLastUpstream(t *testing.T) {
	t.Parallel()
	for name, empty := range map[string]func(p *turn.Pool, tried turn.Instance){
		"all have left":          func(p *turn.Pool, _ turn.Instance) { p.Set(start, nil, target) },
		"only a tried one stays": func(p *turn.Pool, _ turn.Instance) { p.Set(start, engines(1), target) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := pool(2)
			tried := turn.InstanceOf(engines(1)[0])
			d := prompt("b", 1, 3, 1_000)
			d.Tried = []turn.Instance{tried}
			fill(t, p)
			waiting, err := p.Ask(start, d)
			require.NoError(t, err)
			require.False(t, started(waiting))
			empty(p, tried)
			require.Len(t, waiting.Refused(), 1)
			refused := <-waiting.Refused()
			require.True(t, refused.NoUpstream)
			require.Positive(t, refused.RetryAfter)
			require.Equal(t, refused, waiting.GiveUp(start), "the ticket has ended")
		})
	}
}

// fill gives each upstream of a pool of two a prompt that takes its target to read.
func fill(t *testing.T, p *turn.Pool) {
	t.Helper()
	for i := range uint64(2) {
		d := prompt("a", 1, 10+i, 40_000)
		if i > 0 {
			d.Tried = []turn.Instance{turn.InstanceOf(engines(2)[0])}
		} else {
			d.Tried = []turn.Instance{turn.InstanceOf(engines(2)[1])}
		}
		ticket, err := p.Ask(start, d)
		require.NoError(t, err)
		require.True(t, started(ticket))
	}
}

// Guards against a request that stays with an upstream that has left while another one is free.
func TestRequestThatWaitsMovesToAnUpstreamThatComes(t *testing.T) {
	t.Parallel()
	p := pool(2)
	fill(t, p)
	waiting, err := p.Ask(start, prompt("b", 1, 3, 1_000))
	require.NoError(t, err)
	require.False(t, started(waiting))
	p.Set(start, engines(3)[2:], target)
	require.True(t, started(waiting))
	require.Equal(t, engines(3)[2].ID, waiting.Upstream().ID)
}

// Guards against a queue that is counted down twice when a wait ends twice, as it does when a
// home's patience ends while the router that asked leaves.
func TestWaitThatEndsTwiceIsCountedOnce(t *testing.T) {
	t.Parallel()
	p := pool(1)
	first, err := p.Ask(start, prompt("a", 1, 2, 40_000))
	require.NoError(t, err)
	patient := prompt("b", 1, 3, 1_000)
	patient.Patience = time.Minute
	given, err := p.Ask(start, patient)
	require.NoError(t, err)
	kept, err := p.Ask(start, patient)
	require.NoError(t, err)
	require.NotNil(t, given.GiveUp(start))
	require.NotNil(t, given.GiveUp(start))
	require.Equal(t, 11_000, p.Report(start).Upstreams[turn.KeyOf(engines(1)[0].ID)].Waiting)
	first.End(start, turn.Served)
	require.True(t, started(kept), "what waits is still seen")
}

// Guards against a process that ends because another router tells of a turn that it hasn't got.
func TestEventsOfATurnThatHasNotComeAreIgnored(t *testing.T) {
	t.Parallel()
	p := pool(1)
	fills := prompt("a", 1, 2, 40_000)
	_, err := p.Ask(start, fills)
	require.NoError(t, err)
	waiting, err := p.Ask(start, prompt("b", 1, 3, 1_000))
	require.NoError(t, err)
	require.False(t, started(waiting))
	waiting.First(start)
	waiting.End(start, turn.Served)
	require.Equal(t, 11_000, p.Report(start).Upstreams[turn.KeyOf(engines(1)[0].ID)].Waiting)
}
