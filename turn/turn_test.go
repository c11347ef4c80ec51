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

func newEngines(n int) []registry.Upstream {
	upstreams := make([]registry.Upstream, n)
	for i := range upstreams {
		upstreams[i] = registry.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 64, StartTime: 1}
	}
	return upstreams
}

func newPool(n int) *turn.Pool {
	p := &turn.Pool{}
	p.SetUpstreams(start, newEngines(n), target)
	return p
}

// prompt returns a request whose prompt starts with a shared prefix of 10,000 tokens.
func prompt(account fleet.AccountID, prefix uint64, promptHash uint64, tokens int) turn.Request {
	return turn.Request{
		Account: account, Input: 10_000 + tokens, Output: 100, Target: target, Patience: target / 2,
		Prefixes: []turn.Prefix{{Hash: prefix, Tokens: 10_000}, {Hash: promptHash, Tokens: 10_000 + tokens}},
	}
}

func isGranted(t *turn.Ticket) bool {
	select {
	case <-t.Granted():
		return true
	default:
		return false
	}
}

// Guards against engines that each read the same prompt prefix again although prefill is
// their bottleneck. Requests with a shared prefix go to its few owners, and the second
// owner copies it from the first.
func TestSharedPrefixGoesToItsOwners(t *testing.T) {
	t.Parallel()
	p := newPool(9)
	used := make(map[fleet.UpstreamID]int)
	fetched := 0
	for i := range uint64(30) {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		ticket, err := p.Submit(now, prompt("a", 1, 100+i, 1_000))
		require.NoError(t, err)
		require.True(t, isGranted(ticket))
		used[ticket.Upstream().ID]++
		if ticket.FetchFrom() != "" {
			fetched++
			require.NotEqual(t, ticket.Upstream().Address, ticket.FetchFrom())
		}
		ticket.RecordFirstEvent(now.Add(90 * time.Millisecond))
		ticket.End(now.Add(95*time.Millisecond), turn.Served)
	}
	require.LessOrEqual(t, len(used), 2)
	require.LessOrEqual(t, fetched, 1)
}

// All routers must choose the same owners without communication.
func TestRoutersAgreeOnOwners(t *testing.T) {
	t.Parallel()
	for prefix := range uint64(50) {
		one, err := newPool(9).Submit(start, prompt("a", prefix, 1, 0))
		require.NoError(t, err)
		other, err := newPool(9).Submit(start, prompt("b", prefix, 2, 0))
		require.NoError(t, err)
		require.Equal(t, one.Upstream().ID, other.Upstream().ID)
	}
}

// A burst asks one engine to read more prompts than it can in time. If they were all sent,
// each would wait in the engine's queue behind the others, and prompts whose callers have
// left would be read for nothing. They wait in the pool instead.
func TestPrefillBacklogIsBounded(t *testing.T) {
	t.Parallel()
	p := newPool(1)
	running := 0
	for i := range uint64(40) {
		ticket, err := p.Submit(start, prompt("a", i, 1_000+i, 2_000))
		if err == nil && isGranted(ticket) {
			running++
		}
	}
	require.Equal(t, 1, running)
}

