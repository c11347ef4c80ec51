package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/overload"
)

// machine is a small router in virtual time: requests and the events of streams that
// were taken line up for its processor.
type machine struct {
	shedder overload.Shedder[string]
	now     time.Time
	// share is the part of a processor that the machine has.
	share float64
	// backlog is the work that waits, in seconds of the processor.
	backlog float64
	// streams is how many streams are open.
	streams float64
	taken   map[string]int
	asked   map[string]int
	longest time.Duration
	// lulls lets each third look see no wait, as when nothing was ready since the last one.
	lulls bool
	looks int
}

const (
	// What a request costs that is refused, what one costs that is taken at its start,
	// and what a stream costs in each second after it, in seconds of the processor:
	// as measured for streams of 50 events over some 4 s.
	refusedCost = 60e-6
	startCost   = 250e-6
	streamCost  = 160e-6
	// streamSeconds is how long a stream lasts.
	streamSeconds = 4
)

// run lets accounts ask at rates, in requests a second, for a time.
func (m *machine) run(d time.Duration, rates map[string]float64) {
	const step = time.Millisecond
	due := make(map[string]float64)
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		m.now = m.now.Add(step)
		for _, account := range []string{"large", "small-1", "small-2"} {
			due[account] += rates[account] * step.Seconds()
			for ; due[account] >= 1; due[account]-- {
				m.ask(account)
			}
		}
		m.streams -= m.streams * step.Seconds() / streamSeconds
		m.backlog += m.streams * streamCost * step.Seconds()
		m.backlog = max(m.backlog-m.share*step.Seconds(), 0)
		wait := time.Duration(m.backlog / m.share * float64(time.Second))
		m.longest = max(m.longest, wait)
		if m.now.UnixNano()%int64(look) == 0 {
			m.look(wait)
		}
	}
}

func (m *machine) look(wait time.Duration) {
	m.looks++
	if m.lulls && m.looks%3 == 0 {
		wait = 0
	}
	m.shedder.Observe(m.now, wait)
}

func (m *machine) ask(account string) {
	m.asked[account]++
	if !m.shedder.Takes(m.now, account) {
		m.backlog += refusedCost
		return
	}
	m.taken[account]++
	m.backlog += startCost
	m.streams++
}

func newMachine() *machine {
	return &machine{now: time.Unix(0, 0), share: 0.19, taken: make(map[string]int), asked: make(map[string]int)}
}

// One account sends 600 requests a second to a router that has processor time for
// 200 streams a second, and two others send a few. Without bounds all wait for
// seconds. The router takes what it can, and all of the small accounts.
func TestFloodAtOneRouterIsTakenInPart(t *testing.T) {
	t.Parallel()
	m := newMachine()
	rates := map[string]float64{"large": 600, "small-1": 10, "small-2": 5}
	m.run(20*time.Second, rates)
	m.taken, m.asked, m.longest = make(map[string]int), make(map[string]int), 0
	m.run(30*time.Second, rates)
	require.Less(t, m.longest, 250*time.Millisecond)
	require.Equal(t, m.asked["small-1"], m.taken["small-1"])
	require.Equal(t, m.asked["small-2"], m.taken["small-2"])
	part := float64(m.taken["large"]) / float64(m.asked["large"])
	require.Greater(t, part, 0.15, "what the processor has time for is used")
	require.Less(t, part, 0.4)
}

// An account asks for half as much again as a router can do. It stays: given away, the
// flood would come whole to the next small router. An account that asks for many times
// as much would get less than its share of the engines, and has to go.
func TestOnlyALargeFloodExhausts(t *testing.T) {
	t.Parallel()
	m := newMachine()
	for range 20 {
		m.run(time.Second, map[string]float64{"large": 300})
		require.False(t, m.shedder.IsExhausted())
	}
	require.True(t, m.shedder.IsShedding())
	m.run(5*time.Second, map[string]float64{"large": 4000})
	require.True(t, m.shedder.IsExhausted())
}

