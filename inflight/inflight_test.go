package inflight_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/inflight"
)

var epoch = time.Unix(1_800_000_000, 0)

// engine runs up to batch requests and queues the rest; it reports each second
// with a lag of one second. Requests last ten seconds.
type engine struct {
	batch   int
	limiter inflight.Limiter
	now     time.Time
	ends    []time.Time
	late    []inflight.Load
	own     []int
	// most and least are of the inner queue and the running batch.
	queued, running int
	silent          bool
}

func (e *engine) second() {
	e.now = e.now.Add(time.Second)
	// A request that queues inside waits for another to end.
	firstToken := 200 * time.Millisecond
	if e.queued > 0 {
		firstToken = 2 * time.Second
	}
	kept := e.ends[:0]
	for _, end := range e.ends {
		if end.After(e.now) {
			kept = append(kept, end)
			continue
		}
		e.limiter.Ended(e.now, inflight.Sample{
			Result: dispatch.Answered, FirstToken: firstToken, InFlight: len(e.ends),
		})
	}
	e.ends = kept
	for len(e.ends) < e.limiter.Limit(e.now) {
		e.ends = append(e.ends, e.now.Add(10*time.Second))
	}
	e.running = min(len(e.ends), e.batch)
	e.queued = len(e.ends) - e.running
	e.report()
}

func (e *engine) report() {
	if e.silent {
		return
	}
	e.late = append(e.late, inflight.Load{Running: e.running, Queued: e.queued, At: e.now})
	e.own = append(e.own, len(e.ends))
	if len(e.late) < 2 {
		return
	}
	e.limiter.Reported(e.now, e.late[0], e.own[0])
	e.late, e.own = e.late[1:], e.own[1:]
}

func play(e *engine, seconds int) {
	if e.now.IsZero() {
		e.now = epoch
	}
	for range seconds {
		e.second()
	}
}

// Work waits without end. With too high a limit it queues inside the engine,
// where the first come is served first and a small account waits for the
// flood; with too low a one the batch is not full and crews wait beside idle
// capacity. A fixed limit is wrong on one side or the other as soon as the
// engine's batch differs from what an operator guessed.
func TestAdaptiveFindsTheKnee(t *testing.T) {
	t.Parallel()
	for _, batch := range []int{1, 3, 8, 16, 48, 100} {
		e := &engine{batch: batch, limiter: &inflight.Adaptive{}}
		play(e, 60)
		for range 60 {
			e.second()
			require.LessOrEqual(t, e.queued, 2, "batch %d", batch)
			require.GreaterOrEqual(t, e.running, batch-1, "batch %d", batch)
		}
	}
	fixed := &engine{batch: 8, limiter: inflight.Fixed(16)}
	play(fixed, 60)
	require.Greater(t, fixed.queued, 2)
	fixed = &engine{batch: 32, limiter: inflight.Fixed(16)}
	play(fixed, 60)
	require.Less(t, fixed.running, fixed.batch-1)
}

// Probing queues a request inside from time to time, and its first token comes
// ten times later. Taken for a slow engine it would lower the limit below the
// batch, and a slot in each engine would stand idle while work waits.
func TestProbesDoNotEmptyTheBatch(t *testing.T) {
	t.Parallel()
	e := &engine{batch: 16, limiter: &inflight.Adaptive{}}
	play(e, 60)
	for range 600 {
		e.second()
		require.Equal(t, 16, e.running)
	}
}

func TestLimitFollowsAKneeThatMoves(t *testing.T) {
	t.Parallel()
	e := &engine{batch: 24, limiter: &inflight.Adaptive{}}
	play(e, 60)
	e.batch = 6
	play(e, 30)
	require.LessOrEqual(t, e.queued, 2)
	e.batch = 16
	play(e, 60)
	require.GreaterOrEqual(t, e.running, 15)
}

// Reports stop while the engine goes on answering. Growing on answers alone
// would fill its inner queue without anyone seeing it; shrinking would idle an
// engine that works.
func TestLimitHoldsWhenReportsStop(t *testing.T) {
	t.Parallel()
	e := &engine{batch: 16, limiter: &inflight.Adaptive{}}
	play(e, 60)
	e.silent = true
	play(e, 120)
	require.GreaterOrEqual(t, e.running, 15)
	require.LessOrEqual(t, e.queued, 2)
}

