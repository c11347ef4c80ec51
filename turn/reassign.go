package turn

import (
	"slices"
	"time"
)

// reassign moves the tickets that wait for an upstream that has left to another one, and
// refuses those that can't go anywhere any more. It follows each change of the list.
func (p *Pool) reassign(now time.Time) {
	if p.waiting == 0 {
		return
	}
	view := p.view(now, 1)
	for _, a := range p.accounts {
		for _, t := range slices.Clone(a.queue) {
			p.reassignTicket(view, t)
		}
	}
}

func (p *Pool) reassignTicket(view *View, t *Ticket) {
	candidates := p.candidates(view.now, t)
	if slices.Contains(candidates, t.preferred) {
		return
	}
	best := p.best(view, t, candidates)
	if best == nil {
		p.refuse(view.now, t)
		return
	}
	t.preferred.waiting -= t.demand.Input
	t.preferred = best
	best.waiting += t.demand.Input
}

// refuse ends the wait of a ticket that no upstream is left for.
func (p *Pool) refuse(now time.Time, t *Ticket) {
	p.dequeue(t)
	p.account(t.demand.Account).deny(now, &t.demand)
	t.refusal = &RefusedError{NoUpstream: true, Waited: now.Sub(t.asked), RetryAfter: noUpstreamRetryAfter}
	t.refused <- t.refusal
}
