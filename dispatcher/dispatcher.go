// Package dispatcher holds the slots of the upstreams that a router is
// responsible for, and grants them to the waiting work of all routers.
//
// It answers the load pattern of tenants that spread unevenly over routers:
// model engines admit whatever they are sent, so with a queue at each router
// and nobody between them, six routers would send six times what an engine
// takes, in no order between accounts. A share of each upstream per router
// would strand the slots of a router without work. One dispatcher for each
// upstream sees all that waits for it.
//
// All of its state is soft. What routers ask is repeated after each
// reconnection; what they have in flight is told to a new dispatcher (Held).
// A wrong, double or new dispatcher therefore sends an upstream too much for
// a while, at most its limit once more for each dispatcher that believes in
// itself, and never too little for longer than Grace. No message needs to
// arrive exactly once: asks replace each other, releases are known by id, and
// a complete Held drops what was lost on the way.
package dispatcher

import (
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/placement"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/share"
	"nutmeglock.example/nutmeglock/warmup"
)

// Defaults of Options.
const (
	// DefaultTakeoverWait is a few round trips between data centres, in which
	// routers tell a new dispatcher what they have in flight.
	DefaultTakeoverWait = 200 * time.Millisecond
	// DefaultGrace is how long an engine may go on with a stream whose router
	// died; the engines' own setting is 10 s.
	DefaultGrace = 10 * time.Second
	// DefaultAckWait is how long a grant counts as on its way. It is many
	// round trips, and short beside a request's residence.
	DefaultAckWait = 2 * time.Second
)

// Options configure a Dispatcher. O, L and P are the policies.
type Options[O share.Order[fleet.Number], L inflight.Limiter, P placement.Policy] struct {
	// Order returns a new order for the accounts of one service.
	Order func() O
	// Limiter returns a new limiter for an upstream of so many slots.
	Limiter func(slots int) L
	// Placement picks among the upstreams that have room.
	Placement P
	// Weight returns an account's weight; nil means that all weigh 1.
	Weight func(account fleet.Number) uint32
	// Warmup lets an upstream that joins or recovers take work step by step.
	Warmup bool
	// Nonce tells the ids of this dispatcher from those of another.
	Nonce uint16
	// TakeoverWait, Grace and AckWait replace the defaults when positive.
	TakeoverWait time.Duration
	Grace        time.Duration
	AckWait      time.Duration
}

// GrantID names a grant. It grows with each grant of one dispatcher.
type GrantID uint64

// Grant tells a router to start one request of an account at an upstream.
type Grant struct {
	To       fleet.RouterID
	ID       GrantID
	Account  fleet.Number
	Upstream fleet.Number
	// Begin asks the router to tell when the answer begins.
	Begin bool
}

// Dispatcher grants slots. It is used by one goroutine.
type Dispatcher[O share.Order[fleet.Number], L inflight.Limiter, P placement.Policy] struct {
	options   Options[O, L, P]
	services  map[fleet.Number]*service[O, L]
	upstreams map[fleet.Number]*upstream[L]
	grants    map[grantKey]*grant
	counter   uint64
	advanced  time.Time
}

// grantKey names a grant among all routers: after a takeover the ids of two
// dispatchers stand side by side.
type grantKey struct {
	router fleet.RouterID
	id     GrantID
}

type service[O share.Order[fleet.Number], L inflight.Limiter] struct {
	order     O
	demands   map[fleet.Number]*demand
	upstreams []*upstream[L]
}

type upstream[L inflight.Limiter] struct {
	number   fleet.Number
	service  fleet.Number
	slots    int
	limiter  L
	ramp     *warmup.Ramp // nil without warm-up
	readyAt  time.Time
	leaving  bool
	draining time.Time // zero while it takes work
	inFlight int
	// speed is the service per second that one request gets here.
	speed speed
}

type grant struct {
	account  fleet.Number
	service  fleet.Number
	upstream fleet.Number
	at       time.Time
	charged  fleet.Tokens
	estimate fleet.Tokens // outstanding at the order until the end
	told     fleet.Tokens // its cost when it was told by a Held
	sentWith int          // in flight at the upstream when it was granted
	orphaned time.Time    // zero while its router is connected
	counted  bool         // whether it takes a slot here
	begun    bool         // whether its answer is known to have begun
}

// New returns a Dispatcher that is responsible for no upstream yet.
func New[O share.Order[fleet.Number], L inflight.Limiter, P placement.Policy](options Options[O, L, P]) *Dispatcher[O, L, P] {
	if options.TakeoverWait <= 0 {
		options.TakeoverWait = DefaultTakeoverWait
	}
	if options.Grace <= 0 {
		options.Grace = DefaultGrace
	}
	if options.AckWait <= 0 {
		options.AckWait = DefaultAckWait
	}
	if options.Weight == nil {
		options.Weight = func(fleet.Number) uint32 { return 1 }
	}
	return &Dispatcher[O, L, P]{
		options:   options,
		services:  make(map[fleet.Number]*service[O, L]),
		upstreams: make(map[fleet.Number]*upstream[L]),
		grants:    make(map[grantKey]*grant),
	}
}

// nonceBits is how many low bits of an id tell dispatchers apart. Two with
// the same nonce only matter when one takes over from the other.
const nonceBits = 14

