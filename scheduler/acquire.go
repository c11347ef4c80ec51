package scheduler

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/waiting"
)

// waiter is a request that waits for its turn here.
type waiter struct {
	work dispatch.Work
	item *waiting.Item[queueKey, *waiter]
	// avoided are the upstreams of work.Avoid by number.
	avoided   []uint32
	preferred []fleet.Number
	// passed counts how often a request behind this one was started before it.
	passed int
	queue  *queue
	// given is set once the waiter has its answer; only the control goroutine uses it.
	given *hold
	// answer is buffered, so that the control goroutine never waits for a caller.
	answer chan answer
}

type answer struct {
	slot    *slot
	refused *refusal.Error
}

// Acquire waits for the request's turn.
func (s *Scheduler) Acquire(ctx context.Context, work dispatch.Work) (dispatch.Slot, error) {
	w := &waiter{work: work, answer: make(chan answer, 1)}
	if !s.loop.Post(func() { s.entry.add(s, s.timer.Now(), w) }) {
		return nil, refusal.New(refusal.Stopping, "the router is stopping", time.Second)
	}
	select {
	case a := <-w.answer:
		if a.refused != nil {
			return nil, a.refused
		}
		return a.slot, nil
	case <-ctx.Done():
		s.loop.Post(func() { s.entry.abandon(s, s.timer.Now(), w) })
		gone := refusal.New(refusal.CallerGone, "the caller went away while its request waited", 0)
		gone.Cause = context.Cause(ctx)
		return nil, gone
	}
}

// slot is a granted slot in the hands of the traffic.
type slot struct {
	scheduler *Scheduler
	hold      *hold
	upstream  *schema.Upstream
	// begin is true until the dispatcher that asked for it is told that the
	// answer began.
	begin atomic.Bool
	done  atomic.Bool
}

func newSlot(s *Scheduler, h *hold, upstream *schema.Upstream, begin bool) *slot {
	given := &slot{scheduler: s, hold: h, upstream: upstream}
	given.begin.Store(begin)
	return given
}

// Upstream returns where to send the request.
func (g *slot) Upstream() *schema.Upstream { return g.upstream }

// Progress reports the request's cost so far. It is told to a dispatcher that
// takes over; the present one expects it from how long the request runs.
func (g *slot) Progress(cost fleet.Tokens) {
	g.hold.cost.Store(int64(cost))
	if g.begin.CompareAndSwap(true, false) {
		g.scheduler.loop.Post(func() { g.scheduler.entry.announce(g.scheduler, g.hold) })
	}
}

// Done gives the slot back. A second call has no effect.
func (g *slot) Done(done dispatch.Done) {
	if g.done.Swap(true) {
		return
	}
	g.scheduler.loop.Post(func() { g.scheduler.entry.done(g.scheduler, g.hold, done) })
}

func (s *Scheduler) observeWait(w *waiter, now time.Time) {
	if s.metrics != nil {
		s.metrics.QueueSeconds.WithLabelValues(w.work.Service.GetId()).Observe(now.Sub(w.item.Since()).Seconds())
	}
}

func clampUint32[T ~int | ~int64](value T) uint32 {
	return uint32(min(max(value, 0), math.MaxUint32))
}
