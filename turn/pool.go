package turn

import (
	"iter"
	"slices"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/coldstart"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/outlier"
	"nutmeglock.example/nutmeglock/rate"
	"nutmeglock.example/nutmeglock/registry"
)

const (
	// minRetryAfter is the shortest delay after which a refused caller is asked to retry: a
	// router's queue changes little in less.
	minRetryAfter = 100 * time.Millisecond
	// noUpstreamRetryAfter is the retry delay for a service without upstreams; an upstream
	// takes about a second to restart.
	noUpstreamRetryAfter = 700 * time.Millisecond
)

// uncachedPartMemory is the time constant over which the part of prompts that has to be read
// is averaged.
const uncachedPartMemory = 10 * time.Second

// Pool schedules the requests of one service over its upstreams. It holds the waiting
// requests and the state of those in flight. Its zero value has no upstreams. It is safe
// for concurrent use.
type Pool struct {
	// Placement is CacheAffinity when nil.
	Placement  Placement
	DataCenter fleet.DataCenterID
	// OnOutlier, if set, is called when an upstream is ejected because its requests fail.
	OnOutlier func(upstream registry.Upstream)
	// OwnsCold reports whether this router is the one that sends requests to a cold upstream;
	// group is the upstream's group, negative if requests aren't grouped. Nil means that it is.
	OwnsCold func(now time.Time, upstream fleet.UpstreamID, group int) bool
	// OnColdSkipped, if set, is called when a request can't go to the cold upstream that it
	// prefers.
	OnColdSkipped func(reason ColdReason)
	// OnAvoided, if set, is called when a request can't go to an upstream that it prefers, because that
	// one wants no requests from the request's router for a while.
	OnAvoided func()
	// OnPaceChange, if set, is called when an upstream has turned slow or usual.
	OnPaceChange func(PaceChange)
	// ScheduleRecheck, if set, is called with the time after which Recheck should be called, because requests wait beside
	// an upstream that is slow.
	ScheduleRecheck func(after time.Duration)
	// OnCacheUse, if set, is called when a request starts at an upstream whose memory is known.
	OnCacheUse func(use CacheUse)
	// OnCacheLoss, if set, is called when an upstream has lost what it kept, with the number of
	// tokens.
	OnCacheLoss func(upstream registry.Upstream, tokens int)
	// Reservations are called as refused requests are told when to return, and as they do.
	Reservations ReservationHooks

	mu        sync.Mutex
	target    time.Duration
	coldStart coldstart.Policy
	memory    Memory
	engines   []*engine
	// upstreams are the entries of engines, in the same order. generation counts the
	// changes of the list and of the grouping.
	upstreams  []registry.Upstream
	generation int
	// draining are upstreams that accept no requests, and whose caches can be copied.
	draining []*engine
	// isMixed is true when the upstreams have several software versions.
	isMixed bool
	// orderCache holds preference orders of the current list by shared prefix.
	orderCache map[uint64][]*engine
	// grouped is true when each request belongs to one of groupCount groups of engines.
	grouped    bool
	groupCount int
	accounts   map[fleet.AccountID]*account
	reports    map[fleet.RouterID]receivedReport
	// oldestReport is the arrival time of the oldest report that still counts.
	oldestReport time.Time
	// remoteUsage is the sum of each account's usage at the other routers. localKeys are
	// the keys of accounts.
	remoteUsage map[Key]Usage
	localKeys   map[Key]bool
	// peakServed is the recent peak of the service within one serviceWindow, in tokens.
	peakServed rate.Peak
	latency    prefillLatency
	// serviceTime is the mean time in which upstreams without caches serve a request.
	serviceTime time.Duration
	// promptTokens and uncachedTokens are the recent sums over the prompts that were sent.
	promptTokens, uncachedTokens rate.DecayingSum
	detector                     outlier.Detector[Instance]
	waitingCount                 int
	pace                         paceState
	// leavingCount is how many upstreams aren't in the list because they are leaving.
	leavingCount int
}

// SetUpstreams replaces the upstreams that accept requests, and the target time to the first
// event of the strictest route. The state of the upstreams that stay is kept.
func (p *Pool) SetUpstreams(now time.Time, upstreams []registry.Upstream, target time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	previous := make(map[Instance]*engine, len(p.engines))
	for _, e := range p.engines {
		previous[e.instance] = e
	}
	p.engines = p.engines[:0:0]
	p.upstreams = upstreams
	p.generation++
	p.orderCache = nil
	keep := make(map[Instance]bool, len(upstreams))
	for _, u := range upstreams {
		instance := InstanceOf(u)
		keep[instance] = true
		e := previous[instance]
		if e == nil {
			e = &engine{instance: instance, key: KeyOf(u.ID)}
		}
		e.upstream = u
		p.engines = append(p.engines, e)
	}
	p.isMixed = hasSeveralVersions(upstreams)
	p.assignGroups()
	p.updateLedgers()
	p.detector.Retain(keep)
	p.sumReports(now)
	p.reassign(now)
	p.startWaiting(now)
}

