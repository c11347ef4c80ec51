package scheduler_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
)

// startArrivals sends an account's requests to a router at an average rate per second.
func (f *testFleet) startArrivals(random *rand.Rand, id fleet.RouterID, account string, rate float64, duration time.Duration) {
	r := f.routers[id]
	seed := random.Uint64()
	go func() {
		own := rand.New(rand.NewPCG(seed, 1))
		for r.ctx.Err() == nil {
			select {
			case <-time.After(time.Duration(own.ExpFloat64() / rate * float64(time.Second))):
			case <-r.ctx.Done():
			}
			length := time.Duration((0.4 + 1.2*own.Float64()) * float64(duration))
			go func() { _ = f.runOn(r, account, fleet.Tokens(length.Seconds()*25), length) }()
		}
	}()
}

// measureTraffic runs a load in virtual time. It returns the control bytes sent per
// router and second, those per request, and the factor by which JSON is larger.
func measureTraffic(t *testing.T, routers, upstreams, slots int, rate float64, duration, warmup, measured time.Duration) (perSecond, perRequest, json float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(16, upstreams, slots))
		ids := f.startAll(routers)
		defer f.stopAll()
		random := rand.New(rand.NewPCG(7, 7))
		for i := range 16 {
			weight := 1.0
			if i < 3 {
				weight = 9 // A few accounts are large.
			}
			for _, id := range ids {
				f.startArrivals(random, id, fmt.Sprintf("account-%d", i), rate/float64(routers)*weight/40, duration)
			}
		}
		time.Sleep(warmup)
		before, beforeJSON, beforeServed := f.network.totals(f.upstreams)
		time.Sleep(measured)
		after, afterJSON, afterServed := f.network.totals(f.upstreams)
		bytes := float64(after - before)
		perSecond = bytes / float64(routers) / measured.Seconds()
		perRequest = bytes / float64(afterServed-beforeServed)
		json = float64(afterJSON-beforeJSON) / bytes
	})
	return perSecond, perRequest, json
}

// totals returns the bytes sent, their size in JSON, and the number of requests served.
func (n *network) totals(ups *upstreams) (bytes, json, served int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ups.mu.Lock()
	defer ups.mu.Unlock()
	for _, count := range ups.served {
		served += count
	}
	return n.bytes, n.json, served
}

// Checks that control traffic stays below 3 KB/s per router in two deployments,
// each at four fifths of its capacity and overloaded.
func TestControlTraffic(t *testing.T) {
	t.Parallel()
	const requestDuration = 13 * time.Second
	for name, load := range map[string]struct {
		upstreams, slots int
		rate             float64
	}{
		"10 engines at four fifths": {10, 32, 0.8 * 320 / 13},
		"10 engines saturated":      {10, 32, 1.5 * 320 / 13},
		"12 engines at four fifths": {12, 32, 0.8 * 384 / 13},
		"12 engines saturated":      {12, 32, 1.5 * 384 / 13},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			perSecond, perRequest, json := measureTraffic(t, 6, load.upstreams, load.slots, load.rate, requestDuration, 30*time.Second, time.Minute)
			t.Logf("%.0f B/s a router, %.0f B a request, JSON %.1f times as much", perSecond, perRequest, json)
			require.Less(t, perSecond, 3000.0)
		})
	}
}

// slopes enables the measurement of control traffic by the number of routers, for the
// capacity page.
var slopes = flag.Bool("slopes", false, "measure control traffic at 2 to 24 routers")

// The load grows with the number of routers: two upstreams of 32 slots each and 5
// requests a second per router.
func TestControlTrafficByRouters(t *testing.T) {
	if !*slopes {
		t.Skip("takes a minute; run it with -slopes")
	}
	t.Parallel()
	for _, routers := range []int{2, 4, 6, 12, 24} {
		for name, fraction := range map[string]float64{"four fifths": 0.8, "saturated": 1.5} {
			perSecond, perRequest, _ := measureTraffic(t, routers, 2*routers, 32, fraction*float64(2*routers*32)/13,
				13*time.Second, 30*time.Second, time.Minute)
			t.Logf("%2d routers, %s: %4.0f B/s a router, %3.0f B a request", routers, name, perSecond, perRequest)
		}
	}
}
