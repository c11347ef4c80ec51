package home_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// serve requests a turn at a router and reports the first event and the end. It returns where the request began and
// from which address its prompt's cache is copied.
func (n *network) serve(t *testing.T, router int, r turn.Request) (at registry.Upstream, copiedFrom string) {
	t.Helper()
	ticket, err := n.turn(t.Context(), routerID(router), r)
	require.NoError(t, err)
	time.Sleep(300 * time.Millisecond)
	ticket.RecordFirstEvent(time.Now())
	ticket.End(time.Now(), turn.Served)
	time.Sleep(100 * time.Millisecond) // until the home knows
	return ticket.Upstream(), ticket.FetchFrom()
}

// setUpstreams replaces the lists of all routers.
func (n *network) setUpstreams(ready, draining []registry.Upstream) {
	for _, pool := range n.pools {
		pool.SetDraining(draining)
		pool.SetUpstreams(time.Now(), ready, target)
	}
}

// Guards against prefixes that are read again by another group's upstreams after their owner has been replaced,
// though the former owner, which is draining or has only lost its rank, still has them in its cache.
func TestPrefixIsCopiedFromItsFormerGroup(t *testing.T) {
	t.Parallel()
	const before, after = 40, 80
	cases := []struct {
		name string
		// change returns the lists after the prefix's owner has been replaced.
		change func(owner registry.Upstream) (ready, draining []registry.Upstream)
		router int
		copies bool
	}{
		{"owner drains", func(owner registry.Upstream) (ready, draining []registry.Upstream) {
			return without(engines(before), owner), []registry.Upstream{owner}
		}, 1, true},
		{"owner has gone", func(owner registry.Upstream) (ready, draining []registry.Upstream) {
			return without(engines(before), owner), nil
		}, 1, false},
		{"owner has lost its rank", func(registry.Upstream) (ready, draining []registry.Upstream) { return engines(after), nil }, 1, true},
		{"router hasn't used the prefix", func(owner registry.Upstream) (ready, draining []registry.Upstream) {
			return without(engines(before), owner), []registry.Upstream{owner}
		}, 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				moved, copied := 0, 0
				for prefix := range uint64(12) {
					n := startNetwork(20, before)
					owner, _ := n.serve(t, 1, requestFor(1000+prefix, 1))
					n.setUpstreams(c.change(owner))
					at, copiedFrom := n.serve(t, c.router, requestFor(1000+prefix, 2))
					if at.ID == owner.ID {
						continue
					}
					moved++
					if copiedFrom == owner.Address {
						copied++
					}
				}
				require.Positive(t, moved)
				if c.copies {
					require.Equal(t, moved, copied)
				} else {
					require.Zero(t, copied)
				}
			})
		})
	}
}

func without(list []registry.Upstream, removed registry.Upstream) []registry.Upstream {
	return slices.DeleteFunc(list, func(u registry.Upstream) bool { return u.ID == removed.ID })
}
