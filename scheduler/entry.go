package scheduler

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
)

// entry is the part of a router that callers reach: what waits here, and what
// it has in flight.
type entry struct {
	queues  map[queueKey]*queue
	holds   map[holdKey]*hold
	waiting int
	// through is the highest id of each dispatcher's grants that was seen.
	through map[fleet.RouterID]dispatcher.GrantID
	// nextDeadline is not later than that of any waiting request.
	nextDeadline time.Time
}

func newEntry() *entry {
	return &entry{
		queues:  make(map[queueKey]*queue),
		holds:   make(map[holdKey]*hold),
		through: make(map[fleet.RouterID]dispatcher.GrantID),
	}
}

// noUpstreamRetry is when to come back to a service without upstreams: about
// the time that a release note takes to come into force.
const noUpstreamRetry = 5 * time.Second

// add lets a request wait, or refuses it.
func (e *entry) add(s *Scheduler, now time.Time, w *waiter) {
	if refused := e.admit(s, now, w); refused != nil {
		w.answer <- answer{refused: refused}
		return
	}
	q := w.queue
	w.arrived = now
	q.used = now
	q.drain.pass(now, len(q.waiters) > 0)
	q.waiters = append(q.waiters, w)
	e.waiting++
	if e.waiting == 1 || w.work.Deadline.Before(e.nextDeadline) {
		e.nextDeadline = w.work.Deadline
	}
	e.ask(s, now, q, len(w.avoided) > 0)
}

func (e *entry) admit(s *Scheduler, now time.Time, w *waiter) *refusal.Error {
	if s.notes.Current() != s.view {
		s.refresh(now)
	}
	if s.view == nil {
		return refusal.New(refusal.NotReady, "no release note is in force here yet", time.Second)
	}
	key := queueKey{fleet.Number(w.work.Service.GetNumber()), fleet.Number(w.work.Account.GetNumber())}
	targets := s.assigned.byService[key.service]
	if len(targets) == 0 {
		return refusal.New(refusal.NoUpstream, "the service has no upstream that takes work", noUpstreamRetry)
	}
	q := e.queues[key]
	if q == nil {
		q = &queue{key: key, asked: make(map[fleet.RouterID]int)}
		e.queues[key] = q
	}
	q.service, q.account = w.work.Service, w.work.Account
	q.used = now
	w.queue = q
	w.avoided = avoidedNumbers(s, w, targets)
	w.preferred = s.assigned.preferredFor(key.service, w.work.Prefix)
	return s.admission.Admit(now, w.work.Deadline, admission.Queue{
		Account: len(q.waiters), AccountBound: s.bound(q), Total: e.waiting, TotalBound: s.maxWaitingTotal,
		Drain: q.drain.rate(),
	})
}

func (s *Scheduler) bound(q *queue) int {
	if own := int(q.account.GetMaxWaiting()); own > 0 {
		return own
	}
	return s.maxWaiting
}

// avoidedNumbers returns the upstreams to avoid, none when they are all that
// there is: a request must not wait for an upstream that does not exist.
func avoidedNumbers(s *Scheduler, w *waiter, targets []target) []uint32 {
	var avoided []uint32
	for _, t := range targets {
		u := s.view.UpstreamByNumber(t.upstream)
		if slices.Contains(w.work.Avoid, fleet.UpstreamID(u.GetId())) {
			avoided = append(avoided, uint32(t.upstream))
		}
	}
	if len(avoided) == len(targets) {
		return nil
	}
	return avoided
}

// abandon takes out a request whose caller went away, or gives its slot back.
func (e *entry) abandon(s *Scheduler, now time.Time, w *waiter) {
	if w.given != nil {
		e.giveBack(s, w.given)
		return
	}
	if w.queue == nil || !slices.Contains(w.queue.waiters, w) {
		return
	}
	e.remove(now, w)
	e.ask(s, now, w.queue, false)
}

// remove takes a request out of its queue.
func (e *entry) remove(now time.Time, w *waiter) {
	w.queue.drain.pass(now, true)
	w.queue.take(w)
	e.waiting--
}

func (e *entry) refuse(now time.Time, w *waiter, refused *refusal.Error) {
	e.remove(now, w)
	w.answer <- answer{refused: refused}
}

func (e *entry) refuseAll(refused *refusal.Error) {
	for _, q := range e.queues {
		for _, w := range slices.Clone(q.waiters) {
			e.refuse(q.used, w, refused)
		}
	}
}

