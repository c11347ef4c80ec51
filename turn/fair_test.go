package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
)

// sixRouterConfig is twice the load that twelve engines can read: one account floods all
// six routers, three flood one router each, and small ones send a few requests.
func sixRouterConfig(seed uint64) simConfig {
	config := simConfig{
		routers: 6, engines: 12, prefillSpeed: 157, target: 500 * time.Millisecond, duration: 14 * time.Second,
		reportInterval: 50 * time.Millisecond, prefixes: 400, seed: seed,
	}
	allRouters := []int{0, 1, 2, 3, 4, 5}
	config.accounts = append(config.accounts, simAccount{id: "everywhere", rate: 900, routers: allRouters})
	for i := range 3 {
		config.accounts = append(config.accounts, simAccount{id: fleet.AccountID(fmt.Sprintf("single-%d", i)), rate: 150, routers: []int{i}})
	}
	for i := range 10 {
		config.accounts = append(config.accounts, simAccount{id: fleet.AccountID(fmt.Sprintf("small-%d", i)), rate: 12, routers: allRouters})
	}
	return config
}

// Several accounts ask for more than they can get: one at all routers, the others at one
// router each, while small accounts are refused now and then. Guards against an account at
// one router that gets a third of what the account at all routers gets, although it is
// entitled to the same service.
func TestAccountAtOneRouterGetsItsShare(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		sim := simulate(sixRouterConfig(seed))
		share, account, second := sim.lowestShare()
		require.Greater(t, share, 0.75, "%s from second %d, seed %d", account, second, seed)
	}
}
