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

// dispatcherOf returns who dispatches the first upstream, as a router sees it.
func (f *testFleet) dispatcherOf(seenBy fleet.RouterID) fleet.RouterID {
	return f.state(seenBy).Upstreams[0].Dispatcher
}

// others returns the routers but one.
func others(ids []fleet.RouterID, not fleet.RouterID) []fleet.RouterID {
	var rest []fleet.RouterID
	for _, id := range ids {
		if id != not {
			rest = append(rest, id)
		}
	}
	return rest
}

// A router is killed while its requests hold every slot of an upstream. Its
// releases never come; if nobody reclaimed the slots, the upstream would be
// lost to all callers of the other routers.
func TestKilledRouterReturnsItsSlots(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(2, 1, 4))
		ids := f.startAll(3)
		defer f.stopAll()
		rest := others(ids, f.dispatcherOf(ids[0]))
		f.load(rest[0], "account-0", 4, time.Hour)
		time.Sleep(time.Second)
		f.load(rest[1], "account-1", 8, time.Second)
		time.Sleep(time.Second)
		require.Zero(t, f.ups.servedOf("account-1"))
		f.kill(rest[0])
		time.Sleep(12 * time.Second)
		f.full(4)
		require.NotZero(t, f.ups.servedOf("account-1"))
		f.atMost(4)
	})
}

// The dispatcher of an upstream is killed while the upstream is full. The next
// one starts with nothing; if it were not told what is in flight, it would
// fill the upstream a second time, and everybody's answers would slow down.
func TestNextDispatcherLearnsWhatIsInFlight(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(2, 1, 6))
		ids := f.startAll(3)
		defer f.stopAll()
		dead := f.dispatcherOf(ids[0])
		rest := others(ids, dead)
		f.load(rest[0], "account-0", 10, 5*time.Second)
		f.load(rest[1], "account-1", 10, 5*time.Second)
		time.Sleep(7 * time.Second)
		f.kill(dead)
		time.Sleep(2 * time.Second)
		require.NotEqual(t, dead, f.dispatcherOf(rest[0]))
		served := f.ups.servedOf("account-0")
		time.Sleep(30 * time.Second)
		require.Greater(t, f.ups.servedOf("account-0"), served+10)
		f.atMost(6)
		f.full(6)
	})
}

// The network between two routers is cut. Both keep serving their callers and
// both believe that they dispatch the upstream, so it gets up to its limit
// from each. After the rejoin one of them is the dispatcher again, with
// nobody's help, and the upstream is back at its limit.
func TestCutRoutersServeOnAndConverge(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(2, 1, 5))
		ids := f.startAll(2)
		defer f.stopAll()
		f.load(ids[0], "account-0", 10, time.Second)
		f.load(ids[1], "account-1", 10, time.Second)
		time.Sleep(5 * time.Second)
		f.atMost(5)
		f.net.cut(ids[0], ids[1])
		time.Sleep(20 * time.Second)
		require.Equal(t, ids[0], f.dispatcherOf(ids[0]))
		require.Equal(t, ids[1], f.dispatcherOf(ids[1]))
		f.atMost(2 * 5)
		f.net.connect(ids[0], ids[1])
		time.Sleep(10 * time.Second)
		require.Equal(t, f.dispatcherOf(ids[0]), f.dispatcherOf(ids[1]))
		f.ups.resetMost()
		time.Sleep(20 * time.Second)
		f.atMost(5)
		f.full(5)
	})
}

// A router is killed and starts again with nothing remembered, before anyone
// missed it. What its first life was granted is gone; the new life must get
// its turn as if it had never been there, and no slot may stay lost.
func TestRouterRestartedWithNothingRemembered(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(2, 1, 4))
		ids := f.startAll(3)
		defer f.stopAll()
		dispatcher := f.dispatcherOf(ids[0])
		rest := others(ids, dispatcher)
		f.load(rest[0], "account-0", 4, time.Hour)
		time.Sleep(time.Second)
		f.kill(rest[0])
		f.start(rest[0], 2)
		time.Sleep(100 * time.Millisecond)
		f.load(rest[0], "account-0", 8, time.Second)
		time.Sleep(12 * time.Second)
		f.full(4)
		f.atMost(4)
	})
}

// The dispatcher itself is killed and starts again with nothing remembered
// while others have requests in flight that it granted.
func TestDispatcherRestartedWithNothingRemembered(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(2, 1, 4))
		ids := f.startAll(3)
		defer f.stopAll()
		dispatcher := f.dispatcherOf(ids[0])
		rest := others(ids, dispatcher)
		f.load(rest[0], "account-0", 8, 3*time.Second)
		f.load(rest[1], "account-1", 8, 3*time.Second)
		time.Sleep(4 * time.Second)
		f.kill(dispatcher)
		f.start(dispatcher, 2)
		time.Sleep(30 * time.Second)
		require.Equal(t, dispatcher, f.dispatcherOf(rest[0]))
		f.atMost(4)
		f.full(4)
	})
}

