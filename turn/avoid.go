package turn

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/avoidance"
)

// maxWiderOrder bounds the upstreams of other groups that a request may go to if all of its own are avoided.
const maxWiderOrder = 4 * minEnginesPerGroup

// isAvoided reports whether the request's router must not send to an upstream now.
func (r *Request) isAvoided(now time.Time, e *engine) bool {
	_, avoided := r.Avoid.Find(now, e.instance)
	return avoided
}

// backoffWait returns how much longer the request's router must send nothing to an upstream that has asked
// for that, zero if it hasn't.
func (r *Request) backoffWait(now time.Time, e *engine) time.Duration {
	term, avoided := r.Avoid.Find(now, e.instance)
	if !avoided {
		return 0
	}
	return term.Left(now)
}

// avoidsAll reports whether the request's router must not send to any of some upstreams now. Of no upstreams that is
// true, unless nothing is avoided.
func (r *Request) avoidsAll(now time.Time, engines []*engine) bool {
	if r.Avoid.IsEmpty() {
		return false
	}
	for _, e := range engines {
		if !r.isAvoided(now, e) {
			return false
		}
	}
	return true
}

// firstBack is the upstream whose backoff ends first. Its zero value is none.
type firstBack struct {
	engine *engine
	until  time.Time
}

// add adds an upstream that is avoided.
func (b *firstBack) add(e *engine, term avoidance.Term) {
	if term.Reason == avoidance.Backoff && (b.engine == nil || term.Until.Before(b.until)) {
		b.engine, b.until = e, term.Until
	}
}

// AvoidedUpstream is an upstream that a request's router must not send to, and why.
type AvoidedUpstream struct {
	Instance Instance
	Term     avoidance.Term
}

// Avoided returns the upstreams of a request's group that its router must not send to now.
func (p *Pool) Avoided(now time.Time, r *Request) []AvoidedUpstream {
	if r.Avoid.IsEmpty() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []AvoidedUpstream
	for _, e := range p.preferenceOrder(r) {
		if term, avoided := r.Avoid.Find(now, e.instance); avoided {
			out = append(out, AvoidedUpstream{e.instance, term})
		}
	}
	return out
}

// ApplyBackoff takes into account that an upstream wants no requests from this router until some time. Requests that
// wait for it move to other upstreams, or are refused if it is the first that they could go to and they can't wait as long.
func (p *Pool) ApplyBackoff(now time.Time, i Instance, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.grouped {
		p.detector.Hold(i, until) // a home grants turns to routers that the upstream still wants requests from
	}
	p.reassign(now)
	p.startWaiting(now)
}

// Wake starts the waiting requests that have room, after a backoff has ended.
func (p *Pool) Wake(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startWaiting(now)
}

// SetLeavingCount sets how many upstreams aren't in the pool because they have stated that they are leaving.
func (p *Pool) SetLeavingCount(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leavingCount = count
}

// countAvoided reports that a new request can't go to an upstream that it prefers, if that one is avoided.
func (p *Pool) countAvoided(now time.Time, t *Ticket) {
	if p.OnAvoided == nil || t.request.Avoid.IsEmpty() {
		return
	}
	preferred := t.order
	if choices := p.placement().Choices(); choices > 0 {
		preferred = preferred[:min(choices, len(preferred))]
	}
	if slices.ContainsFunc(preferred, func(e *engine) bool { return t.request.isAvoided(now, e) }) {
		p.OnAvoided()
	}
}

// refuseBackoff returns the refusal of a request whose upstreams all want none.
func (p *Pool) refuseBackoff(wait time.Duration) *RefusedError {
	return &RefusedError{Lack: LackBackoff, Wait: wait, RetryAfter: max(wait, minRetryAfter)}
}
