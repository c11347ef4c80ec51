package turn_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// poolOfTwoRegions returns a pool with engines of which each third one is in the data centre "c".
func poolOfTwoRegions(grouped bool, placement turn.Placement) *turn.Pool {
	p := &turn.Pool{Placement: placement}
	p.SetGrouped(start, grouped)
	list := newEngines(24)
	for i := range list {
		list[i].DataCenter = []fleet.DataCenterID{"a", "b", "c"}[i%3]
	}
	p.SetUpstreams(start, list, target)
	return p
}

// Guards against a request that is served in a region in which its route or its account may not be: by the owner of its
// prefix, by the group of that, or for lack of another upstream.
func TestRequestIsServedInItsDataCentersOnly(t *testing.T) {
	t.Parallel()
	for _, grouped := range []bool{false, true} {
		for name, placement := range map[string]turn.Placement{"by cache": nil, "least loaded": turn.LeastLoaded{}} {
			t.Run(fmt.Sprintf("%s, grouped %t", name, grouped), func(t *testing.T) {
				t.Parallel()
				p := poolOfTwoRegions(grouped, placement)
				for i := range uint64(60) {
					r := prompt("a", i%20, 1000+i, 100)
					r.DataCenters = []fleet.DataCenterID{"c", "elsewhere"}
					ticket, err := p.Submit(start, r)
					if err != nil {
						continue // all engines there are busy
					}
					if isGranted(ticket) {
						require.Equal(t, fleet.DataCenterID("c"), ticket.Upstream().DataCenter)
					}
				}
				r := prompt("a", 1, 1, 100)
				r.DataCenters = []fleet.DataCenterID{"elsewhere"}
				_, err := p.Submit(start, r)
				var refused *turn.RefusedError
				require.ErrorAs(t, err, &refused)
				require.True(t, refused.NoUpstream)
			})
		}
	}
}

// Guards against a prompt's cache that is copied from a region in which the request may not be served.
func TestCacheIsNotFetchedFromAnotherRegion(t *testing.T) {
	t.Parallel()
	p := &turn.Pool{}
	list := []registry.Upstream{{ID: "e0", Slots: 64, DataCenter: "a"}, {ID: "e1", Slots: 64, DataCenter: "b"}}
	p.SetUpstreams(start, list, target)
	first, err := p.Submit(start, prompt("a", 1, 1, 100))
	require.NoError(t, err)
	here := first.Upstream().DataCenter
	first.RecordFirstEvent(start)
	first.End(start, turn.Served)
	r := prompt("a", 1, 2, 100)
	r.DataCenters = []fleet.DataCenterID{"a", "b"}
	if here == "a" {
		r.DataCenters = r.DataCenters[1:]
	} else {
		r.DataCenters = r.DataCenters[:1]
	}
	ticket, err := p.Submit(start, r)
	require.NoError(t, err)
	require.NotEqual(t, here, ticket.Upstream().DataCenter)
	require.Empty(t, ticket.FetchFrom())
}
