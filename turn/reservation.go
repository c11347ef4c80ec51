package turn

import (
	"math"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/reservation"
)

// horizonFraction is the part of a caller's remaining time after which it is asked to return at
// the latest. Callers honour Retry-After up to a third of their time; the rest is for the
// messages, during which that third gets shorter.
const horizonFraction = 0.3

// maxRetryAfter is the longest time after which a caller is asked to return: refused requests are
// remembered for retryMemory.
const maxRetryAfter = retryMemory - reservation.Expiry

// shareWaitFactor is how many times its patience the wait for its account's share must be for a
// request to be refused at arrival. Requests ahead give up after their patience, so a shorter
// queue may still empty in time: with 6, fewer requests were in target at 1.2 times the load.
const shareWaitFactor = 10

// startMargin is the part of the target that is left between the latest time of a reservation and
// the latest start that is in time. A due return still waits for its account's turn.
const startMargin = 0.2

// overbooking is the rate of reservations relative to that at which the account's requests begin.
// Callers without one come back too late, and with a factor of one fewer requests were in target
// at 1.2 times the load.
const overbooking = 1.5

// duePatienceFraction is the part of its target that a request which returns in time may wait at
// least. Reading the prompt fits into the rest.
const duePatienceFraction = 0.5

// ReservationHooks are called, unless they are nil, at what happens to refused requests and their
// reservations.
type ReservationHooks struct {
	// OnRefused is called when a request doesn't get its turn in time.
	OnRefused func(reserved bool)
	// OnReturn is called when a request returns for which a reservation was kept.
	OnReturn func(claim reservation.Claim)
	// OnDueEnded is called when a request that returned in time begins or is refused.
	OnDueEnded func(began bool)
	// OnBegun is called when a request begins that had to wait, or was predicted to.
	OnBegun func(predicted, waited time.Duration)
}

// returns is what an account's home knows of its refused requests.
type returns struct {
	book reservation.Book[uint64]
	// contendedSince is when requests of the account began to wait or to be refused, zero while
	// none do.
	contendedSince time.Time
}

// observe records whether the account has more requests than are served.
func (s *returns) observe(now time.Time, contended bool) {
	switch {
	case !contended:
		s.contendedSince = time.Time{}
	case s.contendedSince.IsZero():
		s.contendedSince = now
	}
}

// contendedFor returns for how long the account has had more requests than are served.
func (s *returns) contendedFor(now time.Time) time.Duration {
	if s.contendedSince.IsZero() {
		return 0
	}
	return now.Sub(s.contendedSince)
}

// keepsReservations reports whether a request is given a time to return at if it doesn't get its
// turn. That takes a home, because elsewhere the account may be served at other routers, and a
// caller whose remaining time is known. A request that was sent before isn't refused for its
// account's share.
func (p *Pool) keepsReservations(r *Request) bool {
	return r.Left > 0 && p.HasCaches() && p.isHome() && !r.wasSent() && !p.isResumption(r)
}

// timing is when a request has to begin to be in time.
type timing struct {
	// arrivedAt is when the request first arrived at a router, before any refusal.
	arrivedAt time.Time
	// latestStart is the latest start with which its first event is in time, zero if that doesn't matter.
	latestStart time.Time
	// isReturn is true if the request was refused before.
	isReturn bool
}

// timingOf returns the timing of a new request.
func (p *Pool) timingOf(now time.Time, t *Ticket) timing {
	r := &t.request
	timing := timing{arrivedAt: now.Add(-r.Age)}
	if p.keepsReservations(r) && r.Target > 0 {
		timing.latestStart = timing.arrivedAt.Add(r.Target - p.latency.firstEvent(t.tokens))
	}
	return timing
}

// recordReturn records that the request first arrived at another time and was refused.
func (t *timing) recordReturn(arrivedAt time.Time) {
	t.isReturn = true
	earlier := t.arrivedAt.Sub(arrivedAt)
	if earlier <= 0 {
		return
	}
	t.arrivedAt = arrivedAt
	if !t.latestStart.IsZero() {
		t.latestStart = t.latestStart.Add(-earlier)
	}
}

// isLate reports whether a return can't be in time any more. New requests are never late: a
// prompt that takes longer to read than its target would not begin at all.
func (t *Ticket) isLate(now time.Time) bool {
	return t.timing.isReturn && !t.timing.latestStart.IsZero() && t.timing.latestStart.Before(now)
}

