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

// waiter is a request in one of this router's queues.
type waiter struct {
	request dispatch.Request
	item    *waiting.Item[queueKey, *waiter]
	// avoided holds the numbers of the upstreams in request.AvoidedUpstreams.
	avoided   []uint32
	preferred []fleet.ShortID
	// overtaken counts the later requests that were started before this one.
	overtaken int
	queue     *queue
	// heldSlot is set when the request gets a slot; only the control goroutine uses it.
	heldSlot *heldSlot
	// result is buffered, so that the control goroutine never blocks on a caller.
	result chan acquireResult
}

type acquireResult struct {
	slot    *slot
	refused *refusal.Error
}

// Acquire waits until the request gets a slot.
func (s *Scheduler) Acquire(ctx context.Context, request dispatch.Request) (dispatch.Slot, error) {
	w := &waiter{request: request, result: make(chan acquireResult, 1)}
	if !s.loop.Post(func() { s.local.add(s, s.timer.Now(), w) }) {
		return nil, refusal.New(refusal.Stopping, "the router is stopping", time.Second)
	}
	select {
	case a := <-w.result:
		if a.refused != nil {
			return nil, a.refused
		}
		return a.slot, nil
	case <-ctx.Done():
		s.loop.Post(func() { s.local.abandon(s, s.timer.Now(), w) })
		refused := refusal.New(refusal.CallerGone, "the caller went away while its request waited", 0)
		refused.Cause = context.Cause(ctx)
		return nil, refused
	}
}

// slot implements dispatch.Slot for a request that was granted a slot.
type slot struct {
	scheduler *Scheduler
	held      *heldSlot
	upstream  *schema.Upstream
	// reportBegin is true while the beginning of the answer must still be reported
	// to the dispatcher.
	reportBegin atomic.Bool
	returned    atomic.Bool
}

func newSlot(s *Scheduler, h *heldSlot, upstream *schema.Upstream, reportBegin bool) *slot {
	granted := &slot{scheduler: s, held: h, upstream: upstream}
	granted.reportBegin.Store(reportBegin)
	return granted
}

// Upstream returns the upstream to send the request to.
func (s *slot) Upstream() *schema.Upstream { return s.upstream }

// ReportCost records the request's cost so far. It is sent to a dispatcher that
// takes over; the current one estimates it from the time that the request runs.
func (s *slot) ReportCost(cost fleet.Tokens) {
	s.held.cost.Store(int64(cost))
	if s.reportBegin.CompareAndSwap(true, false) {
		s.scheduler.loop.Post(func() { s.scheduler.local.reportCost(s.scheduler, s.held) })
	}
}

// Release returns the slot. A second call has no effect.
func (s *slot) Release(completion dispatch.Completion) {
	if s.returned.Swap(true) {
		return
	}
	s.scheduler.loop.Post(func() { s.scheduler.local.handleCompletion(s.scheduler, s.held, completion) })
}

func (s *Scheduler) observeWait(w *waiter, now time.Time) {
	if s.metrics != nil {
		s.metrics.QueueSeconds.WithLabelValues(w.request.Service.GetId()).Observe(now.Sub(w.item.QueuedAt()).Seconds())
	}
}

func clampUint32[T ~int | ~int64](value T) uint32 {
	return uint32(min(max(value, 0), math.MaxUint32))
}
