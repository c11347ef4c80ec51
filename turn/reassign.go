package turn

import (
	"slices"
	"time"
)

// reassign moves waiting tickets whose preferred upstream was removed to another one, and
// refuses those without a candidate. It runs after each change of the list.
func (p *Pool) reassign(now time.Time) {
	if p.waitingCount == 0 {
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
	best := p.bestCandidate(view, t, candidates)
	if best == nil {
		p.refuse(view.now, t, p.noUpstream(t))
		return
	}
	if wait := t.request.backoffWait(view.now, best); wait > 0 && view.now.Add(wait).After(t.arrivedAt.Add(t.patience)) {
		p.refuse(view.now, t, p.refuseBackoff(wait))
		return
	}
	t.preferred.waitingTokens -= t.request.Input
	t.preferred = best
	t.tokens, _ = view.prefillCost(best, &t.request)
	best.waitingTokens += t.request.Input
}

// refuse ends the wait of a ticket.
func (p *Pool) refuse(now time.Time, t *Ticket, refusal *RefusedError) {
	p.dequeue(t)
	p.recordRefused(now, t)
	p.recordDueEnd(t, false)
	t.refusal = refusal
	t.refusal.Waited = now.Sub(t.arrivedAt)
	t.refused <- t.refusal
}
