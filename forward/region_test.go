package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
)

// Guards against a request that reaches an upstream outside the regions of its route, or of its account, and against one that
// waits if no region is in both.
func TestRequestIsServedInTheRegionsOfItsRouteAndAccount(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name             string
		ofRoute, account route.Regions
		served           string
	}{
		{"route", route.Regions{"south"}, nil, "u1"},
		{"account", nil, route.Regions{"north"}, "u0"},
		{"both", route.Regions{"north", "south"}, route.Regions{"south"}, "u1"},
		{"none in common", route.Regions{"north"}, route.Regions{"south"}, ""},
		{"unknown region", route.Regions{"east"}, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, answersOK, answersOK)
			f.handler.Regions = map[fleet.DataCenterID]fleet.RegionID{"n1": "north", "s1": "south"}
			shares := []route.Share{{Service: "s", Weight: 1}}
			f.state.table = route.NewTable(route.Configuration{
				Version:  4,
				Routes:   []route.Route{{Host: "h", Prefix: "/bound/", Kind: route.Safe, Shares: shares, Timeout: time.Second, LatencyTarget: time.Second, MaxAttempts: 2, Regions: c.ofRoute}},
				Services: []route.Service{{ID: "s"}},
				Accounts: []route.Account{{ID: "ada", Keys: []string{"k"}, Regions: c.account}},
			})
			f.state.pool.SetUpstreams(time.Now(), []registry.Upstream{
				{ID: "u0", Address: f.addresses[0], Slots: 8, DataCenter: "n1"}, {ID: "u1", Address: f.addresses[1], Slots: 8, DataCenter: "s1"},
			}, time.Second)
			for range 10 {
				status, _, header, err := f.post(t, "/bound/1")
				require.NoError(t, err)
				if c.served == "" {
					require.Equal(t, http.StatusServiceUnavailable, status)
					require.NotEmpty(t, header.Get("Retry-After"))
					continue
				}
				require.Equal(t, http.StatusOK, status)
			}
			for _, r := range f.requests {
				require.Equal(t, c.served, r.Header.Get("X-Upstream"))
			}
		})
	}
}
