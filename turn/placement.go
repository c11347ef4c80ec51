package turn

import (
	"cmp"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/promptcache"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// Placement decides which upstreams a request may be sent to and which of them is best.
type Placement interface {
	// Order returns the indices of the upstreams in the request's order of preference, or
	// nil when it has none. The result must not depend on anything that changes while the
	// request waits.
	Order(upstreams []registry.Upstream, d *Request) []int
	// Choices returns how many usable upstreams at the front of the order a request may go
	// to, zero for all.
	Choices() int
	// IsOpen reports whether an upstream accepts any request now. It must be cheap, as it
	// runs for each waiting request.
	IsOpen(v *View, e *engine) bool
	// Score rates an upstream for a request; the lowest score is best. Rank is the
	// upstream's index among the request's choices.
	Score(v *View, e *engine, d *Request, rank int) float64
	// HasRoom reports whether a request may be sent to an open upstream now.
	HasRoom(v *View, e *engine, d *Request) bool
}

// View is the state that a Placement uses besides that of the upstream.
type View struct {
	now     time.Time
	latency *prefillLatency
	// cached is the upstream that the rest of the prompt's cache may be fetched from.
	cached cacheHolder
	paceView
	// first is the first choice of the request.
	first *engine
	// isHome is true when all requests for the upstreams start at this router.
	isHome bool
	// DataCenter is this router's data centre.
	DataCenter fleet.DataCenterID
	// Target is the target time to the first event of the strictest route.
	Target time.Duration
	// BacklogFactor multiplies the usual limit of the prefill backlog for the request's
	// account.
	BacklogFactor float64
}

// cacheHolder is the upstream with the most cached tokens of a prompt, and their number. Its zero
// value has none.
type cacheHolder struct {
	engine *engine
	tokens int
}

// CacheAffinity sends a request to one of the few upstreams that own its shared prompt
// prefix: the one that is expected to finish reading the prompt first.
//
// It suits traffic with many prefixes that are each used often. Without affinity each
// engine reads each prefix again, and engines are limited by prefill. All routers agree on
// the owners by rendezvous hashing, without communication, and each owner reads a prefix
// once. With a single owner, a popular prefix fills one engine while another is idle; with
// two, the one with the shorter queue takes the request.
type CacheAffinity struct {
	// Owners is the number of upstreams that own a prefix; zero means 2.
	Owners int
	// BacklogFraction is the fraction of the target within which an upstream must read its
	// pending prompts; zero means 0.35. The rest is left for the network, the wait here and
	// the engine's batch steps.
	BacklogFraction float64
}

// Defaults of CacheAffinity.
const (
	defaultOwners          = 2
	defaultBacklogFraction = 0.4
)

// Order ranks the upstreams by rendezvous hashing of the request's shared prefix.
func (CacheAffinity) Order(upstreams []registry.Upstream, r *Request) []int {
	key := rendezvous.KeyOfNumber("beginning", r.sharedPrefix())
	order := make([]int, len(upstreams))
	scores := make([]uint64, len(upstreams))
	for i := range upstreams {
		order[i] = i
		scores[i] = rendezvous.Score(key, upstreams[i].ID)
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(scores[j], scores[i]) })
	return order
}

// Choices returns the number of owners of a prefix.
func (a CacheAffinity) Choices() int {
	if a.Owners > 0 {
		return a.Owners
	}
	return defaultOwners
}

// switchPenalty is the fraction of the target by which the second owner has to be faster
// to be chosen. A prefix that alternates between owners is read or copied twice and evicts
// others.
const switchPenalty = 0.3

// Score returns the tokens to be read before the request's first event, plus the penalty
// for leaving the first owner.
func (a CacheAffinity) Score(v *View, e *engine, r *Request, rank int) float64 {
	penalty := float64(v.switchRank(e, r, rank)) * switchPenalty * v.latency.speed() * float64(v.Target.Milliseconds())
	return v.slowedWork(e, a.prefillWork(v, e, r)) + penalty
}

// prefillWork returns the tokens to be read before a request's first event.
func (CacheAffinity) prefillWork(v *View, e *engine, r *Request) int {
	prefill, _ := v.prefillCost(e, r)
	return v.unread(e) + prefill
}

// fetchCost is the cost of fetching a token from another upstream's cache, relative to
// reading it, where the speed of the connection isn't known: engines that can fetch do so at about 600 tokens per millisecond, and read 50
// to 150.
const fetchCost = 0.15

// minFetchTokens is the smallest number of tokens worth fetching; for fewer, the set-up
// takes as long as reading them.
const minFetchTokens = 1500

// unread returns the prompt tokens that all routers sent to an upstream and that it has
// probably yet to read. Where other routers send to it as well, the order of the prompts
// isn't known, and each counts until its first event.
func (v *View) unread(e *engine) int {
	if !v.isHome {
		return e.backlog.tokens + e.remote.PendingPrefill
	}
	return v.estimatedUnread(e)
}

// estimatedUnread is unread with an estimate of the progress of this router's prompts.
func (v *View) estimatedUnread(e *engine) int {
	return e.backlog.unread(v.workClock(e), v.latency) + e.remote.PendingPrefill
}

