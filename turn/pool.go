package turn

import (
	"slices"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/outlier"
	"nutmeglock.example/nutmeglock/rate"
	"nutmeglock.example/nutmeglock/registry"
)

const (
	// leastRetryAfter is the shortest time after which a refused caller is asked
	// back: a router's queue doesn't change in less.
	leastRetryAfter = 100 * time.Millisecond
	// noUpstreamRetryAfter is when a caller comes back to a service without
	// upstreams; one that starts again takes about a second.
	noUpstreamRetryAfter = 700 * time.Millisecond
)

// Pool holds what waits for, and what is in flight at, the upstreams of one
// service. Its zero value has no upstreams. It is safe for concurrent use.
type Pool struct {
	// Placement is ByCache when nil.
	Placement  Placement
	DataCenter fleet.DataCenterID
	// OnOutlier is called, unless it is nil, when an upstream is taken out
	// because its requests fail.
	OnOutlier func(upstream registry.Upstream)

	mu      sync.Mutex
	target  time.Duration
	engines []*engine
	// upstreams are the entries of engines, in the same order, and generation
	// counts the lists.
	upstreams  []registry.Upstream
	generation int
	// orders are those of the engines by what demands share, as of this list.
	orders map[uint64][]*engine
	// grouped is true when a request goes to one group of engines only, of so many.
	grouped  bool
	groups   int
	accounts map[fleet.AccountID]*account
	heard    map[fleet.RouterID]heard
	// oldest is when the oldest report that counts came.
	oldest time.Time
	// elsewhere is how each account stands at the other routers, keys those of
	// accounts.
	elsewhere map[Key]Standing
	keys      map[Key]bool
	// most is the most that was served of late, in tokens of one service window.
	most     rate.Peak
	speed    speed
	detector outlier.Detector[Instance]
	waiting  int
}

// Set replaces the upstreams that take requests, and the time to the first
// event that the strictest route aims at. What is known of those that stay is kept.
func (p *Pool) Set(now time.Time, upstreams []registry.Upstream, target time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	before := make(map[Instance]*engine, len(p.engines))
	for _, e := range p.engines {
		before[e.instance] = e
	}
	p.engines = p.engines[:0:0]
	p.upstreams = upstreams
	p.generation++
	p.orders = nil
	keep := make(map[Instance]bool, len(upstreams))
	for _, u := range upstreams {
		instance := InstanceOf(u)
		keep[instance] = true
		e := before[instance]
		if e == nil {
			e = &engine{instance: instance, key: KeyOf(u.ID)}
		}
		e.upstream = u
		p.engines = append(p.engines, e)
	}
	p.setGroups()
	p.detector.Keep(keep)
	p.sumOthers(now)
	p.reassign(now)
	p.pump(now)
}

// Ask makes a demand. It returns a Ticket, which has its turn at once if there
// is room, or *RefusedError when the turn can't come in time.
func (p *Pool) Ask(now time.Time, d Demand) (*Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetOld(now)
	t := &Ticket{pool: p, demand: d, asked: now, granted: make(chan struct{}), refused: make(chan *RefusedError, 1)}
	view := p.view(now, 1)
	best := p.best(view, t, p.candidates(now, t))
	if best == nil {
		return nil, &RefusedError{NoUpstream: true, RetryAfter: noUpstreamRetryAfter}
	}
	a, claims := p.account(d.Account), p.claims(now)
	t.patience = patience(claims, a.total(now), &d)
	if !d.isBegun() && claims.isEnough(now, a) {
		a.deny(now, &d)
		return nil, p.hold(now, &d, best)
	}
	if wait := p.expected(now, best, &d); wait > t.patience {
		a.deny(now, &d)
		return nil, &RefusedError{Wait: wait, RetryAfter: max(wait, leastRetryAfter)}
	}
	p.enqueue(t, best)
	p.pump(now)
	return t, nil
}

func (p *Pool) enqueue(t *Ticket, preferred *engine) {
	a := p.account(t.demand.Account)
	a.queue = append(a.queue, t)
	a.waiting += t.demand.Input
	t.preferred = preferred
	preferred.waiting += t.demand.Input
	p.waiting++
}

// dequeue removes a ticket that waits.
func (p *Pool) dequeue(t *Ticket) {
	a := p.account(t.demand.Account)
	a.queue = slices.DeleteFunc(a.queue, func(other *Ticket) bool { return other == t })
	a.waiting -= t.demand.Input
	t.preferred.waiting -= t.demand.Input
	p.waiting--
}

// expected returns when a demand's turn comes at an upstream of the pool: the time in which
// it reads what was sent and what goes first, less what it may have unread.
//
// What waits of accounts that were served more goes later. What waits at the
// other routers is taken to be spread over the upstreams evenly.
func (p *Pool) expected(now time.Time, e *engine, d *Demand) time.Duration {
	served := p.account(d.Account).served(now)
	ahead := e.fleetUnread()
	for id, a := range p.accounts {
		if id != d.Account && a.served(now) > served {
			continue
		}
		ahead += a.elsewhere.Waiting / len(p.engines)
		for _, t := range a.queue {
			if t.preferred == e {
				ahead += t.demand.Input
			}
		}
	}
	return p.speed.time(ahead) - p.target
}

func (p *Pool) placement() Placement {
	if p.Placement == nil {
		return ByCache{}
	}
	return p.Placement
}
