package scheduler_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/refusal"
)

func TestOneRouterAlone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(2, 2, 3))
		f.start("router-0", 1)
		defer f.stopAll()
		var group sync.WaitGroup
		begin := time.Now()
		for i := range 30 {
			group.Go(func() { _ = f.one([]string{"account-0", "account-1"}[i%2], time.Second) })
		}
		group.Wait()
		require.Equal(t, map[string]int{"account-0": 15, "account-1": 15}, f.ups.served)
		f.atMost(3)
		// 30 requests of a second at 6 slots take 5 s when no slot idles.
		require.Less(t, time.Since(begin), 5200*time.Millisecond)
	})
}

// Tenants sit on one router of six. With a share of the slots for each router
// five sixths of the capacity would idle while their work waits; here every
// slot is used.
func TestWorkAtOneRouterReachesEverySlot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(1, 10, 4))
		f.startAll(6)
		defer f.stopAll()
		f.load("router-3", "account-0", 80, time.Second)
		time.Sleep(2 * time.Second)
		for range 20 {
			time.Sleep(487 * time.Millisecond)
			require.GreaterOrEqual(t, f.ups.total(), 39)
		}
		f.atMost(4)
	})
}

// A caller closes its connection while its request waits. Were the request
// left in the queue, its slot would go to nobody.
func TestCallerThatGoesAwayLeavesTheQueue(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(1, 1, 1))
		f.start("router-0", 1)
		defer f.stopAll()
		go func() { _ = f.one("account-0", 5*time.Second) }()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.routers["router-0"].Acquire(ctx, dispatch.Work{
			Account: f.view.Account("account-0"), Service: f.view.Service("model"), Estimate: 1, Deadline: time.Now().Add(time.Hour),
		})
		var refused *refusal.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, refusal.CallerGone, refused.Reason)
		time.Sleep(time.Second)
		require.Zero(t, f.state("router-0").Queues[0].Waiting)
		// The slot is free for the next one.
		time.Sleep(3 * time.Second)
		require.NoError(t, f.one("account-0", time.Second))
	})
}

// A request waits behind others until its deadline has passed. Its caller
// hears so at that moment, with when to come back, and is told it was not run.
func TestDeadlineOfAWaitingRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(1, 1, 1))
		f.start("router-0", 1)
		defer f.stopAll()
		go func() { _ = f.one("account-0", time.Minute) }()
		time.Sleep(time.Second)
		begin := time.Now()
		_, err := f.routers["router-0"].Acquire(t.Context(), dispatch.Work{
			Account: f.view.Account("account-0"), Service: f.view.Service("model"), Estimate: 1, Deadline: begin.Add(2 * time.Second),
		})
		var refused *refusal.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, refusal.DeadlinePassed, refused.Reason)
		require.Equal(t, refusal.NotRun, refused.Outcome)
		require.NotZero(t, refused.RetryAfter)
		require.Less(t, time.Since(begin), 2100*time.Millisecond)
	})
}

func TestServiceWithoutUpstreamIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(1, 0, 0))
		f.start("router-0", 1)
		defer f.stopAll()
		err := f.one("account-0", time.Second)
		var refused *refusal.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, refusal.NoUpstream, refused.Reason)
	})
}

// The work of one router is asked at eight dispatchers of fourteen. The others
// have idle slots and nobody asks them; if they did not say so, a third of the
// capacity would idle while work waits.
func TestIdleDispatchersAnnounceThemselves(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(1, 40, 2))
		ids := f.startAll(14)
		defer f.stopAll()
		f.load(ids[3], "account-0", 160, time.Second)
		time.Sleep(8 * time.Second)
		for range 20 {
			time.Sleep(487 * time.Millisecond)
			require.GreaterOrEqual(t, f.ups.total(), 78)
		}
		f.atMost(2)
	})
}