// Under saturation, a request that can't be granted in time is refused at once with a retry
// delay, instead of being held until it is late.
func TestSaturationIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	p := newPool(1)
	refused := 0
	for i := range uint64(60) {
		_, err := p.Submit(start, prompt("a", i, 1_000+i, 2_000))
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

// One account floods the service while another sends a single request, which must be
// granted next regardless of the queue.
func TestSmallAccountGoesBeforeAFlood(t *testing.T) {
	t.Parallel()
	p := newPool(1)
	flood := make([]*turn.Ticket, 0, 10)
	for i := range uint64(10) {
		if ticket, err := p.Submit(start, prompt("flood", i, 1_000+i, 1_000)); err == nil {
			flood = append(flood, ticket)
		}
	}
	small, err := p.Submit(start, prompt("small", 99, 999, 1_000))
	require.NoError(t, err)
	require.False(t, isGranted(small))
	flood[0].RecordFirstEvent(start.Add(100 * time.Millisecond))
	require.True(t, isGranted(small))
	for _, ticket := range flood[1:] {
		require.False(t, isGranted(ticket))
	}
}

// One account floods this router while another waits at a different one. Without reports
// between routers, this one would give all free room to the flood, and the other account
// would wait for ever.
func TestRoomIsLeftForAccountsWaitingAtOtherRouters(t *testing.T) {
	t.Parallel()
	const readTime = 250 * time.Millisecond
	countServed := func(waiting int) int {
		p := newPool(1)
		served := 0
		var queue []*turn.Ticket
		grantedAt := make(map[*turn.Ticket]time.Time)
		for i := range 300 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			p.ApplyReport(now, "other", turn.Report{
				Upstreams: map[turn.Key]turn.Load{turn.KeyOf(fleet.UpstreamID("e0")): {PendingPrefill: 8_000, InFlight: 1}},
				Accounts:  map[turn.Key]turn.Usage{turn.KeyOf(fleet.AccountID("waits")): {Served: 10, WaitingTokens: waiting}},
			})
			ticket, err := p.Submit(now, turn.Request{Account: "flood", Input: 2_000, Patience: time.Hour, Target: target})
			require.NoError(t, err)
			queue = append(queue, ticket)
			for _, waiting := range queue {
				if _, known := grantedAt[waiting]; !known && isGranted(waiting) {
					grantedAt[waiting] = now
				}
			}
			if at, ok := grantedAt[queue[0]]; ok && now.Sub(at) >= readTime {
				queue[0].RecordFirstEvent(now)
				queue[0].End(now, turn.Served)
				queue = queue[1:]
				served++
			}
		}
		return served
	}
	require.Less(t, countServed(20_000), countServed(0)/2)
}

// Two accounts wait for a busy engine that can't serve both, and one of them received much
// service recently. The one served less waits longer before it is refused; otherwise the
// other, with more requests, would get nearly all the room.
func TestAccountServedLessWaitsLonger(t *testing.T) {
	t.Parallel()
	p := newPool(1)
	p.ApplyReport(start, "other", turn.Report{
		Upstreams: map[turn.Key]turn.Load{turn.KeyOf(fleet.UpstreamID("e0")): {PendingPrefill: 20_000, InFlight: 1}},
		Accounts:  map[turn.Key]turn.Usage{turn.KeyOf(fleet.AccountID("rich")): {Served: 500_000, Refused: 500_000}},
	})
	servedLess, err := p.Submit(start, prompt("poor", 1, 2, 0))
	require.NoError(t, err)
	servedMore, err := p.Submit(start, prompt("rich", 3, 4, 0))
	require.NoError(t, err)
	require.Greater(t, servedLess.Patience(), target/2)
	require.Less(t, servedMore.Patience(), target/2)
}

// Another router's last report is older than a second and a half, so the router is
// disconnected or gone. The load in that report must not block the engines for ever.
func TestExpiredReportsAreIgnored(t *testing.T) {
	t.Parallel()
	p := newPool(1)
	full := turn.Report{Upstreams: map[turn.Key]turn.Load{turn.KeyOf(fleet.UpstreamID("e0")): {PendingPrefill: 1 << 20, InFlight: 64}}}
	p.ApplyReport(start, "gone", full)
	ticket, err := p.Submit(start, prompt("a", 1, 2, 0))
	require.Error(t, err)
	require.Nil(t, ticket)
	later := start.Add(2 * time.Second)
	p.ApplyReport(later, "other", turn.Report{})
	ticket, err = p.Submit(later, prompt("a", 1, 2, 0))
	require.NoError(t, err)
	require.True(t, isGranted(ticket))
}

// All other routers lose power, so no new report replaces their last ones. Guards against a
// remaining router that refuses everything because of the load in those reports.
func TestReportsExpireWhenAllOtherRoutersAreGone(t *testing.T) {
	t.Parallel()
	p := newPool(1)
	p.ApplyReport(start, "gone", turn.Report{
		Upstreams: map[turn.Key]turn.Load{turn.KeyOf(fleet.UpstreamID("e0")): {PendingPrefill: 1 << 20, InFlight: 64}},
	})
	_, err := p.Submit(start, prompt("a", 1, 2, 0))
	require.Error(t, err)
	ticket, err := p.Submit(start.Add(2*time.Second), prompt("a", 1, 2, 0))
	require.NoError(t, err)
	require.True(t, isGranted(ticket))
}

