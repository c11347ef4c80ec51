package turn

import (
	"cmp"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// Placement decides at which upstreams a request may start, and which of them
// is best.
type Placement interface {
	// Order returns the numbers of the upstreams in the order in which a request
	// belongs to them, nil when it belongs to all alike. It depends on nothing
	// that changes while the request waits.
	Order(upstreams []registry.Upstream, d *Demand) []int
	// Choices is how many of the first usable ones a request may go to, zero for all.
	Choices() int
	// IsOpen reports whether an upstream takes any request now. It is cheap, and
	// asked for each request that waits.
	IsOpen(v *View, e *engine) bool
	// Score returns how good an upstream is for a request; the least is best. Place
	// is its place among the request's choices, from 0.
	Score(v *View, e *engine, d *Demand, place int) float64
	// HasRoom reports whether a request may be sent to an open upstream now.
	HasRoom(v *View, e *engine, d *Demand) bool
}

// View is what a Placement sees beside an upstream.
type View struct {
	now   time.Time
	speed *speed
	// holder is the upstream that has most of the prompt, and most what it has.
	holder *engine
	most   int
	// DataCenter is that of this router.
	DataCenter fleet.DataCenterID
	// Target is the time to the first event that the strictest route aims at.
	Target time.Duration
	// Depth is the part of the usual unread work that the request's account may use.
	Depth float64
}

// ByCache sends a request to one of the few upstreams that its shared beginning
// belongs to: the one that will have read it first.
//
// It answers many beginnings that are each used often. Sent anywhere, each
// engine reads each beginning once more, and reading is what engines lack. By
// rendezvous hashing all routers agree on the owners without a word, and a
// beginning is read once for each owner. With a single owner, a beginning that
// is asked for often fills one engine while the next idles; with two, the
// shorter queue takes it.
type ByCache struct {
	// Owners is how many upstreams a beginning belongs to; zero means 2.
	Owners int
	// Depth is the part of the target within which an upstream has to read what
	// it was sent; zero means 0.35. The rest is for the way, the wait here and the
	// batch's steps.
	Depth float64
}

// Defaults of ByCache.
const (
	defaultOwners = 2
	defaultDepth  = 0.35
)

// Order returns the upstreams by rendezvous hashing of the beginning that the
// request shares with others.
func (ByCache) Order(upstreams []registry.Upstream, d *Demand) []int {
	key := rendezvous.KeyOfNumber("beginning", d.shared())
	order := make([]int, len(upstreams))
	scores := make([]uint64, len(upstreams))
	for i := range upstreams {
		order[i] = i
		scores[i] = rendezvous.Score(key, upstreams[i].ID)
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(scores[j], scores[i]) })
	return order
}

// Choices returns the number of owners.
func (b ByCache) Choices() int {
	if b.Owners > 0 {
		return b.Owners
	}
	return defaultOwners
}

// reluctance is the part of the target by which the second owner has to be
// sooner. A beginning that goes to and fro is read or copied twice, and pushes
// others out.
const reluctance = 0.3

// Score returns the tokens that are read before the request's first event, and
// the reluctance to leave the first owner.
func (b ByCache) Score(v *View, e *engine, d *Demand, place int) float64 {
	away := float64(place) * reluctance * v.speed.value() * float64(v.Target.Milliseconds())
	return float64(b.work(v, e, d)) + away
}

// work returns the tokens that are read before a request's first event.
func (ByCache) work(v *View, e *engine, d *Demand) int {
	reading, _ := v.reading(e, d)
	return e.fleetUnread() + reading
}

// fetchShare is what a token that is fetched from another upstream's cache
// counts, in tokens that are read: engines that can fetch get some 600 tokens in
// a millisecond where they read 50 to 150.
const fetchShare = 0.15

// leastFetch is the least difference between two caches that is fetched, in
// tokens; below it the set-up takes as long as reading.
const leastFetch = 1500

// reading returns the work of a request at an upstream, in tokens read, and
// whether it includes fetching what another upstream's cache has.
func (v *View) reading(e *engine, d *Demand) (tokens int, fetches bool) {
	held := e.held(v.now, d)
	missing := v.most - held
	if v.holder == nil || missing < leastFetch {
		return d.Input - held, false
	}
	return d.Input - v.most + int(fetchShare*float64(missing)), true
}

// evenDepth is the depth of an account that was served about as much as others.
// An account that was served more takes an idle upstream only after idleGrace,
// a report of the other routers and the way: they may have work for it of accounts
// that were served less, and see later than this router that it is idle. Without it
// each router starts a prompt at the moment at which an engine falls idle, and an
// account that sits at five routers gets five times what one at a single router
// gets.
const (
	evenDepth = 0.7
	idleGrace = 70 * time.Millisecond
)

// IsOpen reports whether an upstream has a free slot and reads what it has in
// time.
func (b ByCache) IsOpen(v *View, e *engine) bool {
	if e.upstream.Slots > 0 && e.fleetInFlight() >= e.upstream.Slots {
		return false
	}
	return b.isIdle(v, e) || v.speed.time(e.fleetUnread()) <= b.depth(v)
}

// isIdle reports whether an upstream has nothing to read and the account may
// take it.
func (ByCache) isIdle(v *View, e *engine) bool {
	return e.fleetUnread() == 0 && (v.Depth >= evenDepth || v.now.Sub(e.busy) >= idleGrace)
}

// HasRoom reports whether an upstream reads what it has, and the request, in
// time. One that has nothing to read takes any request, or the largest would
// never start.
func (b ByCache) HasRoom(v *View, e *engine, d *Demand) bool {
	return b.isIdle(v, e) || v.speed.time(b.work(v, e, d)) <= b.depth(v)
}

// depth returns how much work an upstream may have, as time.
func (b ByCache) depth(v *View) time.Duration {
	depth := b.Depth
	if depth <= 0 {
		depth = defaultDepth
	}
	return time.Duration(depth * v.Depth * float64(v.Target))
}

// LeastLoaded sends a request to the upstream with the least in flight for its
// slots, one in this router's data centre among equals.
//
// It answers plain applications, which have few slots and whose requests are
// alike. The number in flight is bounded by the slots and as many again that
// wait there: a freed slot then never waits for a message to a router, and a
// queue at one upstream is no longer than one request's work.
type LeastLoaded struct{}

// queuedPerSlot is how many requests may be in flight for each slot.
const queuedPerSlot = 2

// Order returns nil: requests belong to all alike.
func (LeastLoaded) Order([]registry.Upstream, *Demand) []int { return nil }

// Choices returns zero, for all.
func (LeastLoaded) Choices() int { return 0 }

// Score returns the part of the slots in use.
func (LeastLoaded) Score(v *View, e *engine, _ *Demand, _ int) float64 {
	load := float64(e.fleetInFlight()) / float64(max(e.upstream.Slots, 1))
	if e.upstream.DataCenter == v.DataCenter {
		return load - nearBonus
	}
	return load
}

// nearBonus prefers the own data centre while its upstream has less than a
// sixth of its slots more in use: the way costs bytes between data centres and
// a millisecond, a queue costs a whole request's work.
const nearBonus = 0.17

// IsOpen reports whether fewer requests are in flight than the bound.
func (LeastLoaded) IsOpen(_ *View, e *engine) bool {
	return e.upstream.Slots <= 0 || e.fleetInFlight() < queuedPerSlot*e.upstream.Slots
}

// HasRoom reports true: requests are alike.
func (LeastLoaded) HasRoom(*View, *engine, *Demand) bool { return true }