// startLateReturn starts the first late return of the account with the least service that has
// one, at an upstream that the requests which can still be in time leave idle.
func (p *Pool) startLateReturn(now time.Time, shares fairShares, accounts []waitingAccount) bool {
	view := p.view(now, minBacklogFactor)
	for _, a := range accounts {
		if shares.isCapped(now, a.account) {
			continue
		}
		for _, t := range a.queue {
			if t.isLate(now) && p.tryStart(view, t) {
				return true
			}
		}
	}
	return false
}

// startAtPatienceEnd starts a late return at the end of its patience if it has room. No event tells
// that an upstream has been idle for long enough.
func (p *Pool) startAtPatienceEnd(now time.Time, t *Ticket) bool {
	if now.Sub(t.arrivedAt) < t.patience || !t.isLate(now) {
		return false
	}
	p.startWaiting(now)
	return t.isGranted()
}

// recordRefused records a request that this pool refused.
func (p *Pool) recordRefused(now time.Time, t *Ticket) {
	a := p.account(t.request.Account)
	a.refused.Add(now, serviceWindow, t.request.cost())
	a.refusedRequests.add(now, &t.request, t.timing.arrivedAt)
}

// identifyReturn determines whether a request returns, and refuses one that returns before the time of
// its reservation. That refusal doesn't count as further demand.
func (p *Pool) identifyReturn(now time.Time, t *Ticket, a *account) *RefusedError {
	r := &t.request
	if !p.keepsReservations(r) {
		_, known := a.refusedRequests.take(now, r)
		t.returned = known || p.isResumption(r)
		return nil
	}
	a.returns.observe(now, len(a.queue) > 0 || a.refused.At(now, serviceWindow) >= r.cost())
	if len(r.Prefixes) == 0 {
		return nil
	}
	claim := a.returns.book.Claim(now, r.promptHash())
	if claim != reservation.Unknown && p.Reservations.OnReturn != nil {
		p.Reservations.OnReturn(claim)
	}
	if claim == reservation.Early {
		at, _ := a.returns.book.TimeOf(r.promptHash())
		return &RefusedError{Lack: p.lack(now, t), Wait: at.Sub(now), RetryAfter: max(at.Sub(now), minRetryAfter), Reserved: true}
	}
	if arrivedAt, known := a.refusedRequests.take(now, r); known {
		t.timing.recordReturn(arrivedAt)
	}
	if claim == reservation.Due {
		t.returned, t.isDue = !t.isLate(now), true
		t.patience = max(t.patience, min(t.timing.latestStart.Sub(now), time.Duration(duePatienceFraction*float64(r.Target))))
	}
	return nil
}

// comesTooLate reports whether a request's turn will probably not come within its patience, and
// records the estimate. At a home the estimate includes the account's share: room that its queued
// requests leave unused is no room for this one.
func (p *Pool) comesTooLate(now time.Time, t *Ticket, e *engine, shares fairShares) bool {
	t.expected = p.expectedWait(now, e, &t.request)
	if t.expected > t.patience || !p.keepsReservations(&t.request) {
		return t.expected > t.patience
	}
	wait := p.shareWait(now, t, shares)
	t.expected = max(t.expected, wait, 0)
	if t.isLate(now) {
		return wait > t.patience
	}
	return wait > shareWaitFactor*t.patience
}

// shareWait returns the time in which an account's share lets the requests begin that go before a
// new one, zero if the account is below its share. It is a low estimate, as it has to be: the
// rate isn't known until the account has had unserved requests for a whole serviceWindow, and
// returns count by the part of callers that do return.
func (p *Pool) shareWait(now time.Time, t *Ticket, shares fairShares) time.Duration {
	a := p.account(t.request.Account)
	usage := a.totalUsage(now)
	if usage.Served < shares.fairShare(usage.hasUnmetDemand()) || a.returns.contendedFor(now) < serviceWindow {
		return 0
	}
	ahead := a.queuedCost() + a.returns.book.Expected(now, now.Add(t.patience))
	return a.beginRate(now, shares).TimeFor(ahead)
}

// queuedCost returns the cost of the account's queued requests.
func (a *account) queuedCost() fleet.Tokens {
	sum := 0.0
	for _, t := range a.queue {
		sum += t.request.cost()
	}
	return fleet.Tokens(sum)
}

