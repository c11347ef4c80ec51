package turn

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/promptcache"
)

// Memory describes the memory of each of a service's model engines. Its zero value is unknown.
type Memory struct {
	// Capacity is the number of tokens that running requests and kept parts of prompts share.
	Capacity int
	// Link is the connection by which an engine copies parts from another.
	Link promptcache.Link
}

// CacheUse is where an engine is expected to take the tokens of a prompt from.
type CacheUse struct {
	// Cached tokens are kept by the engine, copied ones by another, and it reads the rest.
	Cached, Copied, Read int
}

// SetMemory sets the memory of each upstream.
func (p *Pool) SetMemory(now time.Time, m Memory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.memory == m {
		return
	}
	p.memory = m
	p.updateLedgers()
	p.startWaiting(now)
}

// updateLedgers gives each upstream a ledger if it is known what it keeps: the pool starts all
// requests for it, and its capacity is configured. It runs after each change of these.
func (p *Pool) updateLedgers() {
	isKnown := p.isHome() && p.HasCaches() && p.memory.Capacity > 0
	for _, e := range p.engines {
		switch {
		case !isKnown:
			e.ledger = nil
			continue
		case e.ledger == nil:
			e.ledger, e.loss = &promptcache.Ledger[*Ticket]{}, promptcache.LossDetector{}
		}
		e.ledger.SetCapacity(p.memory.Capacity)
		e.link = p.memory.Link
	}
}

// keptTokens returns how many tokens of a prompt another upstream can probably copy from this
// one.
func (e *engine) keptTokens(now time.Time, r *Request) int {
	if e.ledger != nil {
		return e.ledger.Kept(now, r.Prefixes)
	}
	return e.cachedTokens(now, r)
}

// copyCost returns the cost of copying a token to an upstream from another one, relative to
// reading it.
func (v *View) copyCost(e *engine) float64 {
	if e.ledger == nil || !e.link.IsSet() {
		return fetchCost
	}
	return e.link.CopyCost(v.latency.speed())
}

// switchRank returns the rank of an upstream for the penalty of leaving the first choice. An
// upstream that has the prefix which the first choice lacks isn't penalised: the first choice
// would read or copy the prefix again.
func (v *View) switchRank(e *engine, r *Request, rank int) int {
	if rank == 0 || e.ledger == nil || v.first == nil {
		return rank
	}
	if e.cachedTokens(v.now, r)-v.first.cachedTokens(v.now, r) >= minFetchTokens {
		return 0
	}
	return rank
}

// fitsMemory reports whether an upstream can run a request without preempting another one.
func (e *engine) fitsMemory(now time.Time, r *Request) bool {
	return e.ledger == nil || e.ledger.Fits(now, r.Prefixes, r.Input, r.Output)
}

// bestFitting returns the best candidate that can run a request without preempting another one,
// or else the best of all.
func (p *Pool) bestFitting(view *View, t *Ticket, candidates []*engine) *engine {
	best := p.bestCandidate(view, t, candidates)
	if best == nil || best.fitsMemory(view.now, &t.request) {
		return best
	}
	fitting := slices.DeleteFunc(slices.Clone(candidates), func(e *engine) bool { return !e.fitsMemory(view.now, &t.request) })
	if len(fitting) == 0 {
		return best
	}
	return p.bestCandidate(view, t, fitting)
}

// recordStart records what an upstream that is sent a request will keep and hold.
func (p *Pool) recordStart(view *View, t *Ticket) {
	ledger, r := t.engine.ledger, &t.request
	if ledger == nil {
		return
	}
	use := CacheUse{Cached: ledger.Cached(view.now, r.Prefixes)}
	if t.fetchFrom == "" {
		t.keptTokens = ledger.Kept(view.now, r.Prefixes)
	} else {
		use.Copied = view.cached.tokens - use.Cached
	}
	use.Read = max(r.Input-use.Cached-use.Copied, 0)
	ledger.Begin(view.now, t, r.Prefixes, r.Input, r.Output)
	if p.OnCacheUse != nil {
		p.OnCacheUse(use)
	}
}

// recordRead records that an upstream has read a prompt. It looks for signs that the upstream
// has lost what it kept: the first event then takes as long as if all had been read.
//
// Only requests to which that would make a clear difference count. A request that copies parts
// depends on another upstream's memory, and one whose upstream changed its speed meanwhile shows nothing.
func (p *Pool) recordRead(now time.Time, t *Ticket) {
	e := t.engine
	if e.ledger == nil {
		return
	}
	if slowdown, known := t.statedThroughout(now); known && p.latency.reading(t.keptTokens) >= overdueMargin {
		uncached := slowdown.Stretch(p.latency.firstEvent(t.prefillAhead + t.keptTokens))
		if e.loss.Observe(now, t.startedAt, uncached) {
			p.recordLoss(now, e)
		}
	}
	e.ledger.Read(now, t)
}

// recordLoss records that an upstream has lost what it kept.
func (p *Pool) recordLoss(now time.Time, e *engine) {
	lost := e.ledger.Reset(now)
	if p.OnCacheLoss != nil {
		p.OnCacheLoss(e.upstream, lost)
	}
}

// recordEnd records that a request has ended, and frees what it holds.
func (t *Ticket) recordEnd(now time.Time, outcome Outcome) {
	if t.engine.ledger != nil {
		t.engine.ledger.End(now, t, outcome == Served)
	}
}
