// Package dispatcher manages the slots of the upstreams that a router is
// responsible for, and grants them to the waiting requests of all routers.
//
// It handles the load of client accounts that are spread unevenly over routers.
// Model engines accept every request that they are sent. With independent queues
// at the routers, six routers would send an engine six times what it can take,
// in no fair order between accounts. With a fixed share of the slots for each
// router, the slots of a router without requests would stay unused. One
// dispatcher for each upstream sees all requests that wait for it.
//
// All of the state is soft. Routers repeat their asks after each reconnection
// and report to a new dispatcher what they have in flight (HandleHeld). If there
// is a wrong, second or new dispatcher for an upstream, the upstream may
// therefore receive too many requests for a while: at most its limit once more
// for each additional dispatcher. It never receives too few for longer than
// Grace. No message has to arrive exactly once: asks replace each other, releases
// are matched by id, and Reconcile removes grants that were lost.
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
	// DefaultTakeoverWait is a few round trips between data centres, within which
	// routers report to a new dispatcher what they have in flight.
	DefaultTakeoverWait = 200 * time.Millisecond
	// DefaultGrace is how long an engine may continue a stream after its router
	// has crashed. It equals the engines' own setting of 10 s.
	DefaultGrace = 10 * time.Second
	// DefaultAckTimeout is how long a grant counts as in transit. It is many
	// round trips and short compared with the duration of a request.
	DefaultAckTimeout = 2 * time.Second
)

// Options configure a Dispatcher. O, L and P are the types of its policies.
type Options[O share.Policy[fleet.ShortID], L inflight.Limiter, P placement.Policy] struct {
	// SharePolicy returns a new policy for the order of a service's accounts.
	SharePolicy func() O
	// Limiter returns a new limiter for an upstream with that number of slots.
	Limiter func(slots int) L
	// Placement selects among the upstreams with a free slot.
	Placement P
	// Weight returns the weight of an account; nil means 1 for all.
	Weight func(account fleet.ShortID) uint32
	// Warmup gradually raises the limit of an upstream that joins or recovers.
	Warmup bool
	// Nonce distinguishes the grant ids of this dispatcher from those of others.
	Nonce uint16
	// TakeoverWait, Grace and AckTimeout replace the defaults if positive.
	TakeoverWait time.Duration
	Grace        time.Duration
	AckTimeout   time.Duration
}

// GrantID identifies a grant. The ids of one dispatcher's grants are increasing.
type GrantID uint64

// Grant permits a router to start one request of an account at an upstream.
type Grant struct {
	To       fleet.RouterID
	ID       GrantID
	Account  fleet.ShortID
	Upstream fleet.ShortID
	// ReportBegin is true if the router must report the beginning of the answer.
	ReportBegin bool
}

// Dispatcher grants slots. It is not safe for concurrent use.
type Dispatcher[O share.Policy[fleet.ShortID], L inflight.Limiter, P placement.Policy] struct {
	options     Options[O, L, P]
	services    map[fleet.ShortID]*service[O, L]
	upstreams   map[fleet.ShortID]*upstream[L]
	grants      map[grantKey]*grant
	grantCount  uint64
	lastCharged time.Time
}

// grantKey identifies a grant. After a takeover there are grants of more than one
// dispatcher.
type grantKey struct {
	router fleet.RouterID
	id     GrantID
}

type service[O share.Policy[fleet.ShortID], L inflight.Limiter] struct {
	policy    O
	demands   map[fleet.ShortID]*accountDemand
	upstreams []*upstream[L]
}

type upstream[L inflight.Limiter] struct {
	number        fleet.ShortID
	service       fleet.ShortID
	slots         int
	limiter       L
	warmup        *warmup.Ramp // nil without warm-up
	readyAt       time.Time
	leaving       bool
	drainingSince time.Time // zero while it accepts work
	inFlight      int
	// costs estimates the cost of a running request from its duration.
	costs costModel
}

type grant struct {
	account         fleet.ShortID
	service         fleet.ShortID
	upstream        fleet.ShortID
	grantedAt       time.Time
	charged         fleet.Tokens
	estimate        fleet.Tokens // outstanding in the share policy until the request ends
	initialCost     fleet.Tokens // cost when the router first reported it in Held, zero if granted here
	inFlightAtStart int          // requests in flight at the upstream, including this one
	orphanedAt      time.Time    // zero while its router is connected
	holdsSlot       bool         // whether it counts as in flight here
	answerBegun     bool         // whether the answer is known to have begun
}

// New returns a Dispatcher without upstreams.
func New[O share.Policy[fleet.ShortID], L inflight.Limiter, P placement.Policy](options Options[O, L, P]) *Dispatcher[O, L, P] {
	if options.TakeoverWait <= 0 {
		options.TakeoverWait = DefaultTakeoverWait
	}
	if options.Grace <= 0 {
		options.Grace = DefaultGrace
	}
	if options.AckTimeout <= 0 {
		options.AckTimeout = DefaultAckTimeout
	}
	if options.Weight == nil {
		options.Weight = func(fleet.ShortID) uint32 { return 1 }
	}
	return &Dispatcher[O, L, P]{
		options:   options,
		services:  make(map[fleet.ShortID]*service[O, L]),
		upstreams: make(map[fleet.ShortID]*upstream[L]),
		grants:    make(map[grantKey]*grant),
	}
}

// nonceBits is the number of low bits of an id that hold the nonce. Two equal
// nonces only matter if one dispatcher takes over from the other.
const nonceBits = 14

