package scheduler

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/waiting"
)

// entry is the part of a router that callers reach: what waits here, and what
// it has in flight.
type entry struct {
	line   waiting.Queue[queueKey, *waiter]
	queues map[queueKey]*queue
	holds  map[holdKey]*hold
	// through is the highest id of each dispatcher's grants that was seen.
	through map[fleet.RouterID]uint64
	recent  recent
	// rate is the requests started per second lately, starts those since it
	// was measured.
	rate     float64
	starts   int
	measured time.Time
}

func newEntry() *entry {
	return &entry{
		queues:  make(map[queueKey]*queue),
		holds:   make(map[holdKey]*hold),
		through: make(map[fleet.RouterID]uint64),
	}
}

const (
	// noUpstreamRetry is when to come back to a service without upstreams:
	// about the time that a release note takes to come into force.
	noUpstreamRetry = 5 * time.Second
	// leastRetry and mostRetry bound when to come back after a deadline passed.
	leastRetry = time.Second
	mostRetry  = time.Minute
)

// add lets a request wait, or refuses it.
func (e *entry) add(s *Scheduler, now time.Time, w *waiter) {
	if refused := e.admit(s, now, w); refused != nil {
		w.answer <- answer{refused: refused}
		return
	}
	w.item = e.line.Push(w.queue.key, w, now, w.work.Deadline)
	w.queue.drain.Waits(now, true)
	e.ask(s, now, w.queue, len(w.avoided) > 0)
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
	w.preferred = e.preferred(s, w)
	return s.admission.Admit(now, w.work.Deadline, admission.Queue{
		Account: e.line.Len(key), AccountBound: s.bound(q), Total: e.line.Total(), TotalBound: s.maxWaitingTotal,
		Drain: q.drain.Most(now),
	})
}

// preferred returns the upstreams that probably have the request's prompt
// cached: the one that its beginning was sent to from here, and those that
// every router sends such beginnings to.
func (e *entry) preferred(s *Scheduler, w *waiter) []fleet.Number {
	service := w.queue.key.service
	preferred := s.assigned.preferredFor(service, w.work.Prefix)
	upstream, ok := e.recent.find(w.work.Prefix)
	if !ok || !s.assigned.serves(service, upstream) {
		return preferred
	}
	if i := slices.Index(preferred, upstream); i >= 0 {
		preferred = slices.Delete(preferred, i, i+1)
	}
	return append([]fleet.Number{upstream}, preferred...)
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
	if len(w.work.Avoid) == 0 {
		return nil
	}
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
		e.done(s, w.given, dispatch.Done{Result: dispatch.Unused})
		return
	}
	if e.remove(now, w) {
		e.ask(s, now, w.queue, false)
	}
}

// remove takes a request out of the line and reports whether it waited there.
func (e *entry) remove(now time.Time, w *waiter) bool {
	removed := e.line.Remove(w.item)
	if removed {
		w.queue.drain.Waits(now, e.line.Len(w.queue.key) > 0)
	}
	return removed
}

func (e *entry) refuse(now time.Time, w *waiter, refused *refusal.Error) {
	e.remove(now, w)
	w.answer <- answer{refused: refused}
}

// waiters returns the requests of a queue, oldest first.
func (e *entry) waiters(q *queue) []*waiter {
	all := make([]*waiter, 0, e.line.Len(q.key))
	for item := e.line.Head(q.key); item != nil; item = item.Next() {
		all = append(all, item.Value())
	}
	return all
}

func (e *entry) refuseAll(refused *refusal.Error) {
	for _, q := range e.queues {
		for _, w := range e.waiters(q) {
			e.refuse(q.used, w, refused)
		}
	}
}

// expire refuses the requests whose deadline has passed.
func (e *entry) expire(s *Scheduler, now time.Time) {
	for _, item := range e.line.Expire(now) {
		w := item.Value()
		q := w.queue
		q.drain.Waits(now, e.line.Len(q.key) > 0)
		w.answer <- answer{refused: refusal.New(
			refusal.DeadlinePassed, "the deadline passed before the request's turn", e.retryAfter(now, q),
		)}
		e.ask(s, now, q, false)
	}
}

// retryAfter returns when a caller whose request was given up should come
// back: when what waits now has been started.
func (e *entry) retryAfter(now time.Time, q *queue) time.Duration {
	rate := q.drain.Rate(now)
	if rate == 0 {
		return leastRetry
	}
	seconds := min(float64(e.line.Len(q.key)+1)/rate, mostRetry.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), leastRetry)
}

