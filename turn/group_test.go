package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// spread returns a pool of so many engines, spread over data centres.
func spread(engines, dataCenters int) *turn.Pool {
	pool := &turn.Pool{}
	pool.SetGrouped(time.Unix(0, 0), true)
	var list []registry.Upstream
	for i := range engines {
		list = append(list, registry.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Slots: 64, Life: 1,
			DataCenter: fleet.DataCenterID(fmt.Sprintf("dc%d", i%dataCenters)),
		})
	}
	pool.Set(time.Unix(0, 0), list, time.Second)
	return pool
}

func TestDemandGoesToEnginesOfItsDataCenter(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name                 string
		engines, dataCenters int
		in                   fleet.DataCenterID
		isThere              bool
	}{
		{"many engines in each", 90, 4, "dc2", true},
		{"no engine there", 90, 4, "elsewhere", false},
		{"too few engines in each for a group", 8, 4, "dc2", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			pool := spread(c.engines, c.dataCenters)
			for i := range 100 {
				d := turn.Demand{
					Account: "a", Input: 1000, Target: time.Second, Patience: time.Second, DataCenter: c.in,
					Beginnings: []turn.Beginning{{Hash: uint64(i) * 7919, Tokens: 500}, {Hash: uint64(i)*7919 + 1, Tokens: 1000}},
				}
				of, grouped := pool.Group(&d)
				require.True(t, grouped)
				require.Equal(t, c.isThere, of.DataCenter == c.in)
				ticket, err := pool.Ask(time.Unix(int64(i), 0), d)
				require.NoError(t, err)
				if c.isThere {
					require.Equal(t, c.in, ticket.Upstream().DataCenter)
				}
				ticket.End(time.Unix(int64(i), 0), turn.Served)
			}
		})
	}
}
