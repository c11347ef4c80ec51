package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// dispatcherOf returns the dispatcher of the first upstream in a router's view.
func (f *testFleet) dispatcherOf(seenBy fleet.RouterID) fleet.RouterID {
	return f.state(seenBy).Upstreams[0].Dispatcher
}

// allExcept returns all routers but one.
func allExcept(ids []fleet.RouterID, excluded fleet.RouterID) []fleet.RouterID {
	var rest []fleet.RouterID
	for _, id := range ids {
		if id != excluded {
			rest = append(rest, id)
		}
	}
	return rest
}

// A router is killed while its requests hold all slots of an upstream, so it never
// releases them. If they were not reclaimed, the other routers could not use the
// upstream any more.
func TestKilledRouterReturnsItsSlots(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(2, 1, 4))
		ids := f.startAll(3)
		defer f.stopAll()
		rest := allExcept(ids, f.dispatcherOf(ids[0]))
		f.keepLoad(rest[0], "account-0", 4, time.Hour)
		time.Sleep(time.Second)
		f.keepLoad(rest[1], "account-1", 8, time.Second)
		time.Sleep(time.Second)
		require.Zero(t, f.upstreams.servedOf("account-1"))
		f.kill(rest[0])
		time.Sleep(12 * time.Second)
		f.requireFull(4)
		require.NotZero(t, f.upstreams.servedOf("account-1"))
		f.requireAtMost(4)
	})
}

// The dispatcher of a full upstream is killed. The next one starts without state.
// Without a report of the requests in flight it would fill the upstream a second
// time and slow down all answers.
func TestNextDispatcherReceivesRequestsInFlight(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(2, 1, 6))
		ids := f.startAll(3)
		defer f.stopAll()
		killed := f.dispatcherOf(ids[0])
		rest := allExcept(ids, killed)
		f.keepLoad(rest[0], "account-0", 10, 5*time.Second)
		f.keepLoad(rest[1], "account-1", 10, 5*time.Second)
		time.Sleep(7 * time.Second)
		f.kill(killed)
		time.Sleep(2 * time.Second)
		require.NotEqual(t, killed, f.dispatcherOf(rest[0]))
		served := f.upstreams.servedOf("account-0")
		time.Sleep(30 * time.Second)
		require.Greater(t, f.upstreams.servedOf("account-0"), served+10)
		f.requireAtMost(6)
		f.requireFull(6)
	})
}

// The network between two routers is cut. Both serve their callers and dispatch the
// upstream, which gets up to its limit from each. After they rejoin, one must
// become the only dispatcher by itself, and the upstream must return to its limit.
func TestCutRoutersServeOnAndConverge(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(2, 1, 5))
		ids := f.startAll(2)
		defer f.stopAll()
		f.keepLoad(ids[0], "account-0", 10, time.Second)
		f.keepLoad(ids[1], "account-1", 10, time.Second)
		time.Sleep(5 * time.Second)
		f.requireAtMost(5)
		f.network.cut(ids[0], ids[1])
		time.Sleep(20 * time.Second)
		require.Equal(t, ids[0], f.dispatcherOf(ids[0]))
		require.Equal(t, ids[1], f.dispatcherOf(ids[1]))
		f.requireAtMost(2 * 5)
		f.network.connect(ids[0], ids[1])
		time.Sleep(10 * time.Second)
		require.Equal(t, f.dispatcherOf(ids[0]), f.dispatcherOf(ids[1]))
		f.upstreams.resetPeaks()
		time.Sleep(20 * time.Second)
		f.requireAtMost(5)
		f.requireFull(5)
	})
}

// A router is killed and restarts without state before the others notice. The
// grants to its first incarnation are lost; the new one must be served like a new
// router, and no slot may leak.
func TestRouterRestartedWithoutState(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(2, 1, 4))
		ids := f.startAll(3)
		defer f.stopAll()
		dispatcher := f.dispatcherOf(ids[0])
		rest := allExcept(ids, dispatcher)
		f.keepLoad(rest[0], "account-0", 4, time.Hour)
		time.Sleep(time.Second)
		f.kill(rest[0])
		f.start(rest[0], 2)
		time.Sleep(100 * time.Millisecond)
		f.keepLoad(rest[0], "account-0", 8, time.Second)
		time.Sleep(12 * time.Second)
		f.requireFull(4)
		f.requireAtMost(4)
	})
}

// The dispatcher is killed and restarts without state while other routers have
// requests in flight that it granted.
func TestDispatcherRestartedWithoutState(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(2, 1, 4))
		ids := f.startAll(3)
		defer f.stopAll()
		dispatcher := f.dispatcherOf(ids[0])
		rest := allExcept(ids, dispatcher)
		f.keepLoad(rest[0], "account-0", 8, 3*time.Second)
		f.keepLoad(rest[1], "account-1", 8, 3*time.Second)
		time.Sleep(4 * time.Second)
		f.kill(dispatcher)
		f.start(dispatcher, 2)
		time.Sleep(30 * time.Second)
		require.Equal(t, dispatcher, f.dispatcherOf(rest[0]))
		f.requireAtMost(4)
		f.requireFull(4)
	})
}

