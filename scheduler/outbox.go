package scheduler

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// Delays during which further messages to the same router join a batch.
const (
	// urgentDelay is small compared with the round trip of 1 to 2 ms between data
	// centres, because a slot may be idle meanwhile.
	urgentDelay = time.Millisecond
	// defaultDelay applies to messages that no request waits for. It is small
	// compared with the seconds between two exchanges of service.
	defaultDelay = 100 * time.Millisecond
)

// outbox collects messages per router, so that one frame carries several.
type outbox struct {
	scheduler *Scheduler
	batches   map[fleet.RouterID]*schema.Batch
	dueAt     map[fleet.RouterID]time.Time
	wakeAt    time.Time
	// earliestDue is not later than any time in dueAt.
	earliestDue time.Time
}

func newOutbox(s *Scheduler) outbox {
	return outbox{
		scheduler: s,
		batches:   make(map[fleet.RouterID]*schema.Batch),
		dueAt:     make(map[fleet.RouterID]time.Time),
	}
}

// batchTo returns the next batch to a router, which is sent within defaultDelay.
func (o *outbox) batchTo(router fleet.RouterID) *schema.Batch {
	batch := o.batches[router]
	if batch == nil {
		batch = &schema.Batch{}
		o.batches[router] = batch
	}
	o.sendWithin(router, defaultDelay)
	return batch
}

// sendUrgently makes the batch to a router due within urgentDelay.
func (o *outbox) sendUrgently(router fleet.RouterID) { o.sendWithin(router, urgentDelay) }

func (o *outbox) sendWithin(router fleet.RouterID, delay time.Duration) {
	at := o.scheduler.timer.Now().Add(delay)
	if due, ok := o.dueAt[router]; !ok || at.Before(due) {
		o.dueAt[router] = at
	}
	if o.earliestDue.IsZero() || at.Before(o.earliestDue) {
		o.earliestDue = at
	}
}

// drop discards the batch to a router.
func (o *outbox) drop(router fleet.RouterID) {
	delete(o.batches, router)
	delete(o.dueAt, router)
}

// takeLocal removes and returns the batch from this router to itself, nil if there is none.
func (o *outbox) takeLocal() *schema.Batch {
	batch := o.batches[o.scheduler.self]
	o.drop(o.scheduler.self)
	return batch
}

// flushDue sends the batches that are due and schedules the next call.
func (o *outbox) flushDue(now time.Time) {
	if len(o.dueAt) == 0 || (o.earliestDue.After(now) && !o.wakeAt.After(o.earliestDue) && o.wakeAt.After(now)) {
		return
	}
	var next time.Time
	for router, due := range o.dueAt {
		if !due.After(now) {
			o.send(router)
			continue
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	o.earliestDue = next
	if next.IsZero() || (o.wakeAt.After(now) && !next.Before(o.wakeAt)) {
		return
	}
	o.wakeAt = next
	// After the timer function the loop calls finishRound, which calls flushDue.
	o.scheduler.loop.After(o.scheduler.timer, next.Sub(now), func(time.Time) {})
}

func (o *outbox) send(router fleet.RouterID) {
	batch := o.batches[router]
	o.drop(router)
	s := o.scheduler
	r := s.routers[router]
	if r == nil || !r.connected || s.peers == nil {
		return
	}
	if lastGrant := s.local.lastGrant[router]; len(batch.GetAsks()) > 0 && lastGrant != r.ackedGrant {
		batch.GrantedThrough = lastGrant
		r.ackedGrant = lastGrant
	}
	s.peers.Send(router, batch)
}