// idleFor returns for how long an upstream has had nothing to read.
func (v *View) idleFor(e *engine) time.Duration {
	idleSince := e.lastBusy
	if end := v.backlogEnd(e); v.isHome && end.After(idleSince) {
		idleSince = end
	}
	return v.now.Sub(idleSince)
}

// prefillCost returns the cost of a prompt at an upstream in tokens read, and whether part
// of it is fetched from another upstream's cache.
func (v *View) prefillCost(e *engine, r *Request) (tokens int, fetches bool) {
	cached := e.cachedTokens(v.now, r)
	missing := v.cached.tokens - cached
	if v.cached.engine == nil || missing < minFetchTokens {
		return r.Input - cached, false
	}
	cost := v.copyCost(e)
	if cost >= promptcache.ReadingCost {
		return r.Input - cached, false
	}
	return r.Input - v.cached.tokens + int(cost*float64(missing)), true
}

// evenBacklogFactor is the backlog factor of an account with about the same service as
// others. An account with more service takes an idle upstream only after idleGrace, which
// covers a report interval of the other routers and the network delay: those routers may
// have requests of accounts with less service, and know later than this router that the
// upstream is idle. Without it each router would start a prompt as soon as an engine
// becomes idle, and an account at five routers would get five times the service of one at a
// single router.
const (
	evenBacklogFactor = 0.7
	idleGrace         = 70 * time.Millisecond
)

// IsOpen reports whether an upstream has a free slot and a backlog within the limit.
func (a CacheAffinity) IsOpen(v *View, e *engine) bool {
	if e.upstream.Slots > 0 && v.inFlight(e) >= e.upstream.Slots {
		return false
	}
	return a.canTakeIdle(v, e) || v.reading(e, v.unread(e)) <= a.maxBacklog(v)
}

// canTakeIdle reports whether an upstream has nothing to read and the account may use it.
func (CacheAffinity) canTakeIdle(v *View, e *engine) bool {
	return v.unread(e) == 0 && (v.BacklogFactor >= evenBacklogFactor || v.idleFor(e) >= idleGrace)
}

// HasRoom reports whether an upstream can read its backlog and the request's prompt in
// time. An idle upstream accepts a request of any size; otherwise the largest would never
// start.
func (a CacheAffinity) HasRoom(v *View, e *engine, r *Request) bool {
	work := a.prefillWork(v, e, r)
	return (a.canTakeIdle(v, e) && v.servesInTime(e, r, v.latency.firstEvent(work))) || v.reading(e, work) <= a.maxBacklog(v)
}

// maxBacklog returns the limit of an upstream's prefill backlog, as time.
func (a CacheAffinity) maxBacklog(v *View) time.Duration {
	fraction := a.BacklogFraction
	if fraction <= 0 {
		fraction = defaultBacklogFraction
	}
	limit := fraction * float64(v.Target)
	if !v.isHome {
		limit += float64(v.latency.overhead()) // a prompt counts until its first event
	}
	return time.Duration(limit * v.BacklogFactor)
}

// LeastLoaded sends a request to the upstream with the fewest requests in flight per slot,
// and prefers this router's data centre.
//
// It suits plain applications with few slots and similar requests. More requests than slots
// may be in flight, so that a freed slot needn't wait for a message to a router: as much
// again if routers rely on reports, less at a home, which hears of each end at once.
type LeastLoaded struct{}

// inFlightPerSlot and inFlightPerSlotAtHome are how many requests may be in flight for each
// slot.
const (
	inFlightPerSlot       = 2
	inFlightPerSlotAtHome = 1.25
)

// Order returns nil: requests have no preference.
func (LeastLoaded) Order([]registry.Upstream, *Request) []int { return nil }

// Choices returns zero: a request may go to any upstream.
func (LeastLoaded) Choices() int { return 0 }

// Score returns the fraction of the slots in use, less sameDataCenterBonus in the data centre
// of the router that sends the request.
func (LeastLoaded) Score(v *View, e *engine, r *Request, _ int) float64 {
	load := float64(v.inFlight(e)) / float64(max(e.upstream.Slots, 1))
	if e.upstream.DataCenter == cmp.Or(r.DataCenter, v.DataCenter) {
		load -= sameDataCenterBonus
	}
	return v.slowedLoad(e, r, load)
}

// sameDataCenterBonus prefers an upstream in this router's data centre unless it has a
// sixth of its slots more in use: another data centre costs traffic and a millisecond, a
// queue costs the time of a whole request.
const sameDataCenterBonus = 0.17

// IsOpen reports whether fewer requests are in flight than allowed.
func (LeastLoaded) IsOpen(v *View, e *engine) bool {
	limit := float64(inFlightPerSlot * e.upstream.Slots)
	if v.isHome {
		limit = inFlightPerSlotAtHome * float64(e.upstream.Slots)
	}
	return e.upstream.Slots <= 0 || float64(v.inFlight(e)) < v.slowedLimit(e, limit)
}

// HasRoom reports whether an upstream that is slow for the moment serves a request in time. Otherwise requests are
// similar, so any fits.
func (LeastLoaded) HasRoom(v *View, e *engine, r *Request) bool {
	return v.servesInTime(e, r, v.serviceTime)
}
