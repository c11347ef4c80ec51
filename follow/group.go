package follow

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

const (
	// followerCount is how many routers of a large fleet follow the store. If two are cut
	// off at the same time and a third one hangs, one is left.
	followerCount = 4
	// maxSubstitutes bounds how many more routers replace followers that can't read the
	// store. In an outage all of them fail as well, and each failed call costs the
	// platform as much as a successful one.
	maxSubstitutes = 8
	// minKnownFollowers is how many followers a router must know before it only polls.
	minKnownFollowers = 2
	// A router that does not follow polls the store itself once in a while, in case the feeds
	// of the followers stopped responding: all routers together once in standbyPollSpacing,
	// each at most once in minStandbyPollInterval.
	standbyPollSpacing     = time.Second
	minStandbyPollInterval = 30 * time.Second
	// storeLostPollInterval is the same while no follower can read the store, though it may
	// answer other routers: 88 routers make 15 calls a second for each table.
	storeLostPollInterval = 6 * time.Second
)

// Group decides which routers of a fleet follow the store for all others. The zero
// value is the Group of a router that knows no others and so follows the store. It is
// safe for concurrent use.
//
// It reduces the load on the store: if each of 88 routers waits for changes, one change
// is answered 88 times, and a store that is unavailable gets a hundred calls a second.
// So only four routers follow the store, and pass each change on to the rest within a few
// milliseconds. A router that is cut off from the others follows the store itself.
type Group struct {
	Self fleet.RouterID
	// IsSilent reports whether a connected router may be frozen; nil means that none is.
	IsSilent func(router fleet.RouterID) bool

	mu sync.Mutex
	// peerCount is how many other routers are connected, and rankedAhead holds those of
	// them that precede this one in the choice of followers. candidates are the others that
	// may follow if this one may, too.
	peerCount   int
	rankedAhead []fleet.RouterID
	candidates  []fleet.RouterID
	statuses    map[fleet.RouterID]Status
	storeLost   bool
}

// Status is the state that a router announces to the others.
type Status struct {
	// Follows is true if the router follows the store for all.
	Follows bool
	// StoreLost is true if the router can't read the store.
	StoreLost bool
}

// SetRouters sets which other routers are connected.
func (g *Group) SetRouters(others []fleet.RouterID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peerCount = len(others)
	g.rankedAhead = nil
	key := rendezvous.KeyOf("follow", "store")
	own := rendezvous.Score(key, g.Self)
	statuses := make(map[fleet.RouterID]Status, len(others))
	for _, id := range others {
		if rendezvous.Score(key, id) > own {
			g.rankedAhead = append(g.rankedAhead, id)
		}
		if s, ok := g.statuses[id]; ok {
			statuses[id] = s
		}
	}
	g.statuses = statuses
	g.candidates = nil
	if len(g.rankedAhead) < followerCount+maxSubstitutes {
		ranked := slices.SortedFunc(slices.Values(others), func(a, b fleet.RouterID) int {
			return cmp.Compare(rendezvous.Score(key, b), rendezvous.Score(key, a))
		})
		g.candidates = ranked[:min(len(ranked), followerCount+maxSubstitutes-1)]
	}
}

// Candidates returns the connected routers that may follow for all, or take over from each other, if this router is
// one of them. They have to notice soon when one of them is frozen.
func (g *Group) Candidates() []fleet.RouterID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.candidates
}

// SetPeerStatus records the Status that another router announced.
func (g *Group) SetPeerStatus(from fleet.RouterID, s Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.statuses == nil {
		g.statuses = make(map[fleet.RouterID]Status)
	}
	g.statuses[from] = s
}

// SetStoreLost records whether this router can't read the store.
func (g *Group) SetStoreLost(lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storeLost = lost
}

// OwnStatus returns the Status that this router announces.
func (g *Group) OwnStatus() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{Follows: g.isFollower(), StoreLost: g.storeLost}
}

// isFollower reports whether this router is among those that follow for all. In a large
// fleet these are the first ones in an order that all routers agree on, and one more for
// each of them that can't read the store or may be frozen, up to maxSubstitutes.
func (g *Group) isFollower() bool {
	if !fleet.IsLarge(g.peerCount + 1) {
		return true
	}
	if len(g.rankedAhead)-maxSubstitutes >= followerCount {
		return false // as of most routers, which need not ask who is silent
	}
	unable := 0
	for _, id := range g.rankedAhead {
		if g.statuses[id].StoreLost || (g.IsSilent != nil && g.IsSilent(id)) {
			unable++
		}
	}
	return len(g.rankedAhead)-min(unable, maxSubstitutes) < followerCount
}

// PollInterval returns the interval at which this router polls the store; zero means that
// it follows the store.
func (g *Group) PollInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	followers, able := g.countFollowers()
	switch {
	case g.isFollower() || followers < minKnownFollowers:
		return 0
	case able == 0:
		return storeLostPollInterval
	default:
		return StandbyPollInterval(g.peerCount + 1)
	}
}

// StandbyPollInterval returns how often a router of a fleet of this size polls a table that
// others follow for it.
func StandbyPollInterval(routers int) time.Duration {
	return max(time.Duration(routers)*standbyPollSpacing, minStandbyPollInterval)
}

// FollowersLostStore reports whether this router does not follow the store and none of
// the routers that do can read it.
func (g *Group) FollowersLostStore() bool { return g.PollInterval() == storeLostPollInterval }

// countFollowers returns how many other routers follow, and how many of them can read the
// store.
func (g *Group) countFollowers() (followers, able int) {
	for _, s := range g.statuses {
		if !s.Follows {
			continue
		}
		followers++
		if !s.StoreLost {
			able++
		}
	}
	return followers, able
}
