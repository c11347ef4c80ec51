package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/overload"
)

// simulatedRouter is a small router in virtual time. Requests and the events of admitted
// streams queue for its processor.
type simulatedRouter struct {
	shedder overload.Shedder[string]
	now     time.Time
	// cpuShare is the share of a processor that the router has.
	cpuShare float64
	// backlog is the queued work in seconds of processor time.
	backlog float64
	// streams is the number of open streams.
	streams     float64
	admitted    map[string]int
	requested   map[string]int
	longestWait time.Duration
	// emptySamples makes every third sample zero, as if no goroutine had been runnable
	// since the last one.
	emptySamples bool
	samples      int
}

const (
	// Costs of a refused request, of an admitted request at its start, and of its stream
	// in each following second, in seconds of processor time, as measured for streams of
	// 50 events over some 4 s.
	refusedCost         = 60e-6
	admittedCost        = 250e-6
	streamCostPerSecond = 160e-6
	// streamSeconds is the mean duration of a stream.
	streamSeconds = 4
)

// run simulates accounts that send requests at the given rates per second.
func (r *simulatedRouter) run(d time.Duration, rates map[string]float64) {
	const step = time.Millisecond
	due := make(map[string]float64)
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		r.now = r.now.Add(step)
		for _, account := range []string{"large", "small-1", "small-2"} {
			due[account] += rates[account] * step.Seconds()
			for ; due[account] >= 1; due[account]-- {
				r.request(account)
			}
		}
		r.streams -= r.streams * step.Seconds() / streamSeconds
		r.backlog += r.streams * streamCostPerSecond * step.Seconds()
		r.backlog = max(r.backlog-r.cpuShare*step.Seconds(), 0)
		wait := time.Duration(r.backlog / r.cpuShare * float64(time.Second))
		r.longestWait = max(r.longestWait, wait)
		if r.now.UnixNano()%int64(sampleInterval) == 0 {
			r.sample(wait)
		}
	}
}

func (r *simulatedRouter) sample(wait time.Duration) {
	r.samples++
	if r.emptySamples && r.samples%3 == 0 {
		wait = 0
	}
	r.shedder.Observe(r.now, wait)
}

func (r *simulatedRouter) request(account string) {
	r.requested[account]++
	if !r.shedder.Admit(r.now, account) {
		r.backlog += refusedCost
		return
	}
	r.admitted[account]++
	r.backlog += admittedCost
	r.streams++
}

func newSimulatedRouter() *simulatedRouter {
	return &simulatedRouter{now: time.Unix(0, 0), cpuShare: 0.19, admitted: make(map[string]int), requested: make(map[string]int)}
}

// One account sends 600 requests a second to a router that has processor time for 200
// streams a second, and two others send a few. Without shedding all would wait for
// seconds. The router must use its capacity and admit all requests of the small accounts.
func TestFloodAtOneRouterIsAdmittedInPart(t *testing.T) {
	t.Parallel()
	r := newSimulatedRouter()
	rates := map[string]float64{"large": 600, "small-1": 10, "small-2": 5}
	r.run(20*time.Second, rates)
	r.admitted, r.requested, r.longestWait = make(map[string]int), make(map[string]int), 0
	r.run(30*time.Second, rates)
	require.Less(t, r.longestWait, 250*time.Millisecond)
	require.Equal(t, r.requested["small-1"], r.admitted["small-1"])
	require.Equal(t, r.requested["small-2"], r.admitted["small-2"])
	share := float64(r.admitted["large"]) / float64(r.requested["large"])
	require.Greater(t, share, 0.15, "the processor's capacity is used")
	require.Less(t, share, 0.4)
}

// An account with half as many requests again as a router can serve must stay: if it
// moved, the next small router would get the whole flood. An account with many times as
// many would get less than its share of the engines there, and has to move.
func TestOnlyALargeFloodExhaustsTheRouter(t *testing.T) {
	t.Parallel()
	r := newSimulatedRouter()
	for range 20 {
		r.run(time.Second, map[string]float64{"large": 300})
		require.False(t, r.shedder.IsExhausted())
	}
	require.True(t, r.shedder.IsShedding())
	r.run(5*time.Second, map[string]float64{"large": 4000})
	require.True(t, r.shedder.IsExhausted())
}

