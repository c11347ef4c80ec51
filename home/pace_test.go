package home_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/turn"
)

// knownSlowdowns returns the slowdowns that each router knows of, for those that know any.
func (n *network) knownSlowdowns() map[fleet.RouterID][]pace.Slowdown {
	known := make(map[fleet.RouterID][]pace.Slowdown)
	for id, pool := range n.pools {
		if slowdowns := pool.Slowdowns(time.Now()); len(slowdowns) > 0 {
			known[id] = slowdowns
		}
	}
	return known
}

// remoteTurn returns a turn that a router was granted by another one, and that one.
func (n *network) remoteTurn(t *testing.T, r turn.Request) (home.Ticket, fleet.RouterID) {
	t.Helper()
	for i := range n.routers {
		before := n.totalAsks()
		ticket, err := n.turn(t.Context(), i, r)
		require.NoError(t, err)
		if n.totalAsks() > before {
			return ticket, n.mostAsked()
		}
	}
	return nil, ""
}

// Guards against a home that doesn't hear what the upstream has stated to the router that asked, or takes it for
// newer than it is: with the first event of a stream, with the end of a plain request, and with a refusal. And against
// upstreams that count as slow at a new home, or for ever at one that gets no notes.
func TestHomeHearsOfTheSlowdown(t *testing.T) {
	t.Parallel()
	load := pace.Statement{HasCounts: true, Running: 3, Slots: 64, Slowdown: 2.5}
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 1)
		ticket, former := n.remoteTurn(t, requestFor(1, 2))
		ticket.RecordLoad(time.Now(), load)
		time.Sleep(target)
		ticket.RecordFirstEvent(time.Now())
		time.Sleep(2 * messageDelay)
		require.InDelta(t, 1.75, float64(n.knownSlowdowns()[former][0]), 0.01, "half has faded")
		n.setIsolated(former, true)
		ticket, _ = n.remoteTurn(t, requestFor(1, 3))
		require.Len(t, n.knownSlowdowns(), 1, "the new home knows nothing")
		ticket.RecordLoad(time.Now(), load)
		ticket.End(time.Now(), turn.Refused)
		time.Sleep(2 * messageDelay)
		require.Len(t, n.knownSlowdowns(), 2)
		time.Sleep(2 * target)
		for _, slowdowns := range n.knownSlowdowns() {
			require.InDelta(t, 1, float64(slowdowns[0]), 0.05)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		n := startPlainNetwork(20, 1)
		ticket, home := n.remoteTurn(t, plainRequest())
		ticket.RecordLoad(time.Now(), load)
		ticket.End(time.Now(), turn.Served)
		time.Sleep(2 * messageDelay)
		require.Equal(t, map[fleet.RouterID][]pace.Slowdown{home: {2.5}}, n.knownSlowdowns())
	})
}
