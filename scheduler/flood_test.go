package scheduler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/share"
)

// queueTimes returns the queue times of an account that sends one request at a
// time, to each router in turn.
func queueTimes(t *testing.T, flood bool, requests int, sharePolicy func() share.Policy[fleet.ShortID]) []time.Duration {
	t.Helper()
	var times []time.Duration
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(2, 10, 16))
		f.sharePolicy = sharePolicy
		ids := f.startAll(6)
		defer f.stopAll()
		random := rand.New(rand.NewPCG(5, 5))
		m := &serviceMeter{completed: map[string]float64{"account-0": 0, "account-1": 0}, running: make(map[*runningStream]bool)}
		if flood {
			for _, id := range ids {
				f.keepBacklog(m, random, id, "account-0", 100)
			}
			time.Sleep(30 * time.Second)
		}
		for i := range requests {
			startedAt := time.Now()
			f.runStreamed(m, f.routers[ids[i%6]], "account-1", minCost, func() { times = append(times, time.Since(startedAt)) })
		}
	})
	slices.Sort(times)
	return times
}

// One account keeps 600 requests waiting or running, 100 at each router, for 160
// slots; another sends one request at a time. The small one must wait only until
// the next slot is free. First come first served, it would wait behind the flood.
func TestSmallAccountsQueueTimeBesideAFlood(t *testing.T) {
	t.Parallel()
	unloaded := queueTimes(t, false, 30, nil)
	flooded := queueTimes(t, true, 60, nil)
	p50, p90, maximum := flooded[len(flooded)/2], flooded[len(flooded)*9/10], flooded[len(flooded)-1]
	t.Logf("without the flood at most %v, with it p50 %v, p90 %v, maximum %v", unloaded[len(unloaded)-1], p50, p90, maximum)
	require.Less(t, unloaded[len(unloaded)-1], 20*time.Millisecond)
	// With 160 slots held for 18 s each, one becomes free every 0.11 s on average.
	require.Less(t, p50, 250*time.Millisecond)
	require.Less(t, p90, 450*time.Millisecond)
	require.Less(t, maximum, 1500*time.Millisecond)
	firstCome := queueTimes(t, true, 3, func() share.Policy[fleet.ShortID] { return &share.FirstCome[fleet.ShortID]{} })
	t.Logf("first come first served: p50 %v", firstCome[len(firstCome)/2])
	require.Greater(t, firstCome[len(firstCome)/2], 10*time.Second)
}
