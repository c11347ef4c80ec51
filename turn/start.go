package turn

import (
	"cmp"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// view returns the View for an account with this backlog factor.
func (p *Pool) view(now time.Time, backlogFactor float64) *View {
	return &View{now: now, latency: &p.latency, paceView: p.paceView(), isHome: p.isHome(), DataCenter: p.DataCenter, Target: p.target, BacklogFactor: backlogFactor}
}

// accountView returns the View for an account with waiting requests.
func (p *Pool) accountView(now time.Time, shares fairShares, served float64) *View {
	return p.view(now, backlogFactor(served, shares.fairShare(true), shares.pressure))
}

// candidates returns the upstreams that a ticket may go to now: the first usable ones in
// its order that it hasn't tried. If there are none, it returns the cold ones that can't take
// a request at the moment, or else the ejected ones, or the one whose backoff ends first.
func (p *Pool) candidates(now time.Time, t *Ticket) []*engine {
	if t.generation != p.generation {
		t.generation = p.generation
		t.order = p.preferenceOrder(&t.request)
		t.widerOrder = nil
		t.holder = p.reportedHolder(t)
	}
	found := p.candidatesOf(now, t, t.order)
	if !p.grouped || !p.HasCaches() || !t.request.avoidsAll(now, found) {
		return found
	}
	if t.widerOrder == nil {
		t.widerOrder = p.widerOrder(&t.request)
	}
	return p.candidatesOf(now, t, t.widerOrder)
}

// candidatesOf returns the upstreams of an order that a ticket may go to now.
func (p *Pool) candidatesOf(now time.Time, t *Ticket, order []*engine) []*engine {
	choices := p.placement().Choices()
	if p.isResumption(&t.request) {
		choices = 0 // fewer upstreams have the version, and the owners may not
	}
	var usable, cold, ejected []*engine
	var back firstBack
	for _, e := range order {
		if slices.Contains(t.request.Tried, e.instance) || !e.suits(&t.request) {
			continue
		}
		if term, avoided := t.request.Avoid.Find(now, e.instance); avoided {
			back.add(e, term)
			continue
		}
		if !p.detector.Usable(now, e.instance) {
			ejected = append(ejected, e)
			continue
		}
		if !p.admitsCold(now, e) {
			cold = append(cold, e)
			continue
		}
		usable = append(usable, e)
		if len(usable) == choices {
			break
		}
	}
	switch {
	case len(usable) > 0:
		return usable
	case len(cold) > 0:
		return cold
	case len(ejected) > 0 || back.engine == nil:
		return ejected
	default:
		return []*engine{back.engine}
	}
}

// bestCandidate returns the candidate with the lowest score, nil when there is none.
func (p *Pool) bestCandidate(view *View, t *Ticket, candidates []*engine) *engine {
	var best *engine
	var lowest float64
	var holder cacheHolder
	for rank, e := range candidates {
		if rank == 0 {
			view.first = e
		}
		if rank == 0 || p.isMixed {
			view.cached = p.cacheHolder(view.now, t, e.upstream.Software)
		}
		score := p.placement().Score(view, e, &t.request, rank)
		if best == nil || score < lowest {
			best, lowest, holder = e, score, view.cached
		}
	}
	view.cached = holder
	return best
}

// cacheHolder returns the upstream in the ticket's order that probably has most of the prompt in a
// cache that a software version can read. With homes, the order contains only the ticket's group, so
// an upstream of another group is known only from the request's router.
func (p *Pool) cacheHolder(now time.Time, t *Ticket, software fleet.SoftwareVersion) cacheHolder {
	r := &t.request
	if len(r.Prefixes) == 0 {
		return cacheHolder{}
	}
	var best cacheHolder
	for _, e := range t.order {
		if cached := e.keptTokens(now, r); cached > best.tokens && p.canCopyFrom(now, e, r, software) {
			best = cacheHolder{engine: e, tokens: cached}
		}
	}
	if t.holder.tokens > best.tokens && p.canCopyFrom(now, t.holder.engine, r, software) {
		return t.holder
	}
	return best
}

// canCopyFrom reports whether an upstream of a software version may copy a request's prompt from
// another upstream's cache.
func (p *Pool) canCopyFrom(now time.Time, e *engine, r *Request, software fleet.SoftwareVersion) bool {
	isReadable := !p.isMixed || e.upstream.Software == software
	return isReadable && p.detector.Usable(now, e.instance) && !r.isAvoided(now, e) && r.Allows(e.upstream.DataCenter)
}

// startWaiting starts waiting requests until none has room: those of the account with the
// least service first, and within an account in the order of its queue. Late returns come last. It runs at each
// event, so it stops early when no upstream is open.
func (p *Pool) startWaiting(now time.Time) {
	for p.waitingCount > 0 && p.anyOpen(now) && p.startNext(now) {
	}
}

// anyOpen reports whether an upstream is open to the account with the least service.
func (p *Pool) anyOpen(now time.Time) bool {
	view := p.view(now, maxBacklogFactor)
	for _, e := range p.engines {
		if p.isOpen(view, e) {
			return true
		}
	}
	return false
}

// isOpen reports whether an upstream may be sent a request now.
func (p *Pool) isOpen(view *View, e *engine) bool {
	return p.placement().IsOpen(view, e) && p.admitsCold(view.now, e)
}

// hasRoom reports whether an upstream takes a request now.
func (p *Pool) hasRoom(view *View, e *engine, r *Request) bool {
	return p.isOpen(view, e) && p.placement().HasRoom(view, e, r) && e.fitsMemory(view.now, r) && !r.isAvoided(view.now, e)
}

func (p *Pool) startNext(now time.Time) bool {
	shares := p.fairShares(now)
	accounts := p.waitingAccounts(now)
	if p.isMixed && p.startResumption(now, shares, accounts) {
		return true
	}
	for _, a := range accounts {
		capped := shares.isCapped(now, a.account)
		view := p.accountView(now, shares, a.served)
		for _, t := range a.queue {
			if (!capped || t.request.wasSent()) && !t.isLate(now) && p.tryStart(view, t) {
				return true
			}
		}
	}
	return p.startLateReturn(now, shares, accounts)
}

// tryStart starts a ticket if the best of its candidates has room.
func (p *Pool) tryStart(view *View, t *Ticket) bool {
	best := p.roomFor(view, t)
	if best == nil {
		return false
	}
	p.start(view, t, best)
	return true
}

// roomFor returns the best of a ticket's candidates if that has room, or else nil.
func (p *Pool) roomFor(view *View, t *Ticket) *engine {
	candidates := p.candidates(view.now, t)
	open := slices.ContainsFunc(candidates, func(e *engine) bool { return p.isOpen(view, e) && e.fitsMemory(view.now, &t.request) })
	if !open {
		return nil
	}
	if best := p.bestFitting(view, t, candidates); p.hasRoom(view, best, &t.request) {
		return best
	}
	return nil
}

// waitingAccount is an account with waiting requests, and its service.
type waitingAccount struct {
	*account
	served float64
}

// waitingAccounts returns the accounts with waiting requests, the least served first.
func (p *Pool) waitingAccounts(now time.Time) []waitingAccount {
	var accounts []waitingAccount
	for _, a := range p.accounts {
		if len(a.queue) > 0 {
			accounts = append(accounts, waitingAccount{a, a.served(now)})
		}
	}
	slices.SortFunc(accounts, func(a, b waitingAccount) int {
		if order := cmp.Compare(a.served, b.served); order != 0 {
			return order
		}
		return a.queue[0].arrivedAt.Compare(b.queue[0].arrivedAt)
	})
	return accounts
}

func (p *Pool) start(view *View, t *Ticket, e *engine) {
	now := view.now
	p.dequeue(t)
	p.recordBegin(now, t)
	t.engine = e
	t.upstream = e.upstream
	t.startedAt = now
	fetches := false
	t.uncached, fetches = view.prefillCost(e, &t.request)
	if fetches {
		t.fetchFrom = view.cached.engine.upstream.Address
	}
	t.prefillAhead = view.unread(e) + t.uncached
	t.statedBefore = e.pace.Stated(now)
	e.backlog.add(t, view.workClock(e).Add(p.latency.reading(e.remote.PendingPrefill)))
	e.inFlight++
	e.lastBusy = now
	e.sent.Record(now, p.coldStart.Limit)
	e.recordPrompt(now, &t.request)
	p.recordStart(view, t)
	p.promptTokens.Add(now, uncachedPartMemory, float64(t.request.Input))
	p.uncachedTokens.Add(now, uncachedPartMemory, float64(t.uncached))
	p.detector.RecordSend(now, e.instance)
	p.account(t.request.Account).servedHere.Add(now, serviceWindow, t.request.cost())
	close(t.granted)
}
