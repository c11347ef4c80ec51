package follow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
)

// groups returns so many routers that all know each other.
func groups(n int) map[fleet.RouterID]*follow.Group {
	all := make(map[fleet.RouterID]*follow.Group, n)
	for i := range n {
		id := fleet.RouterID(fmt.Sprintf("r%d", i))
		all[id] = &follow.Group{Self: id}
	}
	for id, g := range all {
		g.SetRouters(except(all, id))
	}
	return all
}

func except(all map[fleet.RouterID]*follow.Group, id fleet.RouterID) []fleet.RouterID {
	var others []fleet.RouterID
	for other := range all {
		if other != id {
			others = append(others, other)
		}
	}
	return others
}

// settle lets all routers say how they stand until nothing changes any more. The
// store is lost to those that follow or look at it while it is away.
func settle(all map[fleet.RouterID]*follow.Group, away bool) {
	for range 20 {
		for id, g := range all {
			if g.Own().Follows {
				g.SetLost(away)
			}
			for other, h := range all {
				if other != id {
					h.Hear(id, g.Own())
				}
			}
		}
	}
}

func following(all map[fleet.RouterID]*follow.Group) int {
	count := 0
	for _, g := range all {
		if g.Rest() == 0 {
			count++
		}
	}
	return count
}

// A change in a large fleet made each router ask the store for it. Four do, and the
// others look for themselves twice a minute only.
func TestFewRoutersOfALargeFleetFollow(t *testing.T) {
	t.Parallel()
	all := groups(88)
	require.Equal(t, 88, following(all))
	settle(all, false)
	require.Equal(t, 4, following(all))
	small := groups(12)
	settle(small, false)
	require.Equal(t, 12, following(small))
}

// The store is away for all. Each router that steps in for the followers fails too;
// were there no bound, the whole fleet would ask a store that is away.
func TestOutageDoesNotMakeAllFollow(t *testing.T) {
	t.Parallel()
	all := groups(88)
	settle(all, false)
	settle(all, true)
	require.LessOrEqual(t, following(all), 12)
	for _, g := range all {
		require.Equal(t, g.Rest() > 0, g.IsBlind())
	}
	settle(all, false)
	require.Equal(t, 4, following(all))
}

// The store refuses the routers that follow and serves the others, which learn
// nothing new unless some of them step in.
func TestOthersFollowForThoseThatAreRefused(t *testing.T) {
	t.Parallel()
	all := groups(88)
	settle(all, false)
	refused := make(map[fleet.RouterID]bool)
	for id, g := range all {
		refused[id] = g.Own().Follows
	}
	for range 5 {
		for id, g := range all {
			if refused[id] {
				g.SetLost(true)
			}
			for other, h := range all {
				if other != id {
					h.Hear(id, g.Own())
				}
			}
		}
	}
	able := 0
	for id, g := range all {
		if g.Own().Follows && !refused[id] {
			able++
		}
		require.False(t, g.IsBlind())
	}
	require.Equal(t, 4, able)
}

// A router is cut off from all others and not from the store. Nobody tells it what
// is new, so it follows by itself.
func TestRouterWithoutOthersFollows(t *testing.T) {
	t.Parallel()
	all := groups(88)
	settle(all, false)
	for _, g := range all {
		g.SetRouters(nil)
		require.Equal(t, time.Duration(0), g.Rest())
	}
}
