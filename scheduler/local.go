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

// localRequests holds the requests that this router received: those that wait
// and those in flight.
type localRequests struct {
	waiting   waiting.Queue[queueKey, *waiter]
	queues    map[queueKey]*queue
	heldSlots map[grantKey]*heldSlot
	// lastGrant is the highest sequence number among each dispatcher's received grants.
	lastGrant      map[fleet.RouterID]uint64
	recentPrefixes recentPrefixes
	// startRate is a moving average of the requests started per second, starts
	// the number since it was last updated.
	startRate     float64
	starts        int
	rateUpdatedAt time.Time
}

func newLocalRequests() *localRequests {
	return &localRequests{
		queues:    make(map[queueKey]*queue),
		heldSlots: make(map[grantKey]*heldSlot),
		lastGrant: make(map[fleet.RouterID]uint64),
	}
}

const (
	// noUpstreamRetryAfter is the retry time for a service without upstreams:
	// about the time until a new release note is in force.
	noUpstreamRetryAfter = 5 * time.Second
	// minRetryAfter and maxRetryAfter limit the retry time after a passed deadline.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// add queues a request and asks for a slot, or refuses the request.
func (l *localRequests) add(s *Scheduler, now time.Time, w *waiter) {
	if refused := l.admit(s, now, w); refused != nil {
		w.result <- acquireResult{refused: refused}
		return
	}
	w.item = l.waiting.Push(w.queue.key, w, now, w.request.Deadline)
	w.queue.drainMeter.SetWaiting(now, true)
	l.updateAsks(s, now, w.queue, len(w.avoided) > 0)
}

func (l *localRequests) admit(s *Scheduler, now time.Time, w *waiter) *refusal.Error {
	if s.notes.Current() != s.view {
		s.refreshAssignment(now)
	}
	if s.view == nil {
		return refusal.New(refusal.NotReady, "no release note is in force here yet", time.Second)
	}
	key := queueKey{fleet.ShortID(w.request.Service.GetNumber()), fleet.ShortID(w.request.Account.GetNumber())}
	available := s.assignment.available[key.service]
	if len(available) == 0 {
		return refusal.New(refusal.NoUpstream, "the service has no upstream that takes work", noUpstreamRetryAfter)
	}
	q := l.queues[key]
	if q == nil {
		q = &queue{key: key, dispatcherCounts: make(map[fleet.RouterID]int)}
		l.queues[key] = q
	}
	q.service, q.account = w.request.Service, w.request.Account
	q.usedAt = now
	w.queue = q
	w.avoided = avoidedNumbers(s, w, available)
	w.preferred = l.preferredUpstreams(s, w)
	return s.admission.Admit(now, w.request.Deadline, admission.Queue{
		AccountWaiting: l.waiting.Len(key), AccountBound: s.accountBound(q), TotalWaiting: l.waiting.Total(), TotalBound: s.maxWaitingTotal,
		DrainRate: q.drainMeter.MaxRate(now),
	})
}

// preferredUpstreams returns the upstreams that probably have the request's
// prompt cached: first the one to which this router last sent its longest known
// prefix, then those that all routers prefer for its first block.
func (l *localRequests) preferredUpstreams(s *Scheduler, w *waiter) []fleet.ShortID {
	service := w.queue.key.service
	preferred := s.assignment.prefixUpstreams(service, w.request.Prefixes)
	upstream, ok := l.recentPrefixes.find(w.request.Prefixes)
	if !ok || !s.assignment.serves(service, upstream) {
		return preferred
	}
	if i := slices.Index(preferred, upstream); i >= 0 {
		preferred = slices.Delete(preferred, i, i+1)
	}
	return append([]fleet.ShortID{upstream}, preferred...)
}

func (s *Scheduler) accountBound(q *queue) int {
	if own := int(q.account.GetMaxWaiting()); own > 0 {
		return own
	}
	return s.maxWaiting
}

// avoidedNumbers returns the numbers of the upstreams to avoid. It returns none
// if that would exclude all, since the request could never start then.
func avoidedNumbers(s *Scheduler, w *waiter, available []availableUpstream) []uint32 {
	if len(w.request.AvoidedUpstreams) == 0 {
		return nil
	}
	var avoided []uint32
	for _, u := range available {
		upstream := s.view.UpstreamByNumber(u.number)
		if slices.Contains(w.request.AvoidedUpstreams, fleet.UpstreamID(upstream.GetId())) {
			avoided = append(avoided, uint32(u.number))
		}
	}
	if len(avoided) == len(available) {
		return nil
	}
	return avoided
}

// abandon removes a request whose caller has disconnected, or returns its slot.
func (l *localRequests) abandon(s *Scheduler, now time.Time, w *waiter) {
	if w.heldSlot != nil {
		l.handleCompletion(s, w.heldSlot, dispatch.Completion{Result: dispatch.Unused})
		return
	}
	if l.remove(now, w) {
		l.updateAsks(s, now, w.queue, false)
	}
}

// remove removes a request from its queue and reports whether it was queued.
func (l *localRequests) remove(now time.Time, w *waiter) bool {
	removed := l.waiting.Remove(w.item)
	if removed {
		w.queue.drainMeter.SetWaiting(now, l.waiting.Len(w.queue.key) > 0)
	}
	return removed
}

func (l *localRequests) refuse(now time.Time, w *waiter, refused *refusal.Error) {
	l.remove(now, w)
	w.result <- acquireResult{refused: refused}
}

// waiters returns a queue's requests, oldest first.
func (l *localRequests) waiters(q *queue) []*waiter {
	all := make([]*waiter, 0, l.waiting.Len(q.key))
	for item := l.waiting.Head(q.key); item != nil; item = item.Next() {
		all = append(all, item.Value())
	}
	return all
}

func (l *localRequests) refuseAll(refused *refusal.Error) {
	for _, q := range l.queues {
		for _, w := range l.waiters(q) {
			l.refuse(q.usedAt, w, refused)
		}
	}
}

// expire refuses all waiting requests whose deadline has passed.
func (l *localRequests) expire(s *Scheduler, now time.Time) {
	for _, item := range l.waiting.Expire(now) {
		w := item.Value()
		q := w.queue
		q.drainMeter.SetWaiting(now, l.waiting.Len(q.key) > 0)
		w.result <- acquireResult{refused: refusal.New(
			refusal.DeadlinePassed, "the deadline passed before the request's turn", l.retryAfter(now, q),
		)}
		l.updateAsks(s, now, q, false)
	}
}

// retryAfter returns when the caller of an expired request should retry: after
// the estimated time to start all requests that wait now.
func (l *localRequests) retryAfter(now time.Time, q *queue) time.Duration {
	rate := q.drainMeter.Rate(now)
	if rate == 0 {
		return minRetryAfter
	}
	seconds := min(float64(l.waiting.Len(q.key)+1)/rate, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// reviewQueues refuses waiting requests that would no longer start before their
// deadline, because their account's drain rate has fallen. It also deletes
// queues that have been idle for a while.
func (l *localRequests) reviewQueues(s *Scheduler, now time.Time) {
	const forgetAfter = 5 * time.Minute
	for key, q := range l.queues {
		if l.waiting.Len(key) == 0 {
			if now.Sub(q.usedAt) > forgetAfter {
				delete(l.queues, key)
			}
			continue
		}
		rate := q.drainMeter.MaxRate(now)
		for i, w := range l.waiters(q) {
			refused := s.admission.Admit(now, w.request.Deadline, admission.Queue{
				AccountWaiting: i, AccountBound: i + 1, TotalBound: 1, DrainRate: rate,
			})
			if refused != nil && refused.Reason == refusal.DeadlineBeforeTurn {
				l.refuse(now, w, refused)
			}
		}
		// Also repeats asks that a dispatcher treats as withdrawn.
		l.updateAsks(s, now, q, false)
	}
}

// applyAssignment updates all queues after a change of dispatchers or release note.
func (l *localRequests) applyAssignment(s *Scheduler, now time.Time) {
	for _, q := range l.queues {
		refused := l.unservableRefusal(s, q)
		for _, w := range l.waiters(q) {
			if refused != nil {
				l.refuse(now, w, refused)
				continue
			}
			w.preferred = l.preferredUpstreams(s, w)
			w.avoided = avoidedNumbers(s, w, s.assignment.available[q.key.service])
		}
		ranked := l.rankDispatchers(s, now, q)
		q.askedDispatchers = ranked[:min(len(ranked), max(1, len(q.askedDispatchers)))]
		l.updateAsks(s, now, q, false)
	}
}

// unservableRefusal returns the refusal if a queue's requests can no longer be served, or nil.
func (l *localRequests) unservableRefusal(s *Scheduler, q *queue) *refusal.Error {
	switch {
	case s.view.AccountByNumber(q.key.account) == nil:
		return refusal.New(refusal.UnknownAccount, "the account was withdrawn", 0)
	case s.view.ServiceByNumber(q.key.service) == nil:
		return refusal.New(refusal.UnknownService, "the service was withdrawn", 0)
	case len(s.assignment.available[q.key.service]) == 0:
		return refusal.New(refusal.NoUpstream, "the service has no upstream that takes work", noUpstreamRetryAfter)
	}
	return nil
}

// handleGrant starts a waiting request, or returns the slot unused if there is none.
func (l *localRequests) handleGrant(s *Scheduler, now time.Time, from fleet.RouterID, message *schema.Grant) {
	id := dispatcher.NewGrantID(message.GetId(), s.nonce(from))
	if l.heldSlots[grantKey{from, id}] != nil {
		return
	}
	l.lastGrant[from] = max(l.lastGrant[from], message.GetId())
	h := &heldSlot{
		key: grantKey{from, id}, account: fleet.ShortID(message.GetAccount()), upstream: fleet.ShortID(message.GetUpstream()),
	}
	u := s.upstream(h.upstream)
	q := l.queues[queueKey{s.assignment.serviceNumbers[fleet.ServiceID(u.GetService())], h.account}]
	if u == nil || q == nil {
		l.returnUnused(s, h)
		l.resetCounts(from, h.account)
		return
	}
	q.dispatcherCounts[from] = max(0, q.dispatcherCounts[from]-1)
	w := chooseRequest(l.waiting.Head(q.key), h.upstream)
	switch {
	case s.isLeaving(u):
		// The dispatcher doesn't know yet that the upstream is leaving. A slot
		// returned as unused would be granted again at once.
		l.release(s, h, dispatch.Completion{Result: dispatch.Draining})
	case w == nil:
		// The dispatcher treats the ask as withdrawn when the slot is returned.
		q.dispatcherCounts[from] = 0
		l.returnUnused(s, h)
	default:
		l.start(s, now, w, h, u, message.GetBegin())
	}
	l.updateAsks(s, now, q, false)
}

// resetCounts records that a dispatcher treats an account's asks as withdrawn.
// The next review repeats them. Repeated at once they would get the same grant
// again, because the dispatcher has a newer release note than this router.
func (l *localRequests) resetCounts(router fleet.RouterID, account fleet.ShortID) {
	for key, q := range l.queues {
		if key.account == account {
			delete(q.dispatcherCounts, router)
		}
	}
}

// upstream returns an upstream by its number, or nil if this router's current
// view does not contain it.
func (s *Scheduler) upstream(number fleet.ShortID) *schema.Upstream {
	if s.view == nil {
		return nil
	}
	return s.view.UpstreamByNumber(number)
}

func (l *localRequests) start(s *Scheduler, now time.Time, w *waiter, h *heldSlot, u *schema.Upstream, reportBegin bool) {
	l.remove(now, w)
	w.queue.drainMeter.AddStart(now)
	l.starts++
	l.recentPrefixes.record(w.request.Prefixes, h.upstream)
	h.service = w.queue.service
	l.heldSlots[h.key] = h
	w.heldSlot = h
	s.announceForeignGrant(h)
	s.observeWait(w, now)
	w.result <- acquireResult{slot: newSlot(s, h, u, reportBegin)}
}

// updateStartRate updates the moving average of requests started per second.
func (l *localRequests) updateStartRate(now time.Time) {
	const window = 5 * time.Second
	elapsed := now.Sub(l.rateUpdatedAt)
	l.rateUpdatedAt = now
	if elapsed <= 0 || elapsed > window {
		l.starts = 0
		return
	}
	weight := elapsed.Seconds() / window.Seconds()
	l.startRate += weight * (float64(l.starts)/elapsed.Seconds() - l.startRate)
	l.starts = 0
}