// review refuses requests that were let in but won't have their turn in time
// any more, because the account is now served more slowly, and forgets queues
// that were not used for a while.
func (e *entry) review(s *Scheduler, now time.Time) {
	const forgetAfter = 5 * time.Minute
	for key, q := range e.queues {
		if e.line.Len(key) == 0 {
			if now.Sub(q.used) > forgetAfter {
				delete(e.queues, key)
			}
			continue
		}
		rate := q.drain.Most(now)
		for i, w := range e.waiters(q) {
			refused := s.admission.Admit(now, w.work.Deadline, admission.Queue{
				Account: i, AccountBound: i + 1, TotalBound: 1, Drain: rate,
			})
			if refused != nil && refused.Reason == refusal.DeadlineBeforeTurn {
				e.refuse(now, w, refused)
			}
		}
		// Also repeats asks that a dispatcher takes for withdrawn.
		e.ask(s, now, q, false)
	}
}

// reassigned takes note that dispatchers or the release note changed.
func (e *entry) reassigned(s *Scheduler, now time.Time) {
	for _, q := range e.queues {
		refused := e.withdrawn(s, q)
		for _, w := range e.waiters(q) {
			if refused != nil {
				e.refuse(now, w, refused)
				continue
			}
			w.preferred = e.preferred(s, w)
			w.avoided = avoidedNumbers(s, w, s.assigned.byService[q.key.service])
		}
		ranked := e.rank(s, now, q)
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
	id := dispatcher.GrantIDOf(message.GetId(), s.nonce(from))
	if e.holds[holdKey{from, id}] != nil {
		return
	}
	e.through[from] = max(e.through[from], message.GetId())
	h := &hold{
		key: holdKey{from, id}, account: fleet.Number(message.GetAccount()), upstream: fleet.Number(message.GetUpstream()),
	}
	u := s.upstream(h.upstream)
	q := e.queues[queueKey{s.assigned.services[fleet.ServiceID(u.GetService())], h.account}]
	if u == nil || q == nil {
		e.giveBack(s, h)
		e.forgetAsked(from, h.account)
		return
	}
	q.asked[from] = max(0, q.asked[from]-1)
	w := choose(e.line.Head(q.key), h.upstream)
	switch {
	case s.departs(u):
		// The dispatcher has not heard yet that the upstream is leaving. Given
		// back as unused, the slot would be granted again at once.
		e.release(s, h, dispatch.Done{Result: dispatch.Draining})
	case w == nil:
		// The dispatcher takes the ask for withdrawn when it gets the slot back.
		q.asked[from] = 0
		e.giveBack(s, h)
	default:
		e.start(s, now, w, h, u, message.GetBegin())
	}
	e.ask(s, now, q, false)
}

// forgetAsked takes note that a dispatcher takes an account's asks for
// withdrawn. They are repeated at the next review, not at once: the dispatcher
// holds a newer release note than this router, and would grant the same again.
func (e *entry) forgetAsked(router fleet.RouterID, account fleet.Number) {
	for key, q := range e.queues {
		if key.account == account {
			delete(q.asked, router)
		}
	}
}

// upstream returns an upstream by its number, nil when the view in force here
// does not hold it.
func (s *Scheduler) upstream(number fleet.Number) *schema.Upstream {
	if s.view == nil {
		return nil
	}
	return s.view.UpstreamByNumber(number)
}

func (e *entry) start(s *Scheduler, now time.Time, w *waiter, h *hold, u *schema.Upstream, begin bool) {
	e.remove(now, w)
	w.queue.drain.Started(now)
	e.starts++
	e.recent.sent(w.work.Prefix, h.upstream)
	h.service = w.queue.service
	e.holds[h.key] = h
	w.given = h
	s.announceForeign(h)
	s.observeWait(w, now)
	w.answer <- answer{slot: newSlot(s, h, u, begin)}
}

// measure brings the rate of requests up to date, as a mean over some seconds.
func (e *entry) measure(now time.Time) {
	const memory = 5 * time.Second
	elapsed := now.Sub(e.measured)
	e.measured = now
	if elapsed <= 0 || elapsed > memory {
		e.starts = 0
		return
	}
	part := elapsed.Seconds() / memory.Seconds()
	e.rate += part * (float64(e.starts)/elapsed.Seconds() - e.rate)
	e.starts = 0
}