// GrantIDOf returns the id of a dispatcher's grant by its count.
func GrantIDOf(count uint64, nonce uint16) GrantID {
	return GrantID(count<<nonceBits | uint64(nonce)&(1<<nonceBits-1))
}

// Count returns the part of the id that counts the dispatcher's grants.
func (id GrantID) Count() uint64 { return uint64(id) >> nonceBits }

// GrantedBy reports whether a dispatcher with this nonce gave the grant.
func (id GrantID) GrantedBy(nonce uint16) bool { return GrantIDOf(id.Count(), nonce) == id }

func (d *Dispatcher[O, L, P]) nextID() GrantID {
	d.counter++
	return GrantIDOf(d.counter, d.options.Nonce)
}

func (d *Dispatcher[O, L, P]) service(number fleet.Number) *service[O, L] {
	s := d.services[number]
	if s == nil {
		s = &service[O, L]{order: d.options.Order(), demands: make(map[fleet.Number]*demand)}
		d.services[number] = s
	}
	return s
}

// Own replaces the upstreams that this dispatcher is responsible for. One that
// is new gets no work for TakeoverWait when others is true, because other
// routers may have requests in flight there that they have not told yet.
// Grants at one that is gone are remembered until they are settled.
func (d *Dispatcher[O, L, P]) Own(now time.Time, owned []*schema.Upstream, services map[fleet.ServiceID]fleet.Number, others bool) {
	keep := make(map[fleet.Number]bool, len(owned))
	for _, s := range d.services {
		s.upstreams = s.upstreams[:0]
	}
	for _, u := range owned {
		number := fleet.Number(u.GetNumber())
		keep[number] = true
		known := d.upstreams[number]
		if known == nil {
			known = d.takeOver(now, u, services[fleet.ServiceID(u.GetService())], others)
		}
		known.slots = int(u.GetSlots())
		known.leaving = u.GetLeaving()
		s := d.service(known.service)
		s.upstreams = append(s.upstreams, known)
	}
	for number := range d.upstreams {
		if !keep[number] {
			d.giveUp(number)
		}
	}
}

func (d *Dispatcher[O, L, P]) takeOver(now time.Time, u *schema.Upstream, service fleet.Number, others bool) *upstream[L] {
	number := fleet.Number(u.GetNumber())
	taken := &upstream[L]{number: number, service: service, limiter: d.options.Limiter(int(u.GetSlots())), readyAt: now}
	if d.options.Warmup {
		taken.ramp = &warmup.Ramp{}
	}
	if others {
		taken.readyAt = now.Add(d.options.TakeoverWait)
	}
	d.upstreams[number] = taken
	for _, g := range d.grants {
		if g.upstream == number {
			d.count(g, taken)
		}
	}
	return taken
}

func (d *Dispatcher[O, L, P]) giveUp(number fleet.Number) {
	delete(d.upstreams, number)
	for _, g := range d.grants {
		if g.upstream == number {
			g.counted = false
		}
	}
}

func (d *Dispatcher[O, L, P]) count(g *grant, at *upstream[L]) {
	if g.counted {
		return
	}
	g.counted = true
	at.inFlight++
	// What another dispatcher sent there shows that the upstream is warm.
	at.began(g)
}

// remove forgets a grant and frees its slot.
func (d *Dispatcher[O, L, P]) remove(key grantKey, g *grant) {
	delete(d.grants, key)
	d.service(g.service).order.End(g.account, g.estimate)
	if u := d.upstreams[g.upstream]; u != nil && g.counted {
		u.inFlight--
	}
}

// InFlight returns how many requests hold a slot at an upstream, and whether
// this dispatcher is responsible for it.
func (d *Dispatcher[O, L, P]) InFlight(upstream fleet.Number) (int, bool) {
	u := d.upstreams[upstream]
	if u == nil {
		return 0, false
	}
	return u.inFlight, true
}

// Limit returns how many requests may be in flight at an upstream at now,
// zero when this dispatcher is not responsible for it.
func (d *Dispatcher[O, L, P]) Limit(now time.Time, upstream fleet.Number) int {
	u := d.upstreams[upstream]
	if u == nil || !u.takesWork(now) {
		return 0
	}
	return u.limit(now)
}

// limit returns how many requests may be in flight at an upstream that takes work.
func (u *upstream[L]) limit(now time.Time) int {
	limit := min(u.slots, u.limiter.Limit(now))
	if u.ramp == nil {
		return limit
	}
	return u.ramp.Allow(now, limit)
}

// warming reports whether the ramp holds the upstream below its limit, so
// that the beginning of each answer has to be known.
func (u *upstream[L]) warming(now time.Time) bool {
	limit := min(u.slots, u.limiter.Limit(now))
	return u.ramp != nil && u.ramp.Allow(now, limit) < limit
}

func (u *upstream[L]) takesWork(now time.Time) bool {
	return !u.leaving && u.draining.IsZero() && !now.Before(u.readyAt)
}

// resultOf returns the dispatch form of a message's result.
func resultOf(result schema.Result) dispatch.Result {
	switch result {
	case schema.Result_RESULT_REFUSED:
		return dispatch.Refused
	case schema.Result_RESULT_FAILED:
		return dispatch.Failed
	case schema.Result_RESULT_DRAINING:
		return dispatch.Draining
	case schema.Result_RESULT_UNUSED:
		return dispatch.Unused
	default:
		return dispatch.Answered
	}
}