// Submit queues a request. It returns a Ticket, granted at once if there is room, or
// *RefusedError when the request couldn't start in time.
func (p *Pool) Submit(now time.Time, r Request) (*Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireReports(now)
	t := &Ticket{pool: p, request: r, arrivedAt: now, granted: make(chan struct{}), refused: make(chan *RefusedError, 1)}
	view := p.view(now, 1)
	best := p.bestCandidate(view, t, p.candidates(now, t))
	if best == nil {
		return nil, p.noUpstream(t)
	}
	t.tokens, _ = view.prefillCost(best, &r)
	a, shares := p.account(r.Account), p.fairShares(now)
	t.patience = patience(shares, a.totalUsage(now), &r)
	t.timing = p.timingOf(now, t)
	if wait := r.backoffWait(now, best); wait > t.patience {
		p.recordRefused(now, t)
		return nil, p.refuseBackoff(wait)
	}
	if early := p.identifyReturn(now, t, a); early != nil {
		return nil, early
	}
	if !r.wasSent() && shares.isCapped(now, a) {
		p.recordRefused(now, t)
		p.recordDueEnd(t, false)
		return nil, p.refuseCapped(now, &r, best)
	}
	p.countColdSkipped(now, t)
	p.countAvoided(now, t)
	if p.comesTooLate(now, t, best, shares) && !t.returned && !p.couldBegin(now, t, shares) {
		p.recordRefused(now, t)
		return nil, p.refuseTurn(now, t, p.lack(now, t), t.expected)
	}
	p.enqueue(t, best)
	p.startWaiting(now)
	p.scheduleRecheck(now)
	return t, nil
}

func (p *Pool) enqueue(t *Ticket, preferred *engine) {
	a := p.account(t.request.Account)
	a.enqueue(t)
	a.waitingTokens += t.request.Input
	t.preferred = preferred
	preferred.waitingTokens += t.request.Input
	p.waitingCount++
}

// dequeue removes a waiting ticket.
func (p *Pool) dequeue(t *Ticket) {
	a := p.account(t.request.Account)
	a.queue = slices.DeleteFunc(a.queue, func(other *Ticket) bool { return other == t })
	a.waitingTokens -= t.request.Input
	t.preferred.waitingTokens -= t.request.Input
	p.waitingCount--
}

// expectedWait returns the time until an upstream could take a request: the time in which it
// reads its backlog and the prompts that go first, less the target. That is a low estimate,
// as it should be: prompts that go first may be sent elsewhere or be refused, and a request
// that is refused at once has lost its chance.
//
// Requests of accounts with more service go later. Those that wait at other routers are
// assumed to be spread evenly over the upstreams.
func (p *Pool) expectedWait(now time.Time, e *engine, r *Request) time.Duration {
	if !p.HasCaches() {
		return max(p.plainWait(now, r), p.coldWait(now, e), r.backoffWait(now, e), p.slowWait(now, e, r))
	}
	ahead, remote := p.view(now, 1).estimatedUnread(e), 0
	for a := range p.accountsAhead(now, r.Account) {
		remote += a.remote.WaitingTokens
		for _, t := range a.queue {
			if t.preferred == e {
				ahead += t.tokens
			}
		}
	}
	ahead += int(float64(remote) * p.uncachedPart(now) / float64(len(p.engines)))
	return max(p.readingWait(now, e, ahead)-p.target, p.coldWait(now, e), r.backoffWait(now, e), p.slowWait(now, e, r))
}

// accountsAhead returns the accounts whose waiting requests go before a new one of an account,
// that account included: those with no more service.
func (p *Pool) accountsAhead(now time.Time, id fleet.AccountID) iter.Seq[*account] {
	served := p.account(id).served(now)
	return func(yield func(*account) bool) {
		for other, a := range p.accounts {
			if (other == id || a.served(now) <= served) && !yield(a) {
				return
			}
		}
	}
}

// uncachedPart returns the part of recent prompts that upstreams had to read.
func (p *Pool) uncachedPart(now time.Time) float64 {
	sent := p.promptTokens.At(now, uncachedPartMemory)
	if sent < 1 {
		return 1
	}
	return min(p.uncachedTokens.At(now, uncachedPartMemory)/sent, 1)
}

func (p *Pool) placement() Placement {
	if p.Placement == nil {
		return CacheAffinity{}
	}
	return p.Placement
}