// beginRate returns the rate at which an account's requests begin here: its service of the last
// second, or its share if that is more. The decayed sum of its service reaches the rate only
// after several windows, and is corrected by how long the account has had unserved requests.
func (a *account) beginRate(now time.Time, shares fairShares) reservation.Rate {
	windows := max(a.returns.contendedFor(now).Seconds()/serviceWindow.Seconds(), 1)
	rate := a.servedHere.At(now, serviceWindow) / serviceWindow.Seconds() / (1 - math.Exp(-windows))
	if share := shares.fairShare(true); !math.IsInf(share, 1) {
		rate = max(rate, share/serviceWindow.Seconds())
	}
	return reservation.Rate(rate)
}

// couldBegin reports whether a request would begin now if its account's earlier ones didn't.
func (p *Pool) couldBegin(now time.Time, t *Ticket, shares fairShares) bool {
	if !p.keepsReservations(&t.request) {
		return false // the estimate alone decides
	}
	view := p.accountView(now, shares, p.account(t.request.Account).served(now))
	if t.isLate(now) {
		view = p.view(now, minBacklogFactor)
	}
	return p.roomFor(view, t) != nil
}

// refuseTurn returns the refusal of a request whose turn can't come within its patience. At a home
// it gets a reservation, unless its caller has left.
func (p *Pool) refuseTurn(now time.Time, t *Ticket, lack Lack, wait time.Duration) *RefusedError {
	e := &RefusedError{Lack: lack, Wait: wait, Waited: now.Sub(t.arrivedAt), RetryAfter: max(wait, minRetryAfter)}
	p.recordDueEnd(t, false)
	if !p.keepsReservations(&t.request) || (e.Waited > 0 && e.Waited < t.patience) {
		return e
	}
	p.reserve(now, t, e)
	if p.Reservations.OnRefused != nil {
		p.Reservations.OnRefused(e.Reserved)
	}
	return e
}

// reservationRate returns the rate at which an account's reservations follow one another. Below its
// share, its requests go before those of others, so only the group's rate bounds them.
func (p *Pool) reservationRate(now time.Time, a *account) reservation.Rate {
	shares, usage := p.fairShares(now), a.totalUsage(now)
	rate := overbooking * a.beginRate(now, shares)
	if usage.Served >= shares.fairShare(usage.hasUnmetDemand()) {
		return rate
	}
	total := 0.0
	for _, other := range p.accounts {
		total += other.servedHere.At(now, serviceWindow)
	}
	return max(rate, reservation.Rate(total/serviceWindow.Seconds()))
}

// reserve sets when a refused request should return. A reservation is kept only if the request
// can still be in time then.
func (p *Pool) reserve(now time.Time, t *Ticket, e *RefusedError) {
	a, r := p.account(t.request.Account), &t.request
	horizon := min(time.Duration(horizonFraction*float64(max(r.Left-e.Waited, 0))), maxRetryAfter)
	rate := p.reservationRate(now, a)
	queued := a.queuedCost()
	if len(r.Prefixes) > 0 && r.Target > 0 {
		at, reserved := a.returns.book.Reserve(now, r.promptHash(), reservation.Demand{
			Cost: fleet.Tokens(r.cost()), Rate: rate, Horizon: min(horizon, t.timing.latestStart.Sub(now)-time.Duration(startMargin*float64(r.Target))),
			Earliest: now.Add(max(e.Wait, rate.TimeFor(queued), minRetryAfter)),
		})
		if !at.IsZero() {
			e.Wait = at.Sub(now)
		}
		e.Reserved = reserved
	}
	e.RetryAfter = e.Wait
	if !e.Reserved { // the others that were refused return as well
		e.Wait = max(e.Wait, rate.TimeFor(queued+fleet.Tokens(a.refused.At(now, serviceWindow))))
		e.RetryAfter = min(e.Wait, horizon)
	}
	e.RetryAfter = max(e.RetryAfter, minRetryAfter)
}

// recordBegin reports that a request begins.
func (p *Pool) recordBegin(now time.Time, t *Ticket) {
	p.recordDueEnd(t, true)
	waited := now.Sub(t.arrivedAt)
	if p.Reservations.OnBegun != nil && p.keepsReservations(&t.request) && max(t.expected, waited) > 0 {
		p.Reservations.OnBegun(t.expected, waited)
	}
}

func (p *Pool) recordDueEnd(t *Ticket, began bool) {
	if t.isDue && p.Reservations.OnDueEnded != nil {
		p.Reservations.OnDueEnded(began)
	}
}