// An engine restarts under the same ID with an empty cache. The cache contents of its
// previous instance must not be assumed.
func TestRestartedEngineHasAnEmptyCache(t *testing.T) {
	t.Parallel()
	p := newPool(1)
	first, err := p.Submit(start, prompt("a", 1, 2, 500))
	require.NoError(t, err)
	require.Equal(t, 10_500, first.PendingPrefill())
	first.End(start, turn.Served)
	second, err := p.Submit(start, prompt("a", 1, 3, 500))
	require.NoError(t, err)
	require.Equal(t, 500, second.PendingPrefill())
	second.End(start, turn.Served)
	restarted := newEngines(1)
	restarted[0].StartTime = 2
	p.SetUpstreams(start, restarted, target)
	third, err := p.Submit(start, prompt("a", 1, 4, 500))
	require.NoError(t, err)
	require.Equal(t, 10_500, third.PendingPrefill())
}

// A request refused by one upstream is submitted again. It must not be sent to the same
// upstream.
func TestTriedUpstreamsAreSkipped(t *testing.T) {
	t.Parallel()
	p := newPool(2)
	r := prompt("a", 1, 2, 0)
	first, err := p.Submit(start, r)
	require.NoError(t, err)
	r.Tried = []turn.Instance{turn.InstanceOf(first.Upstream())}
	first.End(start, turn.Refused)
	second, err := p.Submit(start, r)
	require.NoError(t, err)
	require.NotEqual(t, first.Upstream().ID, second.Upstream().ID)
	r.Tried = append(r.Tried, turn.InstanceOf(second.Upstream()))
	_, err = p.Submit(start, r)
	var refused *turn.RefusedError
	require.ErrorAs(t, err, &refused)
	require.True(t, refused.NoUpstream)
}

// A plain application has three upstreams of six slots. Requests go to the upstream with
// the fewest in flight, and no upstream gets more than twice its slots.
func TestPlainRequestsSpreadAndAreBounded(t *testing.T) {
	t.Parallel()
	p := &turn.Pool{Placement: turn.LeastLoaded{}}
	upstreams := newEngines(3)
	for i := range upstreams {
		upstreams[i].Slots = 6
	}
	p.SetUpstreams(start, upstreams, 0)
	counts := make(map[fleet.UpstreamID]int)
	for range 50 {
		ticket, err := p.Submit(start, turn.Request{Account: "a", Input: 1, Patience: time.Second})
		require.NoError(t, err)
		if isGranted(ticket) {
			counts[ticket.Upstream().ID]++
		}
	}
	require.Equal(t, map[fleet.UpstreamID]int{"e0": 12, "e1": 12, "e2": 12}, counts)
}

// A caller leaves while its request waits. Its place in the queue becomes free; when the
// turn was granted at the same moment, Cancel returns nil.
func TestCancelLeavesTheQueue(t *testing.T) {
	t.Parallel()
	p := newPool(1)
	first, err := p.Submit(start, prompt("a", 1, 2, 8_000))
	require.NoError(t, err)
	second, err := p.Submit(start, prompt("a", 3, 4, 8_000))
	require.NoError(t, err)
	third, err := p.Submit(start, prompt("a", 5, 6, 8_000))
	require.NoError(t, err)
	refused := second.Cancel(start.Add(time.Second))
	require.NotNil(t, refused)
	require.Equal(t, time.Second, refused.Waited)
	first.End(start.Add(time.Second), turn.Served)
	require.True(t, isGranted(third))
	require.Nil(t, third.Cancel(start.Add(time.Second)))
}

func BenchmarkSubmit(b *testing.B) {
	p := newPool(12)
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		ticket, err := p.Submit(now, prompt("a", uint64(i%400), uint64(1_000+i), 500))
		if err != nil {
			b.Fatal(err)
		}
		ticket.RecordFirstEvent(now)
		ticket.End(now, turn.Served)
	}
}

// A burst fills the queue; each engine event searches it.
func BenchmarkStartWaitingWithFullQueue(b *testing.B) {
	p := newPool(12)
	for i := range uint64(200) {
		r := prompt("a", i, 1_000+i, 20_000)
		r.Patience = time.Hour
		if _, err := p.Submit(start, r); err != nil {
			b.Fatal(err)
		}
	}
	for i := range b.N {
		p.ApplyReport(start.Add(time.Duration(i)), "other", turn.Report{})
	}
}

// Guards against a crash when the last upstream is removed while a request waits.
func TestPoolSurvivesRemovalOfLastUpstream(t *testing.T) {
	t.Parallel()
	p := newPool(1)
	granted, err := p.Submit(start, prompt("a", 1, 2, 40_000))
	require.NoError(t, err)
	require.True(t, isGranted(granted))
	waiting, err := p.Submit(start, prompt("b", 1, 3, 1_000))
	require.NoError(t, err)
	require.False(t, isGranted(waiting))
	p.SetUpstreams(start, nil, target)
	refused := waiting.Cancel(start)
	require.NotNil(t, refused)
	require.True(t, refused.NoUpstream)
	require.Positive(t, refused.RetryAfter)
	granted.End(start, turn.Failed)
}