// A paused router reads nothing, and after a while its slots go to others. When it
// resumes, it reads and uses old grants. The upstream may exceed its limit by these
// at most and must get no further requests until it is below the limit.
func TestPausedRouterResumesWithOldGrants(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(3, 1, 2))
		ids := f.startAll(3)
		defer f.stopAll()
		dispatcher := f.dispatcherOf(ids[0])
		rest := allExcept(ids, dispatcher)
		paused, awake := rest[0], rest[1]
		f.keepLoad(paused, "account-0", 2, 2*time.Second)
		time.Sleep(time.Second)
		// Both slots are in use, and two more requests wait at the router to be paused.
		f.keepLoad(paused, "account-1", 2, 5*time.Second)
		time.Sleep(500 * time.Millisecond)
		f.network.pause(dispatcher, paused)
		time.Sleep(3 * time.Second)
		f.network.disconnectOneWay(paused, dispatcher)
		f.keepLoad(awake, "account-2", 6, time.Second)
		time.Sleep(15 * time.Second)
		require.Positive(t, f.upstreams.servedOf("account-2"))
		f.network.resume(dispatcher, paused)
		time.Sleep(30 * time.Second)
		f.requireAtMost(2 + 2)
		f.upstreams.resetPeaks()
		time.Sleep(10 * time.Second)
		f.requireAtMost(2)
		f.requireFull(2)
	})
}

// A router shuts down gracefully. Others must dispatch its upstreams at once, its
// waiting requests must still be served and those in flight must not be cut off.
func TestLeavingRouterHandsItsUpstreamsOver(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(2, 1, 4))
		ids := f.startAll(3)
		defer f.stopAll()
		leaving := f.dispatcherOf(ids[0])
		f.keepLoad(leaving, "account-0", 8, time.Second)
		f.keepLoad(allExcept(ids, leaving)[0], "account-1", 8, time.Second)
		time.Sleep(3 * time.Second)
		f.routers[leaving].Leave()
		time.Sleep(time.Second)
		require.NotEqual(t, leaving, f.dispatcherOf(leaving))
		require.Equal(t, f.dispatcherOf(leaving), f.dispatcherOf(allExcept(ids, leaving)[0]))
		served := f.upstreams.servedOf("account-0")
		time.Sleep(5 * time.Second)
		require.Greater(t, f.upstreams.servedOf("account-0"), served)
		f.requireAtMost(4)
	})
}

// The network between two routers is cut, and both still reach the third. One of
// them dispatches the only upstream of a service. The other considers the third the
// dispatcher, which grants nothing, since it still reaches the real one. Without
// denials, requests would wait until their deadlines although slots are idle.
func TestRouterThatIsCutOffFromTheDispatcherOnly(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(2, 1, 4))
		ids := f.startAll(3)
		defer f.stopAll()
		dispatcher := f.dispatcherOf(ids[0])
		rest := allExcept(ids, dispatcher)
		second := rendezvous.Pick(rendezvous.KeyOfNumber("dispatcher", 1000), rest)
		cutOff := allExcept(rest, second)[0]
		f.network.cut(dispatcher, cutOff)
		time.Sleep(time.Second)
		require.Equal(t, second, f.dispatcherOf(cutOff))
		require.Equal(t, dispatcher, f.dispatcherOf(second))
		f.keepLoad(cutOff, "account-0", 8, time.Second)
		time.Sleep(5 * time.Second)
		f.requireFull(4)
		// The other router is still served by the dispatcher that it reaches.
		f.keepLoad(second, "account-1", 8, time.Second)
		time.Sleep(2 * time.Second)
		require.Positive(t, f.upstreams.servedOf("account-1"))
		f.requireAtMost(2 * 4)
		f.network.connect(dispatcher, cutOff)
		time.Sleep(15 * time.Second)
		require.Equal(t, dispatcher, f.dispatcherOf(cutOff))
		f.upstreams.resetPeaks()
		f.requireFull(4)
	})
}

// A dispatcher is killed and restarts while a request holds a slot that it granted
// and that was reported to the next dispatcher. Then the slot is returned, for
// example unused because the request's claim could not be written. If only the
// granter got the release, the slot would leak at the current dispatcher; after a
// few of these, the upstream would idle while requests wait.
func TestUnusedSlotOfAFormerDispatcherComesBack(t *testing.T) {
	t.Parallel()
	for _, result := range []dispatch.Result{dispatch.Unused, dispatch.Answered, dispatch.Failed} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, newView(1, 1, 1))
			ids := f.startAll(3)
			defer f.stopAll()
			killed := f.dispatcherOf(ids[0])
			id := allExcept(ids, killed)[0]
			holder := f.routers[id]
			slot, err := holder.Acquire(holder.ctx, f.newRequest("account-0"))
			require.NoError(t, err)
			f.kill(killed)
			time.Sleep(3 * time.Second)
			f.start(killed, 2)
			time.Sleep(500 * time.Millisecond)

			slot.Release(dispatch.Completion{Result: result})

			time.Sleep(500 * time.Millisecond)
			current := f.dispatcherOf(id)
			require.NotEqual(t, killed, current)
			require.Zero(t, f.state(current).Upstreams[0].InFlight, "result %d", result)
		})
	}
}

// A request returns its slot unused, because its claim could not be written or its
// caller has disconnected, while others of the same account wait at the router.
// The dispatcher then drops the router's ask. If the router did not ask again, the
// other requests would wait for ever.
func TestUnusedSlotDoesNotStarveOtherRequests(t *testing.T) {
	t.Parallel()
	for _, n := range []int{0, 1, 2} { // The dispatcher itself, and routers that ask it.
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, newView(1, 1, 1))
			ids := f.startAll(3)
			defer f.stopAll()
			r := f.routers[ids[n]]
			slot, err := r.Acquire(r.ctx, f.newRequest("account-0"))
			require.NoError(t, err)
			answered := make(chan error, 3)
			for range 3 {
				go func() { answered <- f.runOn(r, "account-0", 300, time.Second) }()
			}
			time.Sleep(time.Second)

			slot.Release(dispatch.Completion{Result: dispatch.Unused})

			time.Sleep(10 * time.Second)
			require.Len(t, answered, 3, ids[n])
		})
	}
}
