package turn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// mixedEngines returns engines with these software versions.
func mixedEngines(software ...fleet.SoftwareVersion) []registry.Upstream {
	engines := newEngines(len(software))
	for i := range engines {
		engines[i].Software = software[i]
	}
	return engines
}

func newMixedPool(software ...fleet.SoftwareVersion) *turn.Pool {
	p := &turn.Pool{}
	p.SetUpstreams(start, mixedEngines(software...), target)
	return p
}

// Guards against a stream that goes on at another software version because the owners of its
// prefix have it.
func TestResumptionGoesToItsSoftwareVersionOnly(t *testing.T) {
	t.Parallel()
	for _, grouped := range []bool{false, true} {
		p := &turn.Pool{}
		p.SetGrouped(start, grouped)
		p.SetUpstreams(start, mixedEngines("v1", "v2", "v2", "v2", "v2", "v2", "v2", "v2", "v2", "v2", "v2", "v2", "v1", "v2"), target)
		for prefix := range uint64(100) {
			r := prompt("a", prefix, 1000+prefix, 0)
			r.Software = "v1"
			now := start.Add(time.Duration(prefix) * time.Second)
			ticket, err := p.Submit(now, r)
			require.NoError(t, err)
			require.True(t, isGranted(ticket))
			require.Equal(t, fleet.SoftwareVersion("v1"), ticket.Upstream().Software)
			ticket.RecordFirstEvent(now)
			ticket.End(now, turn.Served)
		}
	}
}

// Guards against a stream that waits for, or is promised, a version that serves no more.
func TestResumptionOfAReplacedVersionIsRefusedForGood(t *testing.T) {
	t.Parallel()
	p := newMixedPool("v2", "v2")
	r := prompt("a", 1, 2, 0)
	r.Software = "v1"
	_, err := p.Submit(start, r)
	var refused *turn.RefusedError
	require.ErrorAs(t, err, &refused)
	require.True(t, refused.NoSoftware)
	require.Zero(t, refused.RetryAfter)
	require.Equal(t, turn.LackSoftware, refused.Lack)

	p.SetUpstreams(start, nil, target)
	_, err = p.Submit(start, r)
	require.ErrorAs(t, err, &refused)
	require.False(t, refused.NoSoftware, "upstreams of the version may return")
	require.Positive(t, refused.RetryAfter)
}

// Guards against a waiting stream that is sent to another version, or waits until its deadline, when
// the last upstream of its version leaves.
func TestWaitingResumptionIsRefusedWhenItsVersionLeaves(t *testing.T) {
	t.Parallel()
	p := newMixedPool("v1", "v2")
	occupy := prompt("a", 1, 2, 0)
	occupy.Software, occupy.Input = "v1", 200_000
	first, err := p.Submit(start, occupy)
	require.NoError(t, err)
	require.True(t, isGranted(first))
	r := prompt("a", 3, 4, 0)
	r.Software = "v1"
	waiting, err := p.Submit(start, r)
	require.NoError(t, err)
	require.False(t, isGranted(waiting))
	p.SetUpstreams(start.Add(time.Millisecond), mixedEngines("v3", "v2")[1:], target)
	refused := <-waiting.Refused()
	require.True(t, refused.NoSoftware)
}

// Guards against a cache that is copied from an upstream whose software version another one can't
// read.
func TestCacheIsFetchedFromTheSameVersionOnly(t *testing.T) {
	t.Parallel()
	p := newMixedPool("v1", "v2")
	first := prompt("a", 1, 2, 0)
	first.Software = "v1"
	ticket, err := p.Submit(start, first)
	require.NoError(t, err)
	ticket.RecordFirstEvent(start)
	ticket.End(start, turn.Served)
	other := prompt("a", 1, 3, 0)
	other.Software = "v2"
	ticket, err = p.Submit(start.Add(time.Second), other)
	require.NoError(t, err)
	require.Equal(t, fleet.SoftwareVersion("v2"), ticket.Upstream().Software)
	require.Empty(t, ticket.FetchFrom())
}

// Guards against streams that can't be taken up again beside a flood of new ones, because few
// upstreams have their version: of those that return, at least half as many as of the new ones must
// go on, while two upstreams have the version.
func TestResumptionsGetTheirTurnBesideAFlood(t *testing.T) {
	t.Parallel()
	const least = 0.5
	few := []fleet.SoftwareVersion{"v1", "v1", "v2", "v2", "v2", "v2", "v2", "v2", "v2", "v2", "v2", "v2"}
	for _, homes := range []int{0, 1} {
		for _, load := range []float64{60, 150, 300} {
			for _, share := range []float64{0.02, 0.1} {
				sim := simulate(simConfig{
					routers: 6, engines: len(few), prefillSpeed: 54.6, target: 800 * time.Millisecond, duration: 12 * time.Second,
					reportInterval: 60 * time.Millisecond, prefixes: 200, seed: 1, homes: homes,
					software: few, resumed: "v1", resumeShare: share,
					accounts: []simAccount{
						{id: "large", rate: 0.7 * load, routers: []int{0, 1, 2, 3, 4, 5}},
						{id: "medium", rate: 0.2 * load, routers: []int{1, 4}},
						{id: "small", rate: 0.1 * load, routers: []int{5}},
					},
				})
				begunNew := float64(sim.begun[false]) / float64(sim.asked[false])
				begunResumed := float64(sim.begun[true]) / float64(sim.asked[true])
				t.Logf("%d homes, %v requests/s, %v resumed: %.2f of new ones began, %.2f of resumed ones, late %d of %d", homes, load, share, begunNew, begunResumed, sim.late, sim.late+sim.inTime)
				require.GreaterOrEqual(t, begunResumed, least*begunNew)
			}
		}
	}
}

// Guards against an account that takes the service of others by taking up streams again and again.
func TestResumptionsDoNotTakeTheShareOfOthers(t *testing.T) {
	t.Parallel()
	routers := []int{0, 1, 2, 3, 4, 5}
	sim := simulate(simConfig{
		routers: 6, engines: 12, prefillSpeed: 54.6, target: 800 * time.Millisecond, duration: 12 * time.Second,
		reportInterval: 60 * time.Millisecond, prefixes: 200, seed: 1,
		software: []fleet.SoftwareVersion{"v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1", "v2"},
		resumed:  "v1", resumeShare: 1, resumers: "greedy",
		accounts: []simAccount{{id: "greedy", rate: 800, routers: routers}, {id: "modest", rate: 100, routers: []int{3}}},
	})
	sum := func(account fleet.AccountID) (tokens float64) {
		for _, served := range sim.served[account] {
			tokens += served
		}
		return tokens
	}
	t.Logf("greedy %.0f tokens, modest %.0f", sum("greedy"), sum("modest"))
	require.GreaterOrEqual(t, 2*sum("modest"), sum("greedy"))
}
