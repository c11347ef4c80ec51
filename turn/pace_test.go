package turn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// serve serves a short request, whose upstream states a slowdown in its answer, within 20 ms. It returns the upstream.
func serve(t *testing.T, p *turn.Pool, now time.Time, stated pace.Slowdown) fleet.UpstreamID {
	t.Helper()
	ticket, err := p.Submit(now, prompt("a", 1, uint64(now.UnixNano()), 100))
	require.NoError(t, err)
	require.True(t, isGranted(ticket))
	answered := now.Add(20 * time.Millisecond)
	ticket.RecordLoad(answered, pace.Statement{Slowdown: stated})
	ticket.RecordFirstEvent(answered)
	ticket.End(answered, turn.Served)
	return ticket.Upstream().ID
}

// An upstream turns slow, and is as usual again. Guards against one that still gets requests after its first answer that
// states it, that gets none after the statement has faded, and none at once after one that it is as usual.
func TestSlowEngineLosesRequestsAndGetsThemBack(t *testing.T) {
	t.Parallel()
	p := newPool(2)
	p.SetGrouped(start, true)
	first := serve(t, p, start, 1)
	require.Equal(t, first, serve(t, p, start.Add(50*time.Millisecond), pace.Max))
	for _, at := range []time.Duration{100, 200, 400} {
		require.NotEqual(t, first, serve(t, p, start.Add(at*time.Millisecond), 1))
	}
	faded := start.Add(70*time.Millisecond + target*3/2)
	require.Equal(t, first, serve(t, p, faded, pace.Max))
	running, err := p.Submit(faded.Add(time.Second), prompt("a", 1, 7, 100))
	require.NoError(t, err)
	require.Equal(t, first, running.Upstream().ID)
	running.RecordLoad(faded.Add(1100*time.Millisecond), pace.Statement{Slowdown: pace.Max})
	require.NotEqual(t, first, serve(t, p, faded.Add(1110*time.Millisecond), 1))
	running.RecordLoad(faded.Add(1150*time.Millisecond), pace.Statement{Slowdown: 1})
	running.RecordFirstEvent(faded.Add(1150 * time.Millisecond))
	require.Equal(t, first, serve(t, p, faded.Add(1160*time.Millisecond), 1))
}

// Guards against an upstream that is flooded as soon as it is as usual: what it has read in the slow phase must not be
// counted at the usual speed.
func TestRecoveredEngineIsNotFlooded(t *testing.T) {
	t.Parallel()
	p := newHomePool()
	serve(t, p, start, 10)
	long, err := p.Submit(start.Add(2*target), prompt("a", 1, 101, 26_000)) // 650 ms at the initial speed
	require.NoError(t, err)
	require.True(t, isGranted(long), "the statement has faded")
	other, err := p.Submit(start.Add(2*target+time.Millisecond), prompt("b", 1, 102, 100))
	require.NoError(t, err)
	require.False(t, isGranted(other))
	slow := start.Add(2*target + 500*time.Millisecond)
	long.RecordLoad(slow, pace.Statement{Slowdown: 1})
	p.Recheck(slow)
	require.False(t, isGranted(other), "at a tenth of the speed, 50 ms of 650 are read")
}

// The load of an upstream that takes up to 20 times as long, and of a request that could only go there. Guards against
// a request that is sent to be late although the phase is over soon, one that is refused although it can begin in time,
// and one that waits without an end.
func TestIdleSlowEngineIsUsedWhenItServesInTime(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		stated pace.Slowdown
		age    time.Duration
		begins bool
	}{{2, 0, true}, {5, 0, false}, {20, target / 2, false}, {20, target * 3 / 2, true}} {
		p := newHomePool()
		serve(t, p, start, c.stated)
		answered := start.Add(20 * time.Millisecond)
		r := prompt("a", 1, 5, 9_000) // 225 ms at the initial speed, and 40 ms
		r.Patience = target / 4
		if !c.begins {
			var refused *turn.RefusedError
			_, err := p.Submit(answered.Add(c.age), r)
			require.ErrorAs(t, err, &refused, "the statement lasts for longer than the request may wait")
			require.LessOrEqual(t, refused.Wait, target*3/2-c.age)
		}
		r.Patience = target
		ticket, err := p.Submit(answered.Add(c.age), r)
		require.NoError(t, err, "%v", c)
		require.Equal(t, c.begins, isGranted(ticket), "%v", c)
		if !c.begins {
			p.Recheck(answered.Add(target * 3 / 2))
			require.True(t, isGranted(ticket))
		}
	}
}