// NewGrantID returns the id of a dispatcher's grant with the given sequence number.
func NewGrantID(count uint64, nonce uint16) GrantID {
	return GrantID(count<<nonceBits | uint64(nonce)&(1<<nonceBits-1))
}

// Count returns the sequence number of the grant among those of its dispatcher.
func (id GrantID) Count() uint64 { return uint64(id) >> nonceBits }

// GrantedBy reports whether a dispatcher with this nonce issued the grant.
func (id GrantID) GrantedBy(nonce uint16) bool { return NewGrantID(id.Count(), nonce) == id }

func (d *Dispatcher[O, L, P]) nextID() GrantID {
	d.grantCount++
	return NewGrantID(d.grantCount, d.options.Nonce)
}

func (d *Dispatcher[O, L, P]) service(number fleet.ShortID) *service[O, L] {
	s := d.services[number]
	if s == nil {
		s = &service[O, L]{policy: d.options.SharePolicy(), demands: make(map[fleet.ShortID]*accountDemand)}
		d.services[number] = s
	}
	return s
}

// SetUpstreams replaces the upstreams that this dispatcher is responsible for. If
// others is true, a new upstream gets no requests for TakeoverWait, because other
// routers may have requests in flight there that they have not reported yet. Grants
// at a removed upstream are kept until they are released or removed as lost.
func (d *Dispatcher[O, L, P]) SetUpstreams(now time.Time, owned []*schema.Upstream, services map[fleet.ServiceID]fleet.ShortID, others bool) {
	keep := make(map[fleet.ShortID]bool, len(owned))
	for _, s := range d.services {
		s.upstreams = s.upstreams[:0]
	}
	for _, u := range owned {
		number := fleet.ShortID(u.GetNumber())
		keep[number] = true
		up := d.upstreams[number]
		if up == nil {
			up = d.addUpstream(now, u, services[fleet.ServiceID(u.GetService())], others)
		}
		up.slots = int(u.GetSlots())
		up.leaving = u.GetLeaving()
		s := d.service(up.service)
		s.upstreams = append(s.upstreams, up)
	}
	for number := range d.upstreams {
		if !keep[number] {
			d.removeUpstream(number)
		}
	}
}

func (d *Dispatcher[O, L, P]) addUpstream(now time.Time, u *schema.Upstream, service fleet.ShortID, others bool) *upstream[L] {
	number := fleet.ShortID(u.GetNumber())
	added := &upstream[L]{number: number, service: service, limiter: d.options.Limiter(int(u.GetSlots())), readyAt: now}
	if d.options.Warmup {
		added.warmup = &warmup.Ramp{}
	}
	if others {
		added.readyAt = now.Add(d.options.TakeoverWait)
	}
	d.upstreams[number] = added
	for _, g := range d.grants {
		if g.upstream == number {
			d.occupySlot(g, added)
		}
	}
	return added
}

func (d *Dispatcher[O, L, P]) removeUpstream(number fleet.ShortID) {
	delete(d.upstreams, number)
	for _, g := range d.grants {
		if g.upstream == number {
			g.holdsSlot = false
		}
	}
}

// occupySlot counts the request of a grant as in flight at u, once.
func (d *Dispatcher[O, L, P]) occupySlot(g *grant, u *upstream[L]) {
	if g.holdsSlot {
		return
	}
	g.holdsSlot = true
	u.inFlight++
	// Requests already in flight show that the upstream is warm.
	u.recordBegin(g)
}

// removeGrant deletes a grant and frees its slot.
func (d *Dispatcher[O, L, P]) removeGrant(key grantKey, g *grant) {
	delete(d.grants, key)
	d.service(g.service).policy.End(g.account, g.estimate)
	if u := d.upstreams[g.upstream]; u != nil && g.holdsSlot {
		u.inFlight--
	}
}

// InFlight returns the number of requests in flight at an upstream, and whether
// this dispatcher is responsible for it.
func (d *Dispatcher[O, L, P]) InFlight(upstream fleet.ShortID) (int, bool) {
	u := d.upstreams[upstream]
	if u == nil {
		return 0, false
	}
	return u.inFlight, true
}

// Limit returns the maximum number of requests in flight at an upstream at now.
// It is zero if the upstream accepts no work or is not this dispatcher's.
func (d *Dispatcher[O, L, P]) Limit(now time.Time, upstream fleet.ShortID) int {
	u := d.upstreams[upstream]
	if u == nil || !u.acceptsWork(now) {
		return 0
	}
	return u.limit(now)
}

// limit returns the maximum number of requests in flight at an upstream that
// accepts work.
func (u *upstream[L]) limit(now time.Time) int {
	limit := min(u.slots, u.limiter.Limit(now))
	if u.warmup == nil {
		return limit
	}
	return u.warmup.Allow(now, limit)
}

// isWarmingUp reports whether the warm-up holds the upstream below its limit. In
// that case the dispatcher must know when each answer begins.
func (u *upstream[L]) isWarmingUp(now time.Time) bool {
	limit := min(u.slots, u.limiter.Limit(now))
	return u.warmup != nil && u.warmup.Allow(now, limit) < limit
}

// acceptsWork reports whether new requests may be sent to the upstream at now.
func (u *upstream[L]) acceptsWork(now time.Time) bool {
	return !u.leaving && u.drainingSince.IsZero() && !now.Before(u.readyAt)
}

// dispatchResult converts the result in a message to a dispatch.Result.
func dispatchResult(result schema.Result) dispatch.Result {
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
