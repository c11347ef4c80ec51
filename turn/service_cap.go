package turn

import (
	"math"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/share"
)

const (
	// maxServiceRatio limits the service of an account to this multiple of the service of
	// an account that its router throttles. Users require that no waiting account gets less
	// than half of what another one gets.
	maxServiceRatio = 1.7
	// guaranteedFraction is the fraction of its fair share that an account may always get, so
	// that a router that serves almost nothing can't stop the fleet.
	guaranteedFraction = 0.25
	// peakMemory is the time constant over which the observed peak service decays. Shares
	// of the current service would shrink with each capped request, which would cause
	// further refusals.
	peakMemory = 30 * time.Second
)

// RecordShed records the tokens of an account's requests that an overloaded router refused
// before it requested their turns.
//
// Without it, an account whose requests all arrive at one small router would seem to have
// no unmet demand, since whatever that router passes on is served. Its callers would be
// refused while another account gets several times as much service.
func (p *Pool) RecordShed(now time.Time, id fleet.AccountID, tokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.HasCaches() {
		return // service is compared only where it is measured in tokens
	}
	p.account(id).shed.Add(now, serviceWindow, tokens)
}

// offered returns the account's demand including what its router shed.
func (d accountDemand) offered() float64 { return d.requested + d.shed }

// isThrottled reports whether the account's router sheds so many of its requests that other
// accounts could get too much in comparison.
func (d accountDemand) isThrottled() bool {
	return d.shed >= 1 && d.served+d.shed > maxServiceRatio*d.served
}

// peakFairLimit returns the max-min fair limit for sharing amount if no router shed
// requests.
func peakFairLimit(demands []accountDemand, amount float64) float64 {
	claims := make([]float64, 0, len(demands))
	for _, d := range demands {
		claims = append(claims, d.offered())
	}
	return share.MaxMinLimit(claims, amount)
}

// serviceCap returns the service at which an account stops being served, infinite while no
// throttled account offers more than the guaranteed service.
func (s fairShares) serviceCap(demand accountDemand) float64 {
	guaranteed := max(guaranteedFraction*min(s.peakLimit, demand.offered()), serviceTolerance)
	limit := math.Inf(1)
	for _, other := range s.throttled {
		if other.offered() > guaranteed {
			limit = min(limit, max(maxServiceRatio*other.served, guaranteed))
		}
	}
	return limit
}

// isCapped reports whether an account has reached its service cap.
func (s fairShares) isCapped(now time.Time, a *account) bool {
	if len(s.throttled) == 0 {
		return false
	}
	demand := a.totalUsage(now).demand()
	return demand.served >= s.serviceCap(demand)
}

// wasSent reports whether the request was sent before. Refusing it now would lose the part
// of the answer that its caller has, or the time it has waited.
func (r *Request) wasSent() bool { return len(r.Tried) > 0 }

// refuseCapped refuses a request of an account that has reached its service cap. A refusal
// while the engine is idle raises the peak by the request's cost, averaged over peakMemory.
// Without this, a fleet in which a router sheds everything from the start would keep
// serving almost nothing.
func (p *Pool) refuseCapped(now time.Time, r *Request, best *engine) error {
	if p.view(now, 1).unread(best) == 0 {
		p.peakServed.Add(now, peakMemory, r.cost()*float64(serviceWindow)/float64(peakMemory))
	}
	return &RefusedError{Capped: true, Lack: LackShare, RetryAfter: minRetryAfter}
}
