package turn

import (
	"time"

	"nutmeglock.example/nutmeglock/coldstart"
)

// ColdReason is why a cold upstream isn't sent a request.
type ColdReason string

// The reasons.
const (
	// ColdLimit means that the upstream was sent as many requests as it tolerates.
	ColdLimit ColdReason = "limit"
	// ColdNotOwner means that another router sends requests to the upstream.
	ColdNotOwner ColdReason = "not-owner"
)

// ColdReasons returns all reasons, for counters that start at zero.
func ColdReasons() []ColdReason { return []ColdReason{ColdLimit, ColdNotOwner} }

// SetColdStart sets how the upstreams start.
func (p *Pool) SetColdStart(policy coldstart.Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldStart = policy
}

// isCold reports whether the number of requests to an upstream is limited.
func (p *Pool) isCold(now time.Time, e *engine) bool {
	return p.coldStart.Limit.IsSet() && (now.Before(e.upstream.ColdUntil) || now.Before(e.coldUntil))
}

// ownsCold reports whether this router may send requests to an upstream that is cold.
func (p *Pool) ownsCold(now time.Time, e *engine) bool {
	if p.OwnsCold == nil {
		return true
	}
	group := noGroup
	if p.isHome() {
		group = e.group
	}
	return p.OwnsCold(now, e.upstream.ID, group)
}

// noGroup is the group of upstreams for which each router schedules its own requests.
const noGroup = -1

// admitsCold reports whether an upstream is warm, or cold and can be sent another request.
func (p *Pool) admitsCold(now time.Time, e *engine) bool {
	if !p.isCold(now, e) {
		return true
	}
	return e.sent.Allows(now, p.coldStart.Limit) && p.ownsCold(now, e)
}

// coldWait returns the time until an upstream can be sent one more request than those that
// wait for it: zero if it is warm, and at most the time until it is.
func (p *Pool) coldWait(now time.Time, e *engine) time.Duration {
	if !p.isCold(now, e) {
		return 0
	}
	warm := max(e.upstream.ColdUntil.Sub(now), e.coldUntil.Sub(now))
	if !p.ownsCold(now, e) {
		return warm
	}
	waiting := 0
	for _, a := range p.accounts {
		for _, t := range a.queue {
			if t.preferred == e {
				waiting++
			}
		}
	}
	wait := e.sent.Wait(now, p.coldStart.Limit) + time.Duration(waiting)*p.coldStart.Limit.Spacing()
	return min(wait, warm)
}

// suspectRestart treats an upstream that refused a connection as cold: it may have restarted,
// and its entry may tell so only later.
func (p *Pool) suspectRestart(now time.Time, e *engine) { e.coldUntil = now.Add(p.coldStart.Duration) }

// countColdSkipped reports why a new request can't go to the upstream that it prefers, if
// that one is cold.
func (p *Pool) countColdSkipped(now time.Time, t *Ticket) {
	if p.OnColdSkipped == nil || len(t.order) == 0 || p.admitsCold(now, t.order[0]) {
		return
	}
	if p.ownsCold(now, t.order[0]) {
		p.OnColdSkipped(ColdLimit)
		return
	}
	p.OnColdSkipped(ColdNotOwner)
}
