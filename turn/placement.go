package turn

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// Placement decides at which upstreams a request may start, and which of them
// is best.
type Placement interface {
	// Rank returns the upstreams that a request may go to, best first.
	Rank(v *View, d *Demand) []int
	// HasRoom reports whether a request may be sent to an upstream now.
	HasRoom(v *View, i int, d *Demand) bool
}

// View is what a Placement sees of the upstreams that may take a request.
type View struct {
	now     time.Time
	engines []*engine
	speed   *speed
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

// Load returns what the fleet has at an upstream.
func (v *View) Load(i int) Load {
	e := v.engines[i]
	return Load{Unread: e.fleetUnread(), InFlight: e.fleetInFlight(), Waiting: e.waiting + e.others.Waiting}
}

// Near reports whether an upstream stands in this router's data centre.
func (v *View) Near(i int) bool { return v.engines[i].upstream.DataCenter == v.DataCenter }

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
	// it was sent; zero means 0.4. The rest is for the way, the wait here and the
	// batch's steps.
	Depth float64
}

// Defaults of ByCache.
const (
	defaultOwners = 2
	defaultDepth  = 0.35
)

// Rank returns the owners of a request's beginning, the one that will have
// read the request first in front.
func (b ByCache) Rank(v *View, d *Demand) []int {
	owners := b.Owners
	if owners <= 0 {
		owners = defaultOwners
	}
	key := rendezvous.KeyOfNumber("beginning", d.shared())
	ranked := rankBy(len(v.engines), func(i int) float64 {
		return -float64(rendezvous.Score(key, v.engines[i].upstream.ID))
	})
	ranked = ranked[:min(owners, len(ranked))]
	slices.SortStableFunc(ranked, func(i, j int) int {
		return b.work(v, i, d) - b.work(v, j, d)
	})
	return ranked
}

// work returns the tokens that are read before a request's first event.
func (b ByCache) work(v *View, i int, d *Demand) int {
	e := v.engines[i]
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

// HasRoom reports whether an upstream reads what it has, and the request, in
// time. One that has nothing to read takes any request, or the largest would
// never start.
func (b ByCache) HasRoom(v *View, i int, d *Demand) bool {
	e := v.engines[i]
	if e.upstream.Slots > 0 && e.fleetInFlight() >= e.upstream.Slots {
		return false
	}
	if e.fleetUnread() == 0 {
		return true
	}
	return v.speed.time(b.work(v, i, d)) <= b.depth(v)
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

// Rank returns all upstreams, the least loaded in front.
func (LeastLoaded) Rank(v *View, _ *Demand) []int {
	return rankBy(len(v.engines), func(i int) float64 {
		e := v.engines[i]
		load := float64(e.fleetInFlight()) / float64(max(e.upstream.Slots, 1))
		if v.Near(i) {
			return load - nearBonus
		}
		return load
	})
}

// nearBonus prefers the own data centre while its upstream has less than a
// sixth of its slots more in use: the way costs bytes between data centres and
// a millisecond, a queue costs a whole request's work.
const nearBonus = 0.17

// HasRoom reports whether fewer requests are in flight than the bound.
func (LeastLoaded) HasRoom(v *View, i int, _ *Demand) bool {
	e := v.engines[i]
	return e.upstream.Slots <= 0 || e.fleetInFlight() < queuedPerSlot*e.upstream.Slots
}

// rankBy returns the numbers below n by ascending score.
func rankBy(n int, score func(i int) float64) []int {
	ranked := make([]int, n)
	scores := make([]float64, n)
	for i := range ranked {
		ranked[i] = i
		scores[i] = score(i)
	}
	slices.SortStableFunc(ranked, func(i, j int) int {
		switch {
		case scores[i] < scores[j]:
			return -1
		case scores[i] > scores[j]:
			return 1
		}
		return 0
	})
	return ranked
}
