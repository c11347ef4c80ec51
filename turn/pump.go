package turn

import (
	"cmp"
	"slices"
	"time"
)

// view returns what a placement sees for an account with some depth.
func (p *Pool) view(now time.Time, depth float64) *View {
	return &View{now: now, speed: &p.speed, DataCenter: p.DataCenter, Target: p.target, Depth: depth}
}

// candidates returns the upstreams that a ticket may go to now: the first usable
// ones in its order that it hasn't tried. When all of them are taken out, all
// are tried.
func (p *Pool) candidates(now time.Time, t *Ticket) []*engine {
	if t.generation != p.generation {
		t.generation = p.generation
		t.order = p.ordered(&t.demand)
	}
	most := p.placement().Choices()
	var usable, out []*engine
	for _, e := range t.order {
		if slices.Contains(t.demand.Tried, e.instance) {
			continue
		}
		if !p.detector.Usable(now, e.instance) {
			out = append(out, e)
			continue
		}
		usable = append(usable, e)
		if len(usable) == most {
			break
		}
	}
	if len(usable) == 0 {
		return out
	}
	return usable
}

// best returns the candidate with the least score, nil when there is none.
func (p *Pool) best(view *View, t *Ticket, candidates []*engine) *engine {
	view.holder, view.most = p.holder(view.now, t)
	var best *engine
	var least float64
	for place, e := range candidates {
		score := p.placement().Score(view, e, &t.demand, place)
		if best == nil || score < least {
			best, least = e, score
		}
	}
	return best
}

// holder returns the upstream that probably has most of a prompt in its cache, of
// those in the ticket's order: with homes, those of its group.
func (p *Pool) holder(now time.Time, t *Ticket) (*engine, int) {
	d := &t.demand
	if len(d.Beginnings) == 0 {
		return nil, 0
	}
	var best *engine
	most := 0
	for _, e := range t.order {
		if held := e.held(now, d); held > most && p.detector.Usable(now, e.instance) {
			best, most = e, held
		}
	}
	return best, most
}

// pump gives turns until nothing that waits has room: to the account that was
// served least, and within an account in the order of arrival. It runs at each
// event, so it stops early when no upstream is open.
func (p *Pool) pump(now time.Time) {
	for p.waiting > 0 && p.anyOpen(now) && p.startNext(now) {
	}
}

// anyOpen reports whether an upstream is open to the account served least.
func (p *Pool) anyOpen(now time.Time) bool {
	view := p.view(now, mostDepth)
	for _, e := range p.engines {
		if p.placement().IsOpen(view, e) {
			return true
		}
	}
	return false
}

func (p *Pool) startNext(now time.Time) bool {
	claims := p.claims(now)
	for _, a := range p.line(now) {
		enough := claims.isEnough(now, a.account)
		view := p.view(now, depth(a.served, claims.share(true), claims.pressure))
		for _, t := range a.queue {
			if (!enough || t.demand.isBegun()) && p.tryStart(view, t) {
				return true
			}
		}
	}
	return false
}

// tryStart starts a ticket if the best of its upstreams has room.
func (p *Pool) tryStart(view *View, t *Ticket) bool {
	candidates := p.candidates(view.now, t)
	open := slices.ContainsFunc(candidates, func(e *engine) bool { return p.placement().IsOpen(view, e) })
	if !open {
		return false
	}
	best := p.best(view, t, candidates)
	if p.placement().IsOpen(view, best) && p.placement().HasRoom(view, best, &t.demand) {
		p.start(view, t, best)
		return true
	}
	return false
}

// waitingAccount is an account with waiting requests and its service.
type waitingAccount struct {
	*account
	served float64
}

// line returns the accounts with waiting requests, the least served first.
func (p *Pool) line(now time.Time) []waitingAccount {
	var line []waitingAccount
	for _, a := range p.accounts {
		if len(a.queue) > 0 {
			line = append(line, waitingAccount{a, a.served(now)})
		}
	}
	slices.SortFunc(line, func(a, b waitingAccount) int {
		if order := cmp.Compare(a.served, b.served); order != 0 {
			return order
		}
		return a.queue[0].asked.Compare(b.queue[0].asked)
	})
	return line
}

func (p *Pool) start(view *View, t *Ticket, e *engine) {
	now := view.now
	p.dequeue(t)
	t.engine = e
	t.upstream = e.upstream
	t.started = now
	fetches := false
	t.uncached, fetches = view.reading(e, &t.demand)
	if fetches {
		t.fetchFrom = view.holder.upstream.Address
	}
	t.work = e.fleetUnread() + t.uncached
	e.unread += t.uncached
	e.inFlight++
	e.busy = now
	e.remember(now, &t.demand)
	p.detector.Try(now, e.instance)
	p.account(t.demand.Account).own.Add(now, serviceWindow, t.demand.cost())
	close(t.granted)
}
