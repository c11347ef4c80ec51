package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
)

// largeFleet is a load of more than what sixty engines can read, by way of 88
// routers whose reports come seldom; each client account has a few callers, so it
// sits at some of the routers.
func largeFleet(seed uint64, load float64) modelLoad {
	const routers = 88
	m := modelLoad{
		routers: routers, engines: 60, speed: 54.6, target: 800 * time.Millisecond, length: 9 * time.Second,
		reports: 440 * time.Millisecond, shared: 1200, seed: seed,
	}
	weights := []float64{30, 15, 10, 8, 6, 5, 4, 3, 3, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	at := 0
	for i, w := range weights {
		a := modelAccount{id: fleet.AccountID(fmt.Sprintf("a%d", i)), rate: w * load}
		for range max(1, int(w)) {
			a.routers = append(a.routers, at%routers)
			at += 7
		}
		m.accounts = append(m.accounts, a)
	}
	return m
}

// Many routers stand before many engines, and what each knows of the others is half
// a second old. Several of them send to one engine at the same moment, and callers
// see late first events while other engines idle. Where one router gives the turns
// of a group of engines for all, few are late, and each account gets its share.
func TestHomesServeALargeFleet(t *testing.T) {
	t.Parallel()
	for _, overload := range []float64{5, 12} {
		load := largeFleet(1, overload)
		load.homes = 8
		m := play(load)
		part, who, when := m.least()
		require.Greater(t, part, 0.65, "%s from second %d", who, when)
		require.Less(t, m.late, m.inTime/50)
	}
}

// floodedRouter is a load of what inundates one small router: all of an account's
// requests come there, and it has processor time for a part of them. Another account
// asks as much at many routers, and small ones ask now and then.
func floodedRouter(seed uint64, taken float64) modelLoad {
	m := modelLoad{
		routers: 67, engines: 60, speed: 54.6, target: 500 * time.Millisecond, length: 14 * time.Second,
		reports: 440 * time.Millisecond, shared: 1200, seed: seed, homes: 8,
	}
	all := make([]int, m.routers)
	for i := range all {
		all[i] = i
	}
	m.accounts = []modelAccount{
		{id: "flooded", rate: 950, taken: taken, credit: new(float64), routers: []int{3}},
		{id: "everywhere", rate: 1000, routers: all},
	}
	for i := range 28 {
		m.accounts = append(m.accounts, modelAccount{id: fleet.AccountID(fmt.Sprintf("small-%d", i)), rate: 10, routers: all})
	}
	return m
}

// unfairBelow is the part of its due below which an account is treated unfairly: the
// users let nobody who waits get less than half of what another one gets.
const unfairBelow = 0.5

// An account got 13 million tokens in six seconds of the 58 million that it asked for,
// another one 29 million. The balancer had brought all of its requests to one small
// router, which had no processor time for most of them and refused them. Those that give
// turns never heard of these: the account seemed to get what it asked for, and the rest
// went to the others. Its refusals proved it, all for want of processor time and none for want of a
// turn; and told of them, the homes give the others less.
func TestAccountAtAFloodedRouterGetsHalfOfWhatOthersGet(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		for _, taken := range []float64{120, 160, 200} {
			m := play(floodedRouter(seed, taken))
			part, who, when := m.least()
			require.Greater(t, part, unfairBelow, "%s from second %d, seed %d, %v taken", who, when, seed, taken)
		}
	}
}
