package inflight_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/inflight"
)

var epoch = time.Unix(1_800_000_000, 0)

// engine runs up to batch requests and queues the rest. It reports each second with a
// delay of one second. Requests last ten seconds.
type engine struct {
	batch        int
	limiter      inflight.Limiter
	now          time.Time
	endTimes     []time.Time
	delayedLoads []inflight.Load
	delayedOwn   []int
	// queued and running are the lengths of the engine's own queue and of its batch.
	queued, running int
	silent          bool
}

func (e *engine) runSecond() {
	e.now = e.now.Add(time.Second)
	// A request that queues in the engine waits for another one to end.
	firstToken := 200 * time.Millisecond
	if e.queued > 0 {
		firstToken = 2 * time.Second
	}
	kept := e.endTimes[:0]
	for _, end := range e.endTimes {
		if end.After(e.now) {
			kept = append(kept, end)
			continue
		}
		e.limiter.RecordResult(e.now, inflight.Sample{
			Result: dispatch.Answered, FirstTokenLatency: firstToken, InFlight: len(e.endTimes),
		})
	}
	e.endTimes = kept
	for len(e.endTimes) < e.limiter.Limit(e.now) {
		e.endTimes = append(e.endTimes, e.now.Add(10*time.Second))
	}
	e.running = min(len(e.endTimes), e.batch)
	e.queued = len(e.endTimes) - e.running
	e.report()
}

func (e *engine) report() {
	if e.silent {
		return
	}
	e.delayedLoads = append(e.delayedLoads, inflight.Load{Running: e.running, Queued: e.queued, MeasuredAt: e.now})
	e.delayedOwn = append(e.delayedOwn, len(e.endTimes))
	if len(e.delayedLoads) < 2 {
		return
	}
	e.limiter.UpdateLoad(e.now, e.delayedLoads[0], e.delayedOwn[0])
	e.delayedLoads, e.delayedOwn = e.delayedLoads[1:], e.delayedOwn[1:]
}

func runSeconds(e *engine, seconds int) {
	if e.now.IsZero() {
		e.now = epoch
	}
	for range seconds {
		e.runSecond()
	}
}

// More requests wait than the engine can run. With too high a limit they queue in the
// engine, which serves them in order of arrival, so a small account waits for a flood;
// with too low a limit the batch isn't full and callers wait although capacity is idle. A
// fixed limit is wrong in one way or the other once the engine's batch differs from the
// operator's guess.
func TestAdaptiveFindsTheKnee(t *testing.T) {
	t.Parallel()
	for _, batch := range []int{1, 3, 8, 16, 48, 100} {
		e := &engine{batch: batch, limiter: &inflight.Adaptive{}}
		runSeconds(e, 60)
		for range 60 {
			e.runSecond()
			require.LessOrEqual(t, e.queued, 2, "batch %d", batch)
			require.GreaterOrEqual(t, e.running, batch-1, "batch %d", batch)
		}
	}
	fixed := &engine{batch: 8, limiter: inflight.Fixed(16)}
	runSeconds(fixed, 60)
	require.Greater(t, fixed.queued, 2)
	fixed = &engine{batch: 32, limiter: inflight.Fixed(16)}
	runSeconds(fixed, 60)
	require.Less(t, fixed.running, fixed.batch-1)
}

// Probing queues a request in the engine from time to time, and its first token comes ten
// times later. If that were taken for a slow engine, the limit would fall below the batch
// and leave a slot of each engine idle while requests wait.
func TestProbesDoNotEmptyTheBatch(t *testing.T) {
	t.Parallel()
	e := &engine{batch: 16, limiter: &inflight.Adaptive{}}
	runSeconds(e, 60)
	for range 600 {
		e.runSecond()
		require.Equal(t, 16, e.running)
	}
}

func TestLimitFollowsAKneeThatMoves(t *testing.T) {
	t.Parallel()
	e := &engine{batch: 24, limiter: &inflight.Adaptive{}}
	runSeconds(e, 60)
	e.batch = 6
	runSeconds(e, 30)
	require.LessOrEqual(t, e.queued, 2)
	e.batch = 16
	runSeconds(e, 60)
	require.GreaterOrEqual(t, e.running, 15)
}

// Reports stop while the engine still answers. Growing on answers alone would fill its
// queue unnoticed; shrinking would leave a working engine idle.
func TestLimitHoldsWhenReportsStop(t *testing.T) {
	t.Parallel()
	e := &engine{batch: 16, limiter: &inflight.Adaptive{}}
	runSeconds(e, 60)
	e.silent = true
	runSeconds(e, 120)
	require.GreaterOrEqual(t, e.running, 15)
	require.LessOrEqual(t, e.queued, 2)
}