// Guards against a long request that never gets an upstream that is slow for good and serves short ones, and against one
// that is sent while that may still be a short phase.
func TestLongRequestGoesToAnEngineThatIsSlowForGood(t *testing.T) {
	t.Parallel()
	p := newHomePool()
	for i := range time.Duration(25) {
		now := start.Add(i * 100 * time.Millisecond)
		serve(t, p, now, 5)
		ticket, err := p.Submit(now.Add(50*time.Millisecond), prompt("b", 1, 5, 9_000))
		require.Equal(t, i >= 16, err == nil && isGranted(ticket), "after %v", i*100*time.Millisecond)
		if err != nil {
			continue
		}
		if ticket.Cancel(now.Add(60*time.Millisecond)) == nil {
			ticket.End(now.Add(60*time.Millisecond), turn.Served)
		}
	}
}

// Guards against slow phases that make a pool believe that its engines are slow for good.
func TestStatedSlowdownIsTakenOutOfTheLearntSpeed(t *testing.T) {
	t.Parallel()
	wait := func(slowdown pace.Slowdown) time.Duration {
		p := newHomePool()
		for i := range uint64(300) {
			now := start.Add(time.Duration(i) * 2 * time.Second)
			ticket, err := p.Submit(now, prompt("a", i, 1000+i, 1000+int(i%10)*1000))
			require.NoError(t, err)
			answered := now.Add(slowdown.Stretch(time.Duration(ticket.PendingPrefill())*time.Millisecond/50 + 35*time.Millisecond))
			ticket.RecordLoad(answered, pace.Statement{Slowdown: slowdown})
			ticket.RecordFirstEvent(answered)
			ticket.End(answered, turn.Served)
		}
		now := start.Add(time.Hour)
		_, err := p.Submit(now, prompt("a", 1000, 5000, 60_000))
		require.NoError(t, err)
		_, err = p.Submit(now, prompt("a", 1001, 5001, 60_000))
		var refused *turn.RefusedError
		require.ErrorAs(t, err, &refused)
		return refused.Wait
	}
	require.InEpsilon(t, wait(1), wait(2.5), 0.05)
}

// Guards against a statement of a former process that counts for the one in its place.
func TestStatementOfAFormerProcessIsDropped(t *testing.T) {
	t.Parallel()
	p := newHomePool()
	ticket := startLongPrompt(t, p)
	list := newEngines(1)
	list[0].StartTime = 2
	p.SetUpstreams(start, list, target)
	ticket.RecordLoad(start, pace.Statement{Slowdown: pace.Max})
	require.Empty(t, p.Slowdowns(start))
	require.Equal(t, list[0].ID, serve(t, p, start, 1))
}

// Guards against a plain upstream that keeps its part of the requests when it turns slow, and against slots that stay
// empty beside requests when all upstreams of the own data centre are slow.
func TestPlainRequestsGoToUpstreamsAsUsualFirst(t *testing.T) {
	t.Parallel()
	p := &turn.Pool{Placement: turn.LeastLoaded{}, DataCenter: "z0"}
	list := newEngines(3)
	for i := range list {
		list[i].Slots, list[i].DataCenter = 6, []fleet.DataCenterID{"z0", "z0", "z1"}[i]
	}
	p.SetGrouped(start, true)
	p.SetUpstreams(start, list, 0)
	submit := func(now time.Time) registry.Upstream {
		ticket, err := p.Submit(now, plainRequest())
		require.NoError(t, err)
		require.True(t, isGranted(ticket))
		slowdown := pace.Slowdown(2.5)
		if ticket.Upstream().DataCenter == "z1" {
			slowdown = 1
		}
		ticket.RecordLoad(now, pace.Statement{Slowdown: slowdown})
		return ticket.Upstream()
	}
	require.Equal(t, list[0].ID, submit(start).ID)
	require.Equal(t, list[1].ID, submit(start).ID)
	for range 6 {
		require.Equal(t, list[2].ID, submit(start).ID)
	}
	for range 12 { // the free slots of the slow ones, and two that wait
		submit(start)
	}
}