// Guards against a request that waits until its patience ends although no upstream is left.
func TestWaitingRequestIsRefusedWithoutUpstream(t *testing.T) {
	t.Parallel()
	for name, empty := range map[string]func(p *turn.Pool, tried turn.Instance){
		"all have left":          func(p *turn.Pool, _ turn.Instance) { p.SetUpstreams(start, nil, target) },
		"only a tried one stays": func(p *turn.Pool, _ turn.Instance) { p.SetUpstreams(start, newEngines(1), target) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPool(2)
			tried := turn.InstanceOf(newEngines(1)[0])
			r := prompt("b", 1, 3, 1_000)
			r.Tried = []turn.Instance{tried}
			fillEngines(t, p)
			waiting, err := p.Submit(start, r)
			require.NoError(t, err)
			require.False(t, isGranted(waiting))
			empty(p, tried)
			require.Len(t, waiting.Refused(), 1)
			refused := <-waiting.Refused()
			require.True(t, refused.NoUpstream)
			require.Positive(t, refused.RetryAfter)
			require.Equal(t, refused, waiting.Cancel(start), "the ticket has ended")
		})
	}
}

// fillEngines gives each upstream of a pool of two a prompt that takes its whole target to
// read.
func fillEngines(t *testing.T, p *turn.Pool) {
	t.Helper()
	for i := range uint64(2) {
		r := prompt("a", 1, 10+i, 40_000)
		if i > 0 {
			r.Tried = []turn.Instance{turn.InstanceOf(newEngines(2)[0])}
		} else {
			r.Tried = []turn.Instance{turn.InstanceOf(newEngines(2)[1])}
		}
		ticket, err := p.Submit(start, r)
		require.NoError(t, err)
		require.True(t, isGranted(ticket))
	}
}

// Guards against a request that keeps waiting for a removed upstream while another one is
// free.
func TestWaitingRequestMovesToNewUpstream(t *testing.T) {
	t.Parallel()
	p := newPool(2)
	fillEngines(t, p)
	waiting, err := p.Submit(start, prompt("b", 1, 3, 1_000))
	require.NoError(t, err)
	require.False(t, isGranted(waiting))
	p.SetUpstreams(start, newEngines(3)[2:], target)
	require.True(t, isGranted(waiting))
	require.Equal(t, newEngines(3)[2].ID, waiting.Upstream().ID)
}

// Guards against a queue length that is decremented twice when a ticket is cancelled twice,
// as when its patience ends at a home while the requesting router disconnects.
func TestCancelTwiceIsCountedOnce(t *testing.T) {
	t.Parallel()
	p := newPool(1)
	first, err := p.Submit(start, prompt("a", 1, 2, 40_000))
	require.NoError(t, err)
	patient := prompt("b", 1, 3, 1_000)
	patient.Patience = time.Minute
	givenUp, err := p.Submit(start, patient)
	require.NoError(t, err)
	kept, err := p.Submit(start, patient)
	require.NoError(t, err)
	require.NotNil(t, givenUp.Cancel(start))
	require.NotNil(t, givenUp.Cancel(start))
	require.Equal(t, 11_000, p.Report(start).Upstreams[turn.KeyOf(newEngines(1)[0].ID)].WaitingTokens)
	first.End(start, turn.Served)
	require.True(t, isGranted(kept), "the remaining request is still counted as waiting")
}

// Guards against a crash when another router sends events of a turn that hasn't been
// granted.
func TestEventsBeforeGrantAreIgnored(t *testing.T) {
	t.Parallel()
	p := newPool(1)
	large := prompt("a", 1, 2, 40_000)
	_, err := p.Submit(start, large)
	require.NoError(t, err)
	waiting, err := p.Submit(start, prompt("b", 1, 3, 1_000))
	require.NoError(t, err)
	require.False(t, isGranted(waiting))
	waiting.RecordFirstEvent(start)
	waiting.End(start, turn.Served)
	require.Equal(t, 11_000, p.Report(start).Upstreams[turn.KeyOf(newEngines(1)[0].ID)].WaitingTokens)
}
