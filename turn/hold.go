package turn

import (
	"math"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/share"
)

const (
	// mostRatio is how many times the service of an account that its router holds back
	// another one may get. The users let nobody who waits get less than half of what
	// another one gets.
	mostRatio = 1.7
	// keptRight is the part of its own share of the engines that an account may get whoever
	// is held back: a router that does next to nothing must not stop a fleet.
	keptRight = 0.25
	// peakMemory is how long the engines are taken to be able to do what they did. Shares
	// of what they do at the moment would fall with each request that is refused for the
	// sake of another account, and make room for the next refusal.
	peakMemory = 30 * time.Second
)

// Shed takes note of an account's requests that a router refused before it asked for
// their turns, in tokens, since it has too much to do.
//
// The pattern is one account whose requests all come to one small router. What is passed on is
// served, so that the account seems to lack nothing, and the others are given the rest:
// its callers are refused while another account gets several times as much.
func (p *Pool) Shed(now time.Time, id fleet.AccountID, tokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placement().Choices() == 0 {
		return // only service by tokens is compared
	}
	p.account(id).shed.Add(now, serviceWindow, tokens)
}

// wanted is what the account asked for, what its router refused by itself included.
func (c claimant) wanted() float64 { return c.asked + c.shed }

// isHeldBack reports whether its router refuses so much of what the account asks for that
// others may get too much beside it.
func (c claimant) isHeldBack() bool { return c.shed >= 1 && c.served+c.shed > mostRatio*c.served }

// rightOf returns the level up to which all could be served by an amount if no router held
// an account back.
func rightOf(claimants []claimant, amount float64) float64 {
	claimed := make([]float64, 0, len(claimants))
	for _, c := range claimants {
		claimed = append(claimed, c.wanted())
	}
	return share.Level(claimed, amount)
}

// bound returns the service up to which an account may get turns, infinite while no
// account is held back that wants as much as it may get in any case.
func (c claims) bound(of claimant) float64 {
	kept := max(keptRight*min(c.right, of.wanted()), evenService)
	bound := math.Inf(1)
	for _, other := range c.heldBack {
		if other.wanted() > kept {
			bound = min(bound, max(mostRatio*other.served, kept))
		}
	}
	return bound
}

// isEnough reports whether an account got all that it may get beside those that are held
// back.
func (c claims) isEnough(now time.Time, a *account) bool {
	if len(c.heldBack) == 0 {
		return false
	}
	claimant := a.total(now).claimant()
	return claimant.served >= c.bound(claimant)
}

// isBegun reports whether the request was sent before: its caller has a part of the answer,
// or has waited for it, which would be lost if it didn't go on.
func (d *Demand) isBegun() bool { return len(d.Tried) > 0 }

// hold refuses a demand whose account got enough beside one that is held back. What is
// refused beside an idle engine counts as done, on the mean of the peak's memory: without it
// a fleet that starts beside a router that passes nothing on would stay at next to nothing.
func (p *Pool) hold(now time.Time, d *Demand, best *engine) error {
	if best.fleetUnread() == 0 {
		p.most.Add(now, peakMemory, d.cost()*float64(serviceWindow)/float64(peakMemory))
	}
	return &RefusedError{Held: true, RetryAfter: leastRetryAfter}
}