// Guards against requests of other routers that a home doesn't know of, and against ones that count for ever.
func TestWaitingRequestsOfOthersCountAsInFlight(t *testing.T) {
	t.Parallel()
	p := newHomePool()
	ticket := startLongPrompt(t, p)
	ticket.RecordLoad(start, pace.Statement{HasCounts: true, Running: 64, Waiting: 80, Slots: 64, Slowdown: 1})
	ticket.RecordFirstEvent(start)
	other, err := p.Submit(start, prompt("a", 1, 3, 100))
	require.NoError(t, err)
	require.False(t, isGranted(other))
	p.Wake(start.Add(target * 3 / 2))
	require.True(t, isGranted(other))
}

// The loads of shared machines: each engine is slow for 0.4 s of 2.4 s, a third of them for good, and all at once for
// 0.7 s of 3 s. Guards against statements that cost service, make requests late, or leave engines idle.
func TestStatedSlowdownsServeMore(t *testing.T) {
	t.Parallel()
	loads := map[string]func(engine int, after time.Duration) bool{
		"short": func(engine int, after time.Duration) bool {
			return (after+time.Duration(engine)*400*time.Millisecond)%(2400*time.Millisecond) < 400*time.Millisecond
		},
		"lasting": func(engine int, _ time.Duration) bool { return engine%3 == 0 },
		"all":     func(_ int, after time.Duration) bool { return after%(3*time.Second) < 700*time.Millisecond },
	}
	for name, isSlow := range loads {
		inTime, late := make(map[bool]int), make(map[bool]int)
		for seed := range uint64(4) {
			for _, states := range []bool{false, true} {
				sim := simulate(simConfig{
					routers: 1, homes: 1, engines: 6, prefillSpeed: 50, target: target, duration: 12 * time.Second, prefixes: 60, seed: seed, states: states,
					accounts: []simAccount{{id: "a", rate: 80, routers: []int{0}}, {id: "b", rate: 80, routers: []int{0}}},
					slowdown: func(engine int, after time.Duration) pace.Slowdown {
						if isSlow(engine, after) {
							return 2.5
						}
						return 1
					},
				})
				inTime[states] += sim.inTime
				late[states] += sim.late
			}
		}
		t.Log(name, "in time", inTime, "late", late)
		require.Greater(t, inTime[true], inTime[false], name)
		require.LessOrEqual(t, late[true], late[false]+inTime[true]/200, name)
	}
}

// Guards against requests that wait at slow upstreams in vain, and ones that are refused because of a mean service time
// which has the slowdown in it already.
func TestExpectedWaitsFollowTheSlowdown(t *testing.T) {
	t.Parallel()
	refusedWait := func(p *turn.Pool, now time.Time, r turn.Request) time.Duration {
		r.Patience = time.Millisecond
		var refused *turn.RefusedError
		_, err := p.Submit(now, r)
		require.ErrorAs(t, err, &refused)
		return refused.Wait.Round(time.Millisecond)
	}
	engines := newHomePool()
	startLongPrompt(t, engines).RecordLoad(start, pace.Statement{Slowdown: 2.5})
	require.Equal(t, 501*time.Millisecond, refusedWait(engines, start, prompt("b", 1, 2, 100)), "the statement fades in 1.2 s")
	plain := &turn.Pool{Placement: turn.LeastLoaded{}}
	list := newEngines(1)
	list[0].Slots = 1
	plain.SetUpstreams(start, list, 0)
	now := start
	tickets := make([]*turn.Ticket, 4)
	for i := range tickets {
		ticket, err := plain.Submit(now, plainRequest())
		require.NoError(t, err)
		tickets[i] = ticket
		ticket.RecordLoad(now, pace.Statement{Slowdown: 2.5})
		if i < 2 { // the first one began before the upstream was known to be slow
			now = now.Add(250 * time.Millisecond)
			ticket.End(now, turn.Served)
		}
	}
	require.Equal(t, 125*time.Millisecond, refusedWait(plain, now, plainRequest()))
	tickets[2].End(now, turn.Unsent)
	tickets[3].RecordLoad(now, pace.Statement{Slowdown: pace.Max})
	tickets[3].End(now, turn.Unsent)
	require.Positive(t, refusedWait(plain, now, plainRequest()), "it would be late at the free slot")
}
