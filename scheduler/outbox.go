package scheduler

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// How long a message may wait for others to the same router.
const (
	// urgentDelay is small beside the round trip of 1 to 2 ms between data
	// centres, since a slot may be idle for as long.
	urgentDelay = time.Millisecond
	// lazyDelay is for what nobody waits for. It is small beside the seconds
	// between two exchanges of service.
	lazyDelay = 100 * time.Millisecond
)

// outbox collects messages by router, so that several go in one frame.
type outbox struct {
	scheduler *Scheduler
	batches   map[fleet.RouterID]*schema.Batch
	due       map[fleet.RouterID]time.Time
	wake      time.Time
	// earliest is not later than any of due.
	earliest time.Time
}

func newOutbox(s *Scheduler) outbox {
	return outbox{
		scheduler: s,
		batches:   make(map[fleet.RouterID]*schema.Batch),
		due:       make(map[fleet.RouterID]time.Time),
	}
}

// to returns the batch that goes to a router next, by lazyDelay at the latest.
func (o *outbox) to(router fleet.RouterID) *schema.Batch {
	batch := o.batches[router]
	if batch == nil {
		batch = &schema.Batch{}
		o.batches[router] = batch
	}
	o.within(router, lazyDelay)
	return batch
}

// urgent makes a router's batch go within urgentDelay.
func (o *outbox) urgent(router fleet.RouterID) { o.within(router, urgentDelay) }

func (o *outbox) within(router fleet.RouterID, delay time.Duration) {
	at := o.scheduler.timer.Now().Add(delay)
	if due, ok := o.due[router]; !ok || at.Before(due) {
		o.due[router] = at
	}
	if o.earliest.IsZero() || at.Before(o.earliest) {
		o.earliest = at
	}
}

// drop forgets what was to be sent to a router.
func (o *outbox) drop(router fleet.RouterID) {
	delete(o.batches, router)
	delete(o.due, router)
}

// takeOwn returns what this router has for itself, nil when that is nothing.
func (o *outbox) takeOwn() *schema.Batch {
	batch := o.batches[o.scheduler.self]
	o.drop(o.scheduler.self)
	return batch
}

// flushDue sends the batches that are due, and arranges for the next.
func (o *outbox) flushDue(now time.Time) {
	if len(o.due) == 0 || (o.earliest.After(now) && !o.wake.After(o.earliest) && o.wake.After(now)) {
		return
	}
	var next time.Time
	for router, due := range o.due {
		if !due.After(now) {
			o.send(router)
			continue
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	o.earliest = next
	if next.IsZero() || (o.wake.After(now) && !next.Before(o.wake)) {
		return
	}
	o.wake = next
	// The loop settles after the post, which flushes.
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
	if through := s.entry.through[router]; len(batch.GetAsks()) > 0 && through != r.told {
		batch.GrantedThrough = through
		r.told = through
	}
	s.peers.Send(router, batch)
}
