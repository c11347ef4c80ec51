package home_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// startPlainNetwork connects routers that share plain upstreams of six slots in two data centres.
func startPlainNetwork(routers, upstreams int) *network {
	n := startNetwork(routers, upstreams)
	list := engines(upstreams)
	for i := range list {
		list[i].Slots = 6
		list[i].DataCenter = dataCenter(i)
	}
	for i := range routers {
		pool := n.pools[routerID(i)]
		pool.Placement = turn.LeastLoaded{}
		pool.DataCenter = dataCenter(i)
		pool.SetUpstreams(time.Now(), list, target)
	}
	return n
}

func dataCenter(i int) fleet.DataCenterID { return fleet.DataCenterID(fmt.Sprintf("z%d", i%2)) }

func plainRequest() turn.Request {
	return turn.Request{Account: "a", Input: 1, Target: 300 * time.Millisecond, Patience: 180 * time.Millisecond}
}

// The load of a plain service with few slots before a large fleet: many routers have a request at the same
// moment. Guards against routers that each send theirs to an upstream that others have just filled.
func TestRoutersDoNotFillAPlainUpstreamTogether(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startPlainNetwork(72, 3)
		var mu sync.Mutex
		inFlight, most := make(map[registry.Upstream]int), 0
		answered, refused := 0, 0
		var group sync.WaitGroup
		for i := range 72 {
			group.Go(func() {
				ticket, err := n.turn(t.Context(), routerID(i), plainRequest())
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					refused++
					return
				}
				to := ticket.Upstream()
				inFlight[to]++
				most = max(most, inFlight[to])
				time.AfterFunc(60*time.Millisecond, func() {
					mu.Lock()
					defer mu.Unlock()
					inFlight[to]--
					answered++
					ticket.End(time.Now(), turn.Served)
				})
			})
		}
		group.Wait()
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		require.LessOrEqual(t, most, 8, "six run and two wait at an upstream")
		require.GreaterOrEqual(t, answered, 54, "no slot is idle beside a waiting request")
		require.Equal(t, 72, answered+refused)
	})
}

// Guards against the bytes and the time of another data centre: the home prefers an upstream beside the
// router that asks, not beside itself.
func TestPlainRequestStaysInTheDataCenterOfItsRouter(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startPlainNetwork(20, 2)
		for i := range 20 {
			ticket, err := n.turn(t.Context(), routerID(i), plainRequest())
			require.NoError(t, err)
			require.Equal(t, dataCenter(i), ticket.Upstream().DataCenter)
			ticket.End(time.Now(), turn.Served)
			time.Sleep(10 * time.Millisecond)
		}
	})
}
