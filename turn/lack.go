package turn

import (
	"slices"
	"time"
)

// Lack is what a request didn't get, so that it was refused.
type Lack string

// The lacks, in the order in which they are looked for.
const (
	// LackUpstream means that no upstream takes requests.
	LackUpstream Lack = "upstream"
	// LackLeaving means that all upstreams are leaving.
	LackLeaving Lack = "leaving"
	// LackBackoff means that no upstream wants requests from the router for a while.
	LackBackoff Lack = "backoff"
	// LackSoftware means that no upstream of the software version that began the stream takes
	// requests.
	LackSoftware Lack = "software"
	// LackCold means that the upstreams are cold and were sent what they tolerate.
	LackCold Lack = "cold"
	// LackSlots means that all slots of the upstreams are in use.
	LackSlots Lack = "slots"
	// LackMemory means that the request would preempt another one, as running requests take the
	// upstreams' memory.
	LackMemory Lack = "memory"
	// LackPrefill means that the upstreams had too many prompts to read.
	LackPrefill Lack = "prefill"
	// LackShare means that there was room, but not for an account with this much service.
	LackShare Lack = "share"
	// LackOrder means that there was room, which another request took first.
	LackOrder Lack = "order"
)

// Lacks returns all lacks, for counters that start at zero.
func Lacks() []Lack {
	return []Lack{LackUpstream, LackLeaving, LackBackoff, LackSoftware, LackCold, LackSlots, LackMemory, LackPrefill, LackShare, LackOrder}
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
	generous := p.view(now, maxBacklogFactor)
	own := p.accountView(now, p.fairShares(now), p.account(t.request.Account).served(now))
	best := p.bestFitting(generous, t, candidates)
	switch {
	case best == nil:
		return p.noUpstream(t).Lack
	case t.request.avoidsAll(now, candidates):
		return LackBackoff
	case !slices.ContainsFunc(candidates, func(e *engine) bool { return p.admitsCold(now, e) }):
		return LackCold
	case !slices.ContainsFunc(candidates, (*engine).hasSlot):
		return LackSlots
	case !slices.ContainsFunc(candidates, func(e *engine) bool { return e.fitsMemory(now, &t.request) }):
		return LackMemory
	case !p.hasRoom(generous, best, &t.request):
		return LackPrefill
	case !p.hasRoom(own, p.bestFitting(own, t, candidates), &t.request):
		return LackShare
	default:
		return LackOrder
	}
}
