package follow

import (
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

const (
	// followers is how many do. Two that are cut off at the same moment, and one
	// that is frozen, leave one.
	followers = 4
	// substitutes bounds how many more step in for followers that can't read the
	// store. In an outage all that step in fail as well, and each failed call costs
	// the platform as much as another.
	substitutes = 8
	// leastKnown is how many followers a router has to hear from to rest.
	leastKnown = 2
	// calmRest is how often a router that rests looks for itself: what the
	// followers don't see, because their feed is silent, is seen by others after
	// some 30 s divided by the size of the fleet.
	calmRest = 30 * time.Second
	// blindRest is the same while no follower can read the store, which may serve
	// others: at 88 routers it makes 15 calls a second for each table.
	blindRest = 6 * time.Second
)

// Group says which routers of a fleet follow the store for all others. Its zero
// value is a router that knows no others, and follows. It is safe for concurrent use.
//
// It answers the price of a change: at 88 routers, each that waits for changes
// makes 88 calls of one, and a store that is away is asked a hundred times a
// second. The store tells four of them, and these the rest, within a few
// milliseconds. A router that is cut off from the others follows by itself.
type Group struct {
	Self fleet.RouterID

	mu sync.Mutex
	// count is how many other routers are connected, and before are those of them
	// that follow rather than this one.
	count  int
	before []fleet.RouterID
	others map[fleet.RouterID]Standing
	lost   bool
}

// Standing is what a router says of itself.
type Standing struct {
	// Follows is true when it follows the store for all.
	Follows bool
	// Lost is true when it can't read the store.
	Lost bool
}

// SetRouters tells which other routers are connected.
func (g *Group) SetRouters(others []fleet.RouterID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count = len(others)
	g.before = nil
	key := rendezvous.KeyOf("follow", "store")
	own := rendezvous.Score(key, g.Self)
	known := make(map[fleet.RouterID]Standing, len(others))
	for _, id := range others {
		if rendezvous.Score(key, id) > own {
			g.before = append(g.before, id)
		}
		if s, ok := g.others[id]; ok {
			known[id] = s
		}
	}
	g.others = known
}

// Hear takes what another router says of itself.
func (g *Group) Hear(from fleet.RouterID, s Standing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.others == nil {
		g.others = make(map[fleet.RouterID]Standing)
	}
	g.others[from] = s
}

// SetLost says whether this router can't read the store.
func (g *Group) SetLost(lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost = lost
}

// Own returns what this router says of itself.
func (g *Group) Own() Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Standing{Follows: g.follows(), Lost: g.lost}
}

// follows reports whether this router is among those that follow for all: the
// first ones in an order that all routers agree on, and as many more as there are
// before it that can't read the store, up to a bound.
func (g *Group) follows() bool {
	if !fleet.IsLarge(g.count + 1) {
		return true
	}
	lost := 0
	for _, id := range g.before {
		if g.others[id].Lost {
			lost++
		}
	}
	return len(g.before)-min(lost, substitutes) < followers
}

// Rest returns how long this router need not look at the store, zero when it has
// to follow.
func (g *Group) Rest() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, able := g.known()
	switch {
	case g.follows() || known < leastKnown:
		return 0
	case able == 0:
		return blindRest
	default:
		return calmRest
	}
}

// IsBlind reports whether this router rests and none of those that follow can read
// the store.
func (g *Group) IsBlind() bool { return g.Rest() == blindRest }

// known returns how many other routers follow, and how many of them can read the
// store.
func (g *Group) known() (known, able int) {
	for _, s := range g.others {
		if !s.Follows {
			continue
		}
		known++
		if !s.Lost {
			able++
		}
	}
	return known, able
}