func TestUpstreamThatNeverReportedGrowsByAnswers(t *testing.T) {
	t.Parallel()
	limiter := &inflight.Adaptive{Max: 12}
	e := &engine{batch: 100, limiter: limiter, silent: true}
	play(e, 200)
	require.Equal(t, 12, e.running)
}

// Another dispatcher believes that it holds the same upstream. Without
// allowing for its requests each would fill the batch, and as many again would
// queue inside.
func TestOthersRequestsAreAllowedFor(t *testing.T) {
	t.Parallel()
	var limiter inflight.Adaptive
	at := func(second int) time.Time { return epoch.Add(time.Duration(second) * time.Second) }
	for second := range 3 {
		limiter.Reported(at(second), inflight.Load{Running: 16, Queued: 6, At: at(second)}, 11)
	}
	require.Equal(t, 5, limiter.Limit(at(3)))
	for second := 3; second < 5; second++ {
		limiter.Reported(at(second), inflight.Load{Running: 12, At: at(second)}, 12)
	}
	require.GreaterOrEqual(t, limiter.Limit(at(5)), 15)
}

// The other dispatcher's router is killed and no report comes any more. Its
// requests end by themselves, so its room must not stay reserved for ever.
func TestOthersRequestsAreForgotten(t *testing.T) {
	t.Parallel()
	var limiter inflight.Adaptive
	for second := range 3 {
		at := epoch.Add(time.Duration(second) * time.Second)
		limiter.Reported(at, inflight.Load{Running: 16, Queued: 6, At: at}, 11)
	}
	require.Equal(t, 16, limiter.Limit(epoch.Add(time.Minute)))
}

func TestOldReportIsDropped(t *testing.T) {
	t.Parallel()
	var limiter inflight.Adaptive
	limiter.Reported(epoch, inflight.Load{Running: 4, At: epoch}, 4)
	require.Equal(t, 6, limiter.Limit(epoch))
	limiter.Reported(epoch, inflight.Load{Running: 6, At: epoch}, 6)
	require.Equal(t, 6, limiter.Limit(epoch))
}

// A report catches one request in the instant between its arrival and the
// next batch step. Taken for a full batch of one it would empty the engine.
func TestOneReportWithAQueueIsNotAKnee(t *testing.T) {
	t.Parallel()
	var limiter inflight.Adaptive
	limiter.Reported(epoch, inflight.Load{Running: 1, Queued: 1, At: epoch}, 2)
	require.Equal(t, 4, limiter.Limit(epoch))
}

// A burst is refused as one: the engine was full at 25 and turned twenty
// requests away. A limit lowered by each of them would end at 10 and leave most
// of the batch empty.
func TestBurstOfRefusalsLowersOnce(t *testing.T) {
	t.Parallel()
	limiter := inflight.Adaptive{Initial: 30}
	for i := range 20 {
		limiter.Ended(epoch, inflight.Sample{Result: dispatch.Refused, InFlight: 30 - i%5})
	}
	require.Equal(t, 25, limiter.Limit(epoch))
}

func TestBurstOfFailuresHalvesOnce(t *testing.T) {
	t.Parallel()
	limiter := inflight.Adaptive{Initial: 16}
	for range 16 {
		limiter.Ended(epoch, inflight.Sample{Result: dispatch.Failed, InFlight: 16})
	}
	require.Equal(t, 8, limiter.Limit(epoch))
}

// A slow upstream takes all it is sent and reports no queue, but its first
// tokens come later and later. Users see a long pause before each answer.
func TestSlowFirstTokensLowerTheLimit(t *testing.T) {
	t.Parallel()
	limiter := inflight.Adaptive{Initial: 40}
	answer := func(n int, firstToken time.Duration) {
		for range n {
			limiter.Ended(epoch, inflight.Sample{Result: dispatch.Answered, FirstToken: firstToken, InFlight: 1})
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
	limiter.Reported(epoch, inflight.Load{Draining: true, At: epoch}, 0)
	require.Zero(t, limiter.Limit(epoch))
	limiter.Reported(epoch, inflight.Load{At: epoch.Add(1)}, 0)
	require.Equal(t, 4, limiter.Limit(epoch))
}
