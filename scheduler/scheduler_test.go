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
		f := newFleet(t, newView(2, 2, 3))
		f.start("router-0", 1)
		defer f.stopAll()
		var group sync.WaitGroup
		startedAt := time.Now()
		for i := range 30 {
			group.Go(func() { _ = f.runOnFirst([]string{"account-0", "account-1"}[i%2], time.Second) })
		}
		group.Wait()
		require.Equal(t, map[string]int{"account-0": 15, "account-1": 15}, f.upstreams.served)
		f.requireAtMost(3)
		// 30 requests of 1 s in 6 slots take 5 s if no slot idles.
		require.Less(t, time.Since(startedAt), 5200*time.Millisecond)
	})
}

// All requests arrive at one router of six. With a fixed share of the slots per
// router, five sixths of the capacity would idle; here every slot must be used.
func TestWorkAtOneRouterReachesEverySlot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(1, 10, 4))
		f.startAll(6)
		defer f.stopAll()
		f.keepLoad("router-3", "account-0", 80, time.Second)
		time.Sleep(2 * time.Second)
		for range 20 {
			time.Sleep(487 * time.Millisecond)
			require.GreaterOrEqual(t, f.upstreams.totalRunning(), 39)
		}
		f.requireAtMost(4)
	})
}

// A caller disconnects while its request waits. If the request stayed in the
// queue, a slot would be granted to it and returned unused.
func TestCallerThatGoesAwayLeavesTheQueue(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(1, 1, 1))
		f.start("router-0", 1)
		defer f.stopAll()
		go func() { _ = f.runOnFirst("account-0", 5*time.Second) }()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.routers["router-0"].Acquire(ctx, dispatch.Request{
			Account: f.view.Account("account-0"), Service: f.view.Service("model"), Estimate: 1, Deadline: time.Now().Add(time.Hour),
		})
		var refused *refusal.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, refusal.CallerGone, refused.Reason)
		time.Sleep(time.Second)
		require.Zero(t, f.state("router-0").Queues[0].Waiting)
		// The slot is free for the next request.
		time.Sleep(3 * time.Second)
		require.NoError(t, f.runOnFirst("account-0", time.Second))
	})
}

// A request whose deadline passes while it waits must be refused at that moment as
// not run, with a retry time.
func TestDeadlineOfAWaitingRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(1, 1, 1))
		f.start("router-0", 1)
		defer f.stopAll()
		go func() { _ = f.runOnFirst("account-0", time.Minute) }()
		time.Sleep(time.Second)
		startedAt := time.Now()
		_, err := f.routers["router-0"].Acquire(t.Context(), dispatch.Request{
			Account: f.view.Account("account-0"), Service: f.view.Service("model"), Estimate: 1, Deadline: startedAt.Add(2 * time.Second),
		})
		var refused *refusal.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, refusal.DeadlinePassed, refused.Reason)
		require.Equal(t, refusal.NotRun, refused.Outcome)
		require.NotZero(t, refused.RetryAfter)
		require.Less(t, time.Since(startedAt), 2100*time.Millisecond)
	})
}

func TestServiceWithoutUpstreamIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(1, 0, 0))
		f.start("router-0", 1)
		defer f.stopAll()
		err := f.runOnFirst("account-0", time.Second)
		var refused *refusal.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, refusal.NoUpstream, refused.Reason)
	})
}

// One router's queue asks eight of fourteen dispatchers. If the others did not
// announce their idle slots, a third of the capacity would idle while requests
// wait.
func TestIdleDispatchersAnnounceThemselves(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(1, 40, 2))
		ids := f.startAll(14)
		defer f.stopAll()
		f.keepLoad(ids[3], "account-0", 160, time.Second)
		time.Sleep(8 * time.Second)
		for range 20 {
			time.Sleep(487 * time.Millisecond)
			require.GreaterOrEqual(t, f.upstreams.totalRunning(), 78)
		}
		f.requireAtMost(2)
	})
}