func TestUpstreamThatNeverReportedGrowsByAnswers(t *testing.T) {
	t.Parallel()
	limiter := &inflight.Adaptive{Max: 12}
	e := &engine{batch: 100, limiter: limiter, silent: true}
	runSeconds(e, 200)
	require.Equal(t, 12, e.running)
}

// Two dispatchers dispatch to the same upstream while their views of the fleet differ. If
// they ignored each other's requests, each would fill the batch, and as many requests
// again would queue.
func TestRequestsOfOtherDispatchersAreSubtracted(t *testing.T) {
	t.Parallel()
	var limiter inflight.Adaptive
	at := func(second int) time.Time { return epoch.Add(time.Duration(second) * time.Second) }
	for second := range 3 {
		limiter.UpdateLoad(at(second), inflight.Load{Running: 16, Queued: 6, MeasuredAt: at(second)}, 11)
	}
	require.Equal(t, 5, limiter.Limit(at(3)))
	for second := 3; second < 5; second++ {
		limiter.UpdateLoad(at(second), inflight.Load{Running: 12, MeasuredAt: at(second)}, 12)
	}
	require.GreaterOrEqual(t, limiter.Limit(at(5)), 15)
}

// The other dispatcher's router is killed and no report arrives any more. Its requests
// end by themselves, so their slots must not stay reserved for ever.
func TestRequestsOfOtherDispatchersExpire(t *testing.T) {
	t.Parallel()
	var limiter inflight.Adaptive
	for second := range 3 {
		at := epoch.Add(time.Duration(second) * time.Second)
		limiter.UpdateLoad(at, inflight.Load{Running: 16, Queued: 6, MeasuredAt: at}, 11)
	}
	require.Equal(t, 16, limiter.Limit(epoch.Add(time.Minute)))
}

func TestOldReportIsDropped(t *testing.T) {
	t.Parallel()
	var limiter inflight.Adaptive
	limiter.UpdateLoad(epoch, inflight.Load{Running: 4, MeasuredAt: epoch}, 4)
	require.Equal(t, 6, limiter.Limit(epoch))
	limiter.UpdateLoad(epoch, inflight.Load{Running: 6, MeasuredAt: epoch}, 6)
	require.Equal(t, 6, limiter.Limit(epoch))
}

// A report catches one request between its arrival and the next batch step. If that were
// taken for a full batch of one, the limit would empty the engine.
func TestOneReportWithAQueueIsNotAKnee(t *testing.T) {
	t.Parallel()
	var limiter inflight.Adaptive
	limiter.UpdateLoad(epoch, inflight.Load{Running: 1, Queued: 1, MeasuredAt: epoch}, 2)
	require.Equal(t, 4, limiter.Limit(epoch))
}

// An engine that is full at 25 refuses twenty requests of a burst. A limit lowered for
// each of them would end at 10 and leave most of the batch empty.
func TestBurstOfRefusalsLowersOnce(t *testing.T) {
	t.Parallel()
	limiter := inflight.Adaptive{Initial: 30}
	for i := range 20 {
		limiter.RecordResult(epoch, inflight.Sample{Result: dispatch.Refused, InFlight: 30 - i%5})
	}
	require.Equal(t, 25, limiter.Limit(epoch))
}

func TestBurstOfFailuresHalvesOnce(t *testing.T) {
	t.Parallel()
	limiter := inflight.Adaptive{Initial: 16}
	for range 16 {
		limiter.RecordResult(epoch, inflight.Sample{Result: dispatch.Failed, InFlight: 16})
	}
	require.Equal(t, 8, limiter.Limit(epoch))
}

// A slow upstream accepts all requests and reports no queue, but its first tokens come
// later and later, so users wait long for each answer.
func TestSlowFirstTokensLowerTheLimit(t *testing.T) {
	t.Parallel()
	limiter := inflight.Adaptive{Initial: 40}
	answer := func(n int, firstToken time.Duration) {
		for range n {
			limiter.RecordResult(epoch, inflight.Sample{Result: dispatch.Answered, FirstTokenLatency: firstToken, InFlight: 1})
		}
	}
	answer(32, 200*time.Millisecond)
	require.Equal(t, 40, limiter.Limit(epoch))
	answer(160, 2*time.Second)
	require.Less(t, limiter.Limit(epoch), 20)
}

func TestDrainingUpstreamGetsNothing(t *testing.T) {
	t.Parallel()
	var limiter inflight.Adaptive
	limiter.UpdateLoad(epoch, inflight.Load{Draining: true, MeasuredAt: epoch}, 0)
	require.Zero(t, limiter.Limit(epoch))
	limiter.UpdateLoad(epoch, inflight.Load{MeasuredAt: epoch.Add(1)}, 0)
	require.Equal(t, 4, limiter.Limit(epoch))
}