// A router stands still, so nothing that is sent to it is read. Its slots go
// to others after a while. When it wakes it reads grants of long ago and uses
// them: the upstream gets at most those too many, and no further ones until
// it is below its limit.
func TestPausedRouterWakesWithOldGrants(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(3, 1, 2))
		ids := f.startAll(3)
		defer f.stopAll()
		dispatcher := f.dispatcherOf(ids[0])
		rest := others(ids, dispatcher)
		paused, awake := rest[0], rest[1]
		f.load(paused, "account-0", 2, 2*time.Second)
		time.Sleep(time.Second)
		// Both slots are in use and two more requests wait at the paused router.
		f.load(paused, "account-1", 2, 5*time.Second)
		time.Sleep(500 * time.Millisecond)
		f.net.pause(dispatcher, paused)
		time.Sleep(3 * time.Second)
		f.net.lose(paused, dispatcher)
		f.load(awake, "account-2", 6, time.Second)
		time.Sleep(15 * time.Second)
		require.Positive(t, f.ups.servedOf("account-2"))
		f.net.wake(dispatcher, paused)
		time.Sleep(30 * time.Second)
		f.atMost(2 + 2)
		f.ups.resetMost()
		time.Sleep(10 * time.Second)
		f.atMost(2)
		f.full(2)
	})
}

// A router is stopped as planned. Its upstreams are dispatched by others at
// once, what waits at it still gets its turn, and nothing in flight is cut.
func TestLeavingRouterHandsItsUpstreamsOver(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(2, 1, 4))
		ids := f.startAll(3)
		defer f.stopAll()
		leaving := f.dispatcherOf(ids[0])
		f.load(leaving, "account-0", 8, time.Second)
		f.load(others(ids, leaving)[0], "account-1", 8, time.Second)
		time.Sleep(3 * time.Second)
		f.routers[leaving].Leave()
		time.Sleep(time.Second)
		require.NotEqual(t, leaving, f.dispatcherOf(leaving))
		require.Equal(t, f.dispatcherOf(leaving), f.dispatcherOf(others(ids, leaving)[0]))
		served := f.ups.servedOf("account-0")
		time.Sleep(5 * time.Second)
		require.Greater(t, f.ups.servedOf("account-0"), served)
		f.atMost(4)
	})
}

// The network between two routers is cut, and both still reach the third. One
// of them dispatches the only upstream of a service; the other takes the third
// one for its dispatcher, which knows better and grants nothing. The callers
// of that router would wait until their deadlines beside idle slots.
func TestRouterThatIsCutOffFromTheDispatcherOnly(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(2, 1, 4))
		ids := f.startAll(3)
		defer f.stopAll()
		dispatcher := f.dispatcherOf(ids[0])
		rest := others(ids, dispatcher)
		second := rendezvous.Pick(rendezvous.KeyOfNumber("dispatcher", 1000), rest)
		cutOff := others(rest, second)[0]
		f.net.cut(dispatcher, cutOff)
		time.Sleep(time.Second)
		require.Equal(t, second, f.dispatcherOf(cutOff))
		require.Equal(t, dispatcher, f.dispatcherOf(second))
		f.load(cutOff, "account-0", 8, time.Second)
		time.Sleep(5 * time.Second)
		f.full(4)
		// The others are still served by the dispatcher that they reach.
		f.load(second, "account-1", 8, time.Second)
		time.Sleep(2 * time.Second)
		require.Positive(t, f.ups.servedOf("account-1"))
		f.atMost(2 * 4)
		f.net.connect(dispatcher, cutOff)
		time.Sleep(15 * time.Second)
		require.Equal(t, dispatcher, f.dispatcherOf(cutOff))
		f.ups.resetMost()
		f.full(4)
	})
}

// A dispatcher is killed and comes back while a request holds a slot that it
// had granted, and the next dispatcher has been told of the slot. The request
// then has no use for it, since its claim could not be written. If only the
// granter heard of that, the slot would be taken for good at the dispatcher,
// and after a few of them the upstream would stand idle beside waiting work.
func TestUnusedSlotOfAFormerDispatcherComesBack(t *testing.T) {
	t.Parallel()
	for _, result := range []dispatch.Result{dispatch.Unused, dispatch.Answered, dispatch.Failed} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, viewOf(1, 1, 1))
			ids := f.startAll(3)
			defer f.stopAll()
			dead := f.dispatcherOf(ids[0])
			id := others(ids, dead)[0]
			holder := f.routers[id]
			slot, err := holder.Acquire(holder.ctx, f.work("account-0"))
			require.NoError(t, err)
			f.kill(dead)
			time.Sleep(3 * time.Second)
			f.start(dead, 2)
			time.Sleep(500 * time.Millisecond)

			slot.Done(dispatch.Done{Result: result})

			time.Sleep(500 * time.Millisecond)
			present := f.dispatcherOf(id)
			require.NotEqual(t, dead, present)
			require.Zero(t, f.state(present).Upstreams[0].InFlight, "result %d", result)
		})
	}
}

// A request gives its slot back unused, since its claim could not be written
// or its caller has just gone, while others of the same account wait at the
// same router. The dispatcher takes a slot that comes back unused for a sign
// that the router has no work left. If the router did not ask again, those
// others would wait for ever beside accounts that are served.
func TestUnusedSlotLeavesTheOthersTheirTurn(t *testing.T) {
	t.Parallel()
	for _, n := range []int{0, 1, 2} { // The dispatcher itself, and routers that ask it.
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, viewOf(1, 1, 1))
			ids := f.startAll(3)
			defer f.stopAll()
			r := f.routers[ids[n]]
			slot, err := r.Acquire(r.ctx, f.work("account-0"))
			require.NoError(t, err)
			answered := make(chan error, 3)
			for range 3 {
				go func() { answered <- f.run(r, "account-0", 300, time.Second) }()
			}
			time.Sleep(time.Second)

			slot.Done(dispatch.Done{Result: dispatch.Unused})

			time.Sleep(10 * time.Second)
			require.Len(t, answered, 3, ids[n])
		})
	}
}
