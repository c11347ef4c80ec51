package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/membership"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// connectedMembers returns the members of router a after both b and c have joined.
func connectedMembers() *membership.Members {
	m := membership.New(membership.Options{Self: "a"})
	m.Tick(start)
	m.SetConnected(start, "b", "b:1")
	m.SetConnected(start, "c", "c:1")
	m.Tick(at(2))
	return m
}

func routers(ids ...fleet.RouterID) []fleet.RouterID { return ids }

func TestRouterAloneDispatchesAtOnce(t *testing.T) {
	t.Parallel()
	m := membership.New(membership.Options{Self: "a"})
	require.Equal(t, routers("a"), m.Dispatchers(start))
}

// The other routers don't count a router that has just started. If it counted
// itself, it would dispatch upstreams that another router already dispatches.
func TestNewRouterLeavesDispatchToTheOthersAtFirst(t *testing.T) {
	t.Parallel()
	m := membership.New(membership.Options{Self: "a"})
	m.Tick(start)
	m.SetConnected(start, "b", "")
	require.Equal(t, routers("b"), m.Dispatchers(start))
	require.Equal(t, routers("a", "b"), m.Dispatchers(at(1)))
}

// The list lags: it still shows a router that is gone, and does not yet show one
// that is connected. The router's own connections take precedence.
func TestConnectionsTakePrecedenceOverTheList(t *testing.T) {
	t.Parallel()
	m := connectedMembers()
	m.SetDisconnected(at(3), "c")
	m.SetList(at(4), []membership.ListedRouter{{ID: "a"}, {ID: "c", Address: "c:1"}})
	require.Equal(t, routers("a", "b"), m.Dispatchers(at(4)))
	require.Equal(t, "c:1", m.Addresses()["c"])
}

// The platform is down and no list arrives for hours. The members must not change.
func TestOutageOfTheListChangesNothing(t *testing.T) {
	t.Parallel()
	m := connectedMembers()
	m.SetList(at(3), []membership.ListedRouter{{ID: "a"}, {ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}})
	require.Equal(t, routers("a", "b", "c"), m.Dispatchers(at(10_000)))
	m.SetDisconnected(at(10_000), "b")
	require.Equal(t, routers("a", "c"), m.Dispatchers(at(10_001)))
	require.Equal(t, "b:1", m.Addresses()["b"])
}

// A connection breaks and is re-established at once. Moving the dispatchers there
// and back would stop all their upstreams for two takeovers.
func TestShortBreakMovesNothing(t *testing.T) {
	t.Parallel()
	m := connectedMembers()
	m.SetDisconnected(at(3), "b")
	require.Equal(t, routers("a", "b", "c"), m.Dispatchers(at(3.4)))
	m.SetConnected(at(3.4), "b", "b:1")
	require.Equal(t, routers("a", "b", "c"), m.Dispatchers(at(3.4)))
	require.Equal(t, routers("a", "b", "c"), m.Dispatchers(at(60)))
}

// A router's link breaks every two seconds for a minute. Dispatchers must not
// move at each disconnect and reconnect.
func TestFlappingRouterDoesNotMoveDispatchersEachTime(t *testing.T) {
	t.Parallel()
	m := connectedMembers()
	moves := 0
	before := m.Dispatchers(at(2))
	for i := range 30 {
		second := 3 + 2*float64(i)
		m.SetDisconnected(at(second), "b")
		for _, step := range []float64{0.3, 0.7} {
			now := m.Dispatchers(at(second + step))
			if len(now) != len(before) {
				moves++
			}
			before = now
		}
		m.SetConnected(at(second+0.8), "b", "b:1")
		now := m.Dispatchers(at(second + 1.9))
		if len(now) != len(before) {
			moves++
		}
		before = now
	}
	require.LessOrEqual(t, moves, 3)
	// Once the link is stable, the router is a member again.
	require.Equal(t, routers("a", "b", "c"), m.Dispatchers(at(80)))
}

// During a partition each side continues with the routers that it reaches. The
// views converge after it ends, without any stored state.
func TestViewsConvergeAfterAPartition(t *testing.T) {
	t.Parallel()
	m := connectedMembers()
	m.SetDisconnected(at(10), "b")
	m.SetDisconnected(at(10), "c")
	require.Equal(t, routers("a"), m.Dispatchers(at(11)))
	m.SetConnected(at(100), "b", "b:1")
	m.SetConnected(at(100), "c", "c:1")
	require.Equal(t, routers("a"), m.Dispatchers(at(100)))
	require.Equal(t, routers("a", "b", "c"), m.Dispatchers(at(103)))
}

func TestLeavingRoutersDispatchOnlyWhenAllLeave(t *testing.T) {
	t.Parallel()
	m := connectedMembers()
	m.SetLeaving(at(3), "b", true)
	require.Equal(t, routers("a", "c"), m.Dispatchers(at(3)))
	m.SetList(at(4), []membership.ListedRouter{{ID: "c", Address: "c:1", Leaving: true}})
	require.Equal(t, routers("a"), m.Dispatchers(at(4)))
	m.SetLeaving(at(5), "a", true)
	require.Equal(t, routers("a", "b", "c"), m.Dispatchers(at(5)))
}

func TestForgetsRoutersThatAreGone(t *testing.T) {
	t.Parallel()
	m := connectedMembers()
	m.SetDisconnected(at(3), "c")
	m.SetList(at(4), []membership.ListedRouter{{ID: "b", Address: "b:1"}})
	require.Contains(t, m.Addresses(), fleet.RouterID("c"))
	m.SetList(at(1000), []membership.ListedRouter{{ID: "b", Address: "b:1"}})
	require.NotContains(t, m.Addresses(), fleet.RouterID("c"))
}

// All routers of a fleet of 460 poll the list. Together they must stay far below
// the 2,000 reads a second that the platform serves.
func TestPollsStayWithinThePlatformsReads(t *testing.T) {
	t.Parallel()
	m := membership.New(membership.Options{Self: "a"})
	require.Equal(t, 500*time.Millisecond, m.PollInterval(0))
	var listed []membership.ListedRouter
	for i := range 460 {
		listed = append(listed, membership.ListedRouter{ID: fleet.RouterID(rune('A' + i))})
	}
	m.SetList(start, listed)
	require.Less(t, 460/m.PollInterval(0).Seconds(), 201.0)
}
