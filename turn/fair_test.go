package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
)

// sixRouters is a load of twice what twelve engines can read: one account floods at
// all routers, three at one router each, and small ones ask now and then.
func sixRouters(seed uint64) modelLoad {
	load := modelLoad{
		routers: 6, engines: 12, speed: 157, target: 500 * time.Millisecond, length: 14 * time.Second,
		reports: 50 * time.Millisecond, shared: 400, seed: seed,
	}
	all := []int{0, 1, 2, 3, 4, 5}
	load.accounts = append(load.accounts, modelAccount{id: "everywhere", rate: 900, routers: all})
	for i := range 3 {
		load.accounts = append(load.accounts, modelAccount{id: fleet.AccountID(fmt.Sprintf("single-%d", i)), rate: 150, routers: []int{i}})
	}
	for i := range 10 {
		load.accounts = append(load.accounts, modelAccount{id: fleet.AccountID(fmt.Sprintf("small-%d", i)), rate: 12, routers: all})
	}
	return load
}

// Several accounts ask for more than they can get. One of them asks at all
// routers, the others at one router each, and small accounts are refused now and
// then. An account that sits at one router is told that it gets its share of what
// the engines do; it must not get a third of what the one at all routers gets.
func TestAccountAtOneRouterGetsItsShare(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		m := play(sixRouters(seed))
		part, who, when := m.least()
		require.Greater(t, part, 0.75, "%s from second %d, seed %d", who, when, seed)
	}
}