// expire refuses the requests whose deadline has passed.
func (e *entry) expire(s *Scheduler, now time.Time) {
	if e.waiting == 0 || now.Before(e.nextDeadline) {
		return
	}
	e.nextDeadline = now.Add(time.Hour)
	for _, q := range e.queues {
		for _, w := range slices.Clone(q.waiters) {
			if w.work.Deadline.After(now) {
				e.nextDeadline = earlier(e.nextDeadline, w.work.Deadline)
				continue
			}
			e.refuse(now, w, refusal.New(refusal.DeadlinePassed, "the deadline passed before the request's turn", q.retryAfter()))
		}
		e.ask(s, now, q, false)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// review refuses requests that were let in but won't have their turn in time
// any more, because the account is now served more slowly, and forgets queues
// that were not used for a while.
func (e *entry) review(s *Scheduler, now time.Time) {
	const forgetAfter = 5 * time.Minute
	for key, q := range e.queues {
		if len(q.waiters) == 0 {
			if now.Sub(q.used) > forgetAfter {
				delete(e.queues, key)
			}
			continue
		}
		q.drain.pass(now, true)
		rate := q.drain.rate()
		for i, w := range slices.Clone(q.waiters) {
			refused := s.admission.Admit(now, w.work.Deadline, admission.Queue{
				Account: i, AccountBound: len(q.waiters) + 1, TotalBound: 1, Drain: rate,
			})
			if refused != nil && refused.Reason == refusal.DeadlineBeforeTurn {
				e.refuse(now, w, refused)
			}
		}
		e.ask(s, now, q, false)
	}
}

// reassigned takes note that dispatchers or the release note changed.
func (e *entry) reassigned(s *Scheduler, now time.Time) {
	for _, q := range e.queues {
		if refused := e.withdrawn(s, q); refused != nil {
			for _, w := range slices.Clone(q.waiters) {
				e.refuse(now, w, refused)
			}
		}
		for _, w := range q.waiters {
			w.preferred = s.assigned.preferredFor(q.key.service, w.work.Prefix)
			w.avoided = avoidedNumbers(s, w, s.assigned.byService[q.key.service])
		}
		ranked := e.rank(s, q)
		q.targets = ranked[:min(len(ranked), max(1, len(q.targets)))]
		e.ask(s, now, q, false)
	}
}

// withdrawn returns why a queue's requests can't be served any more, or nil.
func (e *entry) withdrawn(s *Scheduler, q *queue) *refusal.Error {
	switch {
	case s.view.AccountByNumber(q.key.account) == nil:
		return refusal.New(refusal.UnknownAccount, "the account was withdrawn", 0)
	case s.view.ServiceByNumber(q.key.service) == nil:
		return refusal.New(refusal.UnknownService, "the service was withdrawn", 0)
	case len(s.assigned.byService[q.key.service]) == 0:
		return refusal.New(refusal.NoUpstream, "the service has no upstream that takes work", noUpstreamRetry)
	}
	return nil
}

// granted starts a waiting request, or gives the slot back unused at once.
func (e *entry) granted(s *Scheduler, now time.Time, from fleet.RouterID, message *schema.Grant) {
	id := dispatcher.GrantID(message.GetId())
	if e.holds[holdKey{from, id}] != nil {
		return
	}
	e.through[from] = max(e.through[from], id)
	h := &hold{
		key: holdKey{from, id}, account: fleet.Number(message.GetAccount()), upstream: fleet.Number(message.GetUpstream()),
	}
	u := s.view.UpstreamByNumber(h.upstream)
	q := e.queues[queueKey{s.assigned.services[fleet.ServiceID(u.GetService())], h.account}]
	if u == nil || s.departs(u) || q == nil {
		e.giveBack(s, h)
		return
	}
	q.asked[from] = max(0, q.asked[from]-1)
	w := q.choose(h.upstream)
	if w == nil {
		// The dispatcher takes the ask for withdrawn when it gets the slot back.
		q.asked[from] = 0
		e.giveBack(s, h)
	} else {
		e.start(s, now, w, h, u)
	}
	e.ask(s, now, q, false)
}

func (e *entry) start(s *Scheduler, now time.Time, w *waiter, h *hold, u *schema.Upstream) {
	e.remove(now, w)
	w.queue.drain.starts++
	h.service = w.queue.service
	h.announced = w.work.Estimate
	e.holds[h.key] = h
	w.given = h
	s.announceForeign(h)
	s.observeWait(w, now)
	w.answer <- answer{slot: newSlot(s, h, u, w.work.Estimate)}
}