// The router must admit everything soon after a flood, and refuse nothing under light load.
func TestRouterAdmitsAllUnderLightLoadAndSoonAfterAFlood(t *testing.T) {
	t.Parallel()
	r := newSimulatedRouter()
	lightLoad := map[string]float64{"large": 60, "small-1": 10}
	r.run(10*time.Second, lightLoad)
	require.Equal(t, r.requested, r.admitted)
	require.False(t, r.shedder.IsShedding())
	r.run(10*time.Second, map[string]float64{"large": 900, "small-1": 10})
	r.run(15*time.Second, lightLoad)
	r.admitted, r.requested = make(map[string]int), make(map[string]int)
	r.run(10*time.Second, lightLoad)
	require.Equal(t, r.requested, r.admitted)
}

// The load balancer moves the whole flood of another router at once, ten times what this
// one can serve. Requests admitted in the first second cost processor time for seconds;
// if all were admitted, requests would be read after their callers have left.
func TestSuddenFloodIsBoundedWithinASecond(t *testing.T) {
	t.Parallel()
	r := newSimulatedRouter()
	r.run(5*time.Second, map[string]float64{"small-1": 10})
	r.run(10*time.Second, map[string]float64{"large": 1800, "small-1": 10})
	require.Less(t, r.longestWait, 500*time.Millisecond)
}

// Requests must not be refused because the machine stalled for a moment.
func TestPauseIsNoFlood(t *testing.T) {
	t.Parallel()
	r := newSimulatedRouter()
	lightLoad := map[string]float64{"large": 60, "small-1": 10}
	r.run(5*time.Second, lightLoad)
	r.shedder.Observe(r.now, time.Second)
	r.run(5*time.Second, lightLoad)
	require.Equal(t, r.requested, r.admitted)
}

// Guards against requests being refused long after a router's machine was slowed for four
// seconds. The admitted share fell to a twentieth within a second and grew by a hundredth
// per sample, so most of an account's requests were refused for another fifteen seconds;
// logs showed 2,191 and 1,264 requests refused without any wait. Faster growth only below
// half of the share at which waits began was as slow when waits began again at a low share.
func TestRouterAdmitsAllSoonAfterItsMachineWasSlowed(t *testing.T) {
	t.Parallel()
	for _, slowed := range []float64{5, 10, 20} {
		for _, rate := range []float64{60, 100, 150, 200} {
			r := newSimulatedRouter()
			r.emptySamples = true
			load := map[string]float64{"large": rate, "small-1": 10}
			r.cpuShare = 0.4
			r.run(10*time.Second, load)
			r.cpuShare = 0.4 / slowed
			for range 4 { // the load balancer moves callers away and back
				r.run(700*time.Millisecond, load)
				r.run(300*time.Millisecond, map[string]float64{"small-1": 10})
			}
			r.cpuShare = 0.4
			r.run(recoveryTime, load)
			r.admitted, r.requested = make(map[string]int), make(map[string]int)
			r.run(2*time.Second, load)
			require.Greater(t, r.admitted["large"], r.requested["large"]/2, "slowed %v, rate %v", slowed, rate)
			r.run(2*time.Second, load)
			r.admitted, r.requested = make(map[string]int), make(map[string]int)
			r.run(2*time.Second, load)
			require.Equal(t, r.requested, r.admitted, "slowed %v, rate %v", slowed, rate)
		}
	}
}

// recoveryTime is the time after a disturbance within which users expect a router to meet
// its targets again.
const recoveryTime = 3 * time.Second

func TestAdmissionIsCountedSinceTheLastCall(t *testing.T) {
	t.Parallel()
	r := newSimulatedRouter()
	r.run(10*time.Second, map[string]float64{"large": 1800})
	counted := r.shedder.Admission()
	require.Equal(t, r.requested["large"], counted.Requests)
	require.Equal(t, r.admitted["large"], counted.Admitted)
	require.Less(t, counted.Rate, 1.0)
	again := r.shedder.Admission()
	require.Zero(t, again.Requests+again.Admitted)
	require.InDelta(t, counted.Rate, again.Rate, 0)
}