// After a flood the router takes all again; in calm it has never refused any.
func TestRouterTakesAllInCalmAndSoonAfterAFlood(t *testing.T) {
	t.Parallel()
	m := newMachine()
	calm := map[string]float64{"large": 60, "small-1": 10}
	m.run(10*time.Second, calm)
	require.Equal(t, m.asked, m.taken)
	require.False(t, m.shedder.IsShedding())
	m.run(10*time.Second, map[string]float64{"large": 900, "small-1": 10})
	m.run(15*time.Second, calm)
	m.taken, m.asked = make(map[string]int), make(map[string]int)
	m.run(10*time.Second, calm)
	require.Equal(t, m.asked, m.taken)
}

// The balancer brings the whole flood of another router at once, ten times what this
// one can serve. What was taken in the first second lasts for seconds: were it all,
// requests would be read when their callers have left.
func TestSuddenFloodIsBoundedWithinASecond(t *testing.T) {
	t.Parallel()
	m := newMachine()
	m.run(5*time.Second, map[string]float64{"small-1": 10})
	m.run(10*time.Second, map[string]float64{"large": 1800, "small-1": 10})
	require.Less(t, m.longest, 500*time.Millisecond)
}

// A machine stands still for a moment. Its callers aren't refused for it.
func TestPauseIsNoFlood(t *testing.T) {
	t.Parallel()
	m := newMachine()
	calm := map[string]float64{"large": 60, "small-1": 10}
	m.run(5*time.Second, calm)
	m.shedder.Observe(m.now, time.Second)
	m.run(5*time.Second, calm)
	require.Equal(t, m.asked, m.taken)
}

// A router's machine is slowed for four seconds. It refused most of an account's requests
// for fifteen seconds more, and the account got a fraction of what others got: the part
// that is taken falls to a twentieth within a second, and rose by a hundredth at each
// look. The log of such days showed 2,191 and 1,264 requests refused without any wait. Faster
// only below half of where goroutines began to wait, it rose as slowly when they had
// begun to wait again at a low part.
func TestRouterTakesAllSoonAfterItsMachineWasSlowed(t *testing.T) {
	t.Parallel()
	for _, slowed := range []float64{5, 10, 20} {
		for _, rate := range []float64{60, 100, 150, 200} {
			m := newMachine()
			m.lulls = true
			load := map[string]float64{"large": rate, "small-1": 10}
			m.share = 0.4
			m.run(10*time.Second, load)
			m.share = 0.4 / slowed
			for range 4 { // the balancer takes callers away, and brings them back
				m.run(700*time.Millisecond, load)
				m.run(300*time.Millisecond, map[string]float64{"small-1": 10})
			}
			m.share = 0.4
			m.run(calmAgain, load)
			m.taken, m.asked = make(map[string]int), make(map[string]int)
			m.run(2*time.Second, load)
			require.Greater(t, m.taken["large"], m.asked["large"]/2, "slowed %v, rate %v", slowed, rate)
			m.run(2*time.Second, load)
			m.taken, m.asked = make(map[string]int), make(map[string]int)
			m.run(2*time.Second, load)
			require.Equal(t, m.asked, m.taken, "slowed %v, rate %v", slowed, rate)
		}
	}
}

// calmAgain is how long after the end of a disturbance users expect a router to keep what
// is promised.
const calmAgain = 3 * time.Second

func TestAdmissionIsCountedSinceTheLastCall(t *testing.T) {
	t.Parallel()
	m := newMachine()
	m.run(10*time.Second, map[string]float64{"large": 1800})
	counted := m.shedder.Admission()
	require.Equal(t, m.asked["large"], counted.Requests)
	require.Equal(t, m.taken["large"], counted.Admitted)
	require.Less(t, counted.Rate, 1.0)
	again := m.shedder.Admission()
	require.Zero(t, again.Requests+again.Admitted)
	require.InDelta(t, counted.Rate, again.Rate, 0)
}
