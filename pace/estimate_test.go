package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/pace"
)

const target = 800 * time.Millisecond

var start = time.Unix(1_800_000_000, 0)

// Guards against an upstream that is avoided for ever: without requests it states nothing new.
func TestStatementFades(t *testing.T) {
	t.Parallel()
	var e pace.Estimate
	require.InDelta(t, 1, float64(e.Slowdown(start, target)), 0)
	e.Record(start, target, pace.Max)
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{0, 20}, {target / 2, 20}, {target, 10.5}, {target * 3 / 2, 1}, {time.Hour, 1}} {
		require.InDelta(t, c.want, float64(e.Slowdown(start.Add(c.age), target)), 1e-9, "after %v", c.age)
	}
	require.Equal(t, target, e.FallsTo(start, target, 10.5).Round(time.Microsecond))
	require.Zero(t, e.FallsTo(start, target, 0.5))
}

// Guards against statements that arrive in another order than they were made, and against values that no upstream
// means.
func TestOldAndImpossibleStatementsAreIgnored(t *testing.T) {
	t.Parallel()
	var e pace.Estimate
	for _, stated := range []pace.Slowdown{0, -1, 0.09, 20.1} {
		e.Record(start, target, stated)
		require.False(t, e.IsKnown(start))
	}
	e.Record(start, target, 2.5)
	e.Record(start.Add(-time.Millisecond), target, 1)
	require.InDelta(t, 2.5, float64(e.Slowdown(start, target)), 0)
}

// Guards against an upstream that is slower than it states and gets as many requests as others.
func TestRatioLearnsWhatIsNotStated(t *testing.T) {
	t.Parallel()
	var e pace.Estimate
	e.Observe(start, target, time.Second, 3*time.Second)
	e.Record(start, target, 1)
	require.InDelta(t, 1, float64(e.Slowdown(start, target)), 0, "nothing is learnt before the first statement")
	e.Observe(start, target, time.Millisecond, time.Hour)
	require.Less(t, e.Slowdown(start, target), pace.Slowdown(1.02), "a single request changes little")
	for range 300 {
		e.Observe(start, target, time.Second, 2*time.Second)
	}
	require.InDelta(t, 2, float64(e.Slowdown(start, target)), 0.1)
	for range 1000 {
		e.Observe(start, target, time.Second, time.Hour)
	}
	require.InDelta(t, 4, float64(e.Slowdown(start, target)), 1e-9)
	e.Record(start.Add(time.Second), target, pace.Max)
	require.InDelta(t, 20, float64(e.Slowdown(start.Add(time.Second), target)), 1e-9)
	later := start.Add(2 * time.Minute)
	require.InDelta(t, 1, float64(e.Slowdown(later, target)), 0, "an upstream that states nothing for a minute is as usual")
	e.Record(later, target, 1)
	require.InDelta(t, 1, float64(e.Slowdown(later, target)), 0, "the ratio is forgotten with the statement")
}

// Guards against a work clock that goes back or jumps when a slowdown changes: the backlog would grow or vanish.
func TestWorkClockIsContinuous(t *testing.T) {
	t.Parallel()
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		var e pace.Estimate
		now, before := start, start
		for range 300 {
			step := time.Duration(random.ExpFloat64() * float64(200*time.Millisecond))
			now = now.Add(step)
			clock := e.Clock(now, target)
			work := clock.Sub(before)
			require.GreaterOrEqual(t, work, time.Duration(float64(step)/20)-time.Microsecond)
			require.LessOrEqual(t, work, 10*step+time.Microsecond)
			switch random.IntN(3) {
			case 0:
				e.Record(now, target, pace.Slowdown(0.1+19.9*random.Float64()))
			case 1:
				e.Observe(now, target, time.Second, time.Duration(random.ExpFloat64()*float64(time.Second)))
			}
			require.InDelta(t, 0, e.Clock(now, target).Sub(clock), 10)
			before = clock
		}
	}
}

// Guards against a request that is refused though its turn would come in time: a wait is as long as the work takes
// while the statement fades.
func TestDurationFollowsTheFading(t *testing.T) {
	t.Parallel()
	var e pace.Estimate
	require.Equal(t, time.Second, e.Duration(start, target, time.Second))
	e.Record(start, target, 20)
	require.InDelta(t, 200*time.Millisecond, e.Duration(start, target, 10*time.Millisecond), 1e3)
	require.Less(t, e.Duration(start, target, time.Second), target*3/2+time.Second)
	require.InDelta(t, time.Second, e.Duration(start.Add(2*target), target, time.Second), 1e3)
}

// Guards against a line in the log for each statement, and for slow phases that are over at once.
func TestChangesAreReportedOnce(t *testing.T) {
	t.Parallel()
	var e pace.Estimate
	for i, c := range []struct {
		at     time.Duration
		stated pace.Slowdown
		want   pace.Change
	}{
		{0, 2, pace.Unchanged},
		{500 * time.Millisecond, 1, pace.Unchanged},
		{600 * time.Millisecond, 2, pace.Unchanged},
		{1500 * time.Millisecond, 1.2, pace.Unchanged},
		{1700 * time.Millisecond, 2, pace.TurnedSlow},
		{1800 * time.Millisecond, 2, pace.Unchanged},
		{9 * time.Second, 2, pace.Unchanged},
		{10 * time.Second, 1.1, pace.TurnedUsual},
		{11 * time.Second, 1, pace.Unchanged},
		{12 * time.Second, 2, pace.Unchanged},
		{20 * time.Second, 2, pace.Unchanged}, // whether it was slow in between isn't known
	} {
		require.Equal(t, c.want, e.Record(start.Add(c.at), target, c.stated), "statement %d", i)
	}
	require.Zero(t, e.SlowFor(start.Add(30*time.Second), target))
}

// Guards against an observation that is credited to a slowdown of a part of its time.
func TestCommonSlowdown(t *testing.T) {
	t.Parallel()
	common, known := pace.Common(2.5, 2.6)
	require.True(t, known)
	require.InDelta(t, 2.55, float64(common), 0.01)
	_, known = pace.Common(1, 2.5)
	require.False(t, known)
	require.Equal(t, time.Second, pace.Slowdown(2.5).Shrink(pace.Slowdown(2.5).Stretch(time.Second)))
	require.Equal(t, uint32(250), pace.FromPercent(250).Percent())
}
