package follow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
)

// groups returns the Groups of n routers that are all connected to each other.
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

// exchangeStatuses lets all routers announce their Status until nothing changes any more.
// Followers can't read the store if it is unavailable.
func exchangeStatuses(all map[fleet.RouterID]*follow.Group, unavailable bool) {
	for range 20 {
		for id, g := range all {
			if g.OwnStatus().Follows {
				g.SetStoreLost(unavailable)
			}
			for other, h := range all {
				if other != id {
					h.SetPeerStatus(id, g.OwnStatus())
				}
			}
		}
	}
}

func following(all map[fleet.RouterID]*follow.Group) int {
	count := 0
	for _, g := range all {
		if g.PollInterval() == 0 {
			count++
		}
	}
	return count
}

// If all 88 routers followed the store, each change would be read 88 times. Only four
// follow it, and the others poll twice a minute.
func TestFewRoutersOfALargeFleetFollow(t *testing.T) {
	t.Parallel()
	all := groups(88)
	require.Equal(t, 88, following(all))
	exchangeStatuses(all, false)
	require.Equal(t, 4, following(all))
	small := groups(12)
	exchangeStatuses(small, false)
	require.Equal(t, 12, following(small))
}

// The store is unavailable for all. Each router that replaces a follower fails too;
// without a bound the whole fleet would call an unavailable store.
func TestOutageDoesNotMakeAllFollow(t *testing.T) {
	t.Parallel()
	all := groups(88)
	exchangeStatuses(all, false)
	exchangeStatuses(all, true)
	require.LessOrEqual(t, following(all), 12)
	for _, g := range all {
		require.Equal(t, g.PollInterval() > 0, g.FollowersLostStore())
	}
	exchangeStatuses(all, false)
	require.Equal(t, 4, following(all))
}

// The store refuses the routers that follow it and answers the others, which get no
// changes unless some of them follow instead.
func TestOthersFollowForThoseThatAreRefused(t *testing.T) {
	t.Parallel()
	all := groups(88)
	exchangeStatuses(all, false)
	refused := make(map[fleet.RouterID]bool)
	for id, g := range all {
		refused[id] = g.OwnStatus().Follows
	}
	for range 5 {
		for id, g := range all {
			if refused[id] {
				g.SetStoreLost(true)
			}
			for other, h := range all {
				if other != id {
					h.SetPeerStatus(id, g.OwnStatus())
				}
			}
		}
	}
	able := 0
	for id, g := range all {
		if g.OwnStatus().Follows && !refused[id] {
			able++
		}
		require.False(t, g.FollowersLostStore())
	}
	require.Equal(t, 4, able)
}

// A router is cut off from all others but not from the store. No router passes
// changes on to it, so it follows the store itself.
func TestRouterWithoutOthersFollows(t *testing.T) {
	t.Parallel()
	all := groups(88)
	exchangeStatuses(all, false)
	for _, g := range all {
		g.SetRouters(nil)
		require.Equal(t, time.Duration(0), g.PollInterval())
	}
}

// The load of a fleet that grows. Guards against calls to the store that grow with it, and against changes
// that no router notices for long if the feeds of the followers stop responding.
func TestPollsOfAllRoutersTogetherDoNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{16, 72, 300, 985} {
		perSecond := float64(routers) / follow.StandbyPollInterval(routers).Seconds()
		require.LessOrEqual(t, perSecond, 1.0, "%d routers", routers)
		require.GreaterOrEqual(t, perSecond, 0.5, "%d routers", routers)
	}
}

// Guards against changes that no router notices for seconds because all that follow the store are frozen, and their
// connections are not lost yet.
func TestOthersFollowForThoseThatAreFrozen(t *testing.T) {
	t.Parallel()
	all := groups(88)
	exchangeStatuses(all, false)
	frozen := make(map[fleet.RouterID]bool)
	for id, g := range all {
		frozen[id] = g.OwnStatus().Follows
	}
	able := 0
	for id, g := range all {
		g.IsSilent = func(router fleet.RouterID) bool { return frozen[router] }
		if !frozen[id] && g.PollInterval() == 0 {
			able++
		}
		require.False(t, g.FollowersLostStore(), "the store answers")
	}
	require.Equal(t, 4, able)
}

// Guards against a fleet of hundreds whose followers notice late that others of them are frozen, since heartbeats become rarer
// with its size: those that may follow watch each other.
func TestRoutersThatMayFollowKnowEachOther(t *testing.T) {
	t.Parallel()
	all := groups(300)
	exchangeStatuses(all, false)
	candidates := make(map[fleet.RouterID]bool)
	for id, g := range all {
		if g.Candidates() != nil {
			candidates[id] = true
		}
	}
	require.Len(t, candidates, 12)
	for id, g := range all {
		require.False(t, g.OwnStatus().Follows && !candidates[id])
		for _, other := range g.Candidates() {
			require.True(t, candidates[other])
			require.Contains(t, all[other].Candidates(), id)
		}
	}
}
