package turn

import (
	"slices"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/outlier"
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

	mu       sync.Mutex
	target   time.Duration
	engines  []*engine
	accounts map[fleet.AccountID]*account
	heard    map[fleet.RouterID]heard
	// elsewhere is how each account stands at the other routers, keys those of
	// accounts.
	elsewhere map[Key]Standing
	keys      map[Key]bool
	speed     speed
	detector  outlier.Detector[Instance]
	waiting   int
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
	p.detector.Keep(keep)
	p.sumOthers(now)
	p.pump(now)
}

// Ticket is a demand that waits for its turn or has it.
type Ticket struct {
	pool   *Pool
	demand Demand
	asked  time.Time
	// granted is closed with the turn; engine and work are set before.
	granted  chan struct{}
	engine   *engine
	uncached int
	// fetchFrom is the address of an upstream whose cache has more of the prompt.
	fetchFrom string
	// work is the tokens that the upstream has to read before the first event.
	work    int
	started time.Time
	read    bool
	ended   bool
	// preferred is where the ticket counts as waiting.
	preferred *engine
}

// Ask makes a demand. It returns a Ticket, which has its turn at once if there
// is room, or *RefusedError when the turn can't come in time.
func (p *Pool) Ask(now time.Time, d Demand) (*Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	view, ranked := p.rank(now, &d)
	if len(ranked) == 0 {
		return nil, &RefusedError{NoUpstream: true, RetryAfter: noUpstreamRetryAfter}
	}
	t := &Ticket{pool: p, demand: d, asked: now, granted: make(chan struct{})}
	best := view.engines[ranked[0]]
	if wait := p.expected(now, best, &d); wait > d.Patience {
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

// expected returns when a demand's turn comes at an upstream: the time in which
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

// rank returns the upstreams that a demand may go to. When all of them are
// taken out, all are tried.
func (p *Pool) rank(now time.Time, d *Demand) (*View, []int) {
	view := &View{now: now, speed: &p.speed, DataCenter: p.DataCenter, Target: p.target}
	view.holder, view.most = p.holder(now, d)
	var out []*engine
	for _, e := range p.engines {
		if slices.Contains(d.Tried, e.instance) {
			continue
		}
		if p.detector.Usable(now, e.instance) {
			view.engines = append(view.engines, e)
			continue
		}
		out = append(out, e)
	}
	if len(view.engines) == 0 {
		view.engines = out
	}
	return view, p.placement().Rank(view, d)
}

// holder returns the upstream that probably has most of a prompt in its cache.
func (p *Pool) holder(now time.Time, d *Demand) (*engine, int) {
	if len(d.Beginnings) == 0 {
		return nil, 0
	}
	var best *engine
	most := 0
	for _, e := range p.engines {
		if held := e.held(now, d); held > most && p.detector.Usable(now, e.instance) {
			best, most = e, held
		}
	}
	return best, most
}

func (p *Pool) placement() Placement {
	if p.Placement == nil {
		return ByCache{}
	}
	return p.Placement
}

// pump gives turns until nothing that waits has room: to the account that was
// served least, and within an account in the order of arrival.
func (p *Pool) pump(now time.Time) {
	for p.waiting > 0 && p.startNext(now) {
	}
}

func (p *Pool) startNext(now time.Time) bool {
	for _, a := range p.byService(now) {
		depth := p.depth(now, a)
		for _, t := range a.queue {
			view, ranked := p.rank(now, &t.demand)
			view.Depth = depth
			for _, i := range ranked {
				if p.placement().HasRoom(view, i, &t.demand) {
					p.start(view, t, view.engines[i])
					return true
				}
			}
		}
	}
	return false
}

// byService returns the accounts with waiting requests, the least served first.
func (p *Pool) byService(now time.Time) []*account {
	var waiting []*account
	for _, a := range p.accounts {
		if len(a.queue) > 0 {
			waiting = append(waiting, a)
		}
	}
	if len(waiting) < 2 {
		return waiting
	}
	served := make(map[*account]float64, len(waiting))
	for _, a := range waiting {
		served[a] = a.served(now)
	}
	slices.SortFunc(waiting, func(a, b *account) int {
		switch {
		case served[a] < served[b]:
			return -1
		case served[a] > served[b]:
			return 1
		}
		return a.queue[0].asked.Compare(b.queue[0].asked)
	})
	return waiting
}

func (p *Pool) start(view *View, t *Ticket, e *engine) {
	now := view.now
	p.dequeue(t)
	t.engine = e
	t.started = now
	fetches := false
	t.uncached, fetches = view.reading(e, &t.demand)
	if fetches {
		t.fetchFrom = view.holder.upstream.Address
	}
	t.work = e.fleetUnread() + t.uncached
	e.unread += t.uncached
	e.inFlight++
	e.remember(now, &t.demand)
	p.detector.Try(now, e.instance)
	p.account(t.demand.Account).own.add(now, t.demand.cost())
	close(t.granted)
}
