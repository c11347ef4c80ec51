package turn

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// Lack is what a request didn't get, so that it was refused.
type Lack string

// The lacks, in the order in which they are looked for.
const (
	// LackUpstream means that no upstream takes requests.
	LackUpstream Lack = "upstream"
	// LackCold means that the upstreams are cold and were sent what they tolerate.
	LackCold Lack = "cold"
	// LackSlots means that all slots of the upstreams are in use.
	LackSlots Lack = "slots"
	// LackPrefill means that the upstreams had too many prompts to read.
	LackPrefill Lack = "prefill"
	// LackShare means that there was room, but not for an account with this much service.
	LackShare Lack = "share"
	// LackOrder means that there was room, which another request took first.
	LackOrder Lack = "order"
)

// Lacks returns all lacks, for counters that start at zero.
func Lacks() []Lack {
	return []Lack{LackUpstream, LackCold, LackSlots, LackPrefill, LackShare, LackOrder}
}

// ParseLack returns the lack with this name, empty if there is none.
func ParseLack(name string) Lack {
	if l := Lack(name); slices.Contains(Lacks(), l) {
		return l
	}
	return ""
}

// lack returns what a request lacks at the moment.
func (p *Pool) lack(now time.Time, t *Ticket) Lack {
	candidates := p.candidates(now, t)
	generous, own := p.view(now, maxBacklogFactor), p.accountView(now, t.request.Account)
	best := p.bestCandidate(generous, t, candidates)
	switch {
	case best == nil:
		return LackUpstream
	case !slices.ContainsFunc(candidates, func(e *engine) bool { return p.admitsCold(now, e) }):
		return LackCold
	case !slices.ContainsFunc(candidates, (*engine).hasSlot):
		return LackSlots
	case !p.hasRoom(generous, best, &t.request):
		return LackPrefill
	case !p.hasRoom(own, p.bestCandidate(own, t, candidates), &t.request):
		return LackShare
	default:
		return LackOrder
	}
}

// accountView returns the View for the requests of an account.
func (p *Pool) accountView(now time.Time, id fleet.AccountID) *View {
	shares := p.fairShares(now)
	return p.view(now, backlogFactor(p.account(id).served(now), shares.fairShare(true), shares.pressure))
}

// hasRoom reports whether an upstream takes a request now.
func (p *Pool) hasRoom(view *View, e *engine, r *Request) bool {
	return p.isOpen(view, e) && p.placement().HasRoom(view, e, r)
}
