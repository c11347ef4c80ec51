package home_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// mixedEngines returns engines of which every fourth has version v1 and all others v2.
func mixedEngines(n int) []registry.Upstream {
	list := engines(n)
	for i := range list {
		list[i].Software = "v2"
		if i%4 == 0 {
			list[i].Software = "v1"
		}
	}
	return list
}

// resumption returns a request that takes up a stream that v1 began.
func resumption(prefix uint64) turn.Request {
	return turn.Request{
		Account: "a", Input: 1000, Output: 50, Target: target, Patience: target / 4, Software: "v1",
		Prefixes: []turn.Prefix{{Hash: prefix, Tokens: 800}, {Hash: prefix + 1<<32, Tokens: 1000}},
	}
}

// Guards against a stream that goes on at another software version because a home passes over the
// version, or has a list that differs from the router's.
func TestResumptionThroughAHome(t *testing.T) {
	t.Parallel()
	stale := func(software fleet.SoftwareVersion) func(n *network) {
		return func(n *network) {
			list := mixedEngines(48)
			for i := range list {
				list[i].Software = software
			}
			for id, pool := range n.pools {
				if id != "r0" {
					pool.SetUpstreams(time.Now(), list, target)
				}
			}
		}
	}
	cases := []struct {
		name   string
		change func(n *network)
	}{
		{"lists agree", func(*network) {}},
		{"homes know other versions", stale("v3")},
		{"homes take all for the version", stale("v1")},
		{"homes of an older build ignore versions", stale("")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				n := startNetwork(20, 48)
				for _, pool := range n.pools {
					pool.SetUpstreams(time.Now(), mixedEngines(48), target)
				}
				c.change(n)
				for prefix := range uint64(40) {
					ticket, err := n.turn(t.Context(), "r0", resumption(prefix))
					require.NoError(t, err)
					listed, known := n.pools["r0"].Upstream(turn.InstanceOf(ticket.Upstream()))
					require.True(t, known)
					require.Equal(t, fleet.SoftwareVersion("v1"), listed.Software)
					ticket.RecordFirstEvent(time.Now())
					ticket.End(time.Now(), turn.Served)
				}
				time.Sleep(time.Second) // delayed notes
			})
		})
	}
}
