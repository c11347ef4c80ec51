package home_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
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

// Guards against a home that doesn't hear what the upstream has stated to the router that asked: with the first event of
// a stream, with the end of a plain request, and with a refusal.
func TestHomeHearsOfTheSlowdown(t *testing.T) {
	t.Parallel()
	load := pace.Statement{HasCounts: true, Running: 3, Slots: 64, Slowdown: 2.5}
	for name, c := range map[string]struct {
		network  func() *network
		hasEvent bool
		outcome  turn.Outcome
	}{
		"stream":        {func() *network { return startNetwork(20, 1) }, true, 0},
		"refusal":       {func() *network { return startNetwork(20, 1) }, false, turn.Refused},
		"plain request": {func() *network { return startPlainNetwork(20, 1) }, true, turn.Served},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				n := c.network()
				r := requestFor(1, 2)
				if name == "plain request" {
					r = plainRequest()
				}
				asking := fleet.RouterID("r1")
				ticket, err := n.turn(t.Context(), asking, r)
				require.NoError(t, err)
				if n.mostAsked() == asking {
					asking = "r2"
					ticket, err = n.turn(t.Context(), asking, r)
					require.NoError(t, err)
				}
				ticket.RecordLoad(time.Now(), load)
				if c.hasEvent {
					ticket.RecordFirstEvent(time.Now())
				}
				if c.outcome != 0 {
					ticket.End(time.Now(), c.outcome)
				}
				time.Sleep(2 * messageDelay)
				require.Equal(t, map[fleet.RouterID][]pace.Slowdown{n.mostAsked(): {2.5}}, n.knownSlowdowns())
			})
		})
	}
}

// Guards against upstreams that count as slow at a new home after the former one has died, and against a note that
// gets lost and leaves the home with an old figure for ever.
func TestNewHomeStartsAsUsual(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 1)
		asking := fleet.RouterID("r1")
		_, err := n.turn(t.Context(), asking, requestFor(1, 2))
		require.NoError(t, err)
		former := n.mostAsked()
		if former == asking {
			asking = "r2"
		}
		ticket, err := n.turn(t.Context(), asking, requestFor(1, 3))
		require.NoError(t, err)
		ticket.RecordLoad(time.Now(), pace.Statement{Slowdown: pace.Max})
		ticket.RecordFirstEvent(time.Now())
		time.Sleep(2 * messageDelay)
		require.Contains(t, n.knownSlowdowns(), former)
		n.setIsolated(former, true)
		other, err := n.turn(t.Context(), asking, requestFor(1, 4))
		require.NoError(t, err)
		other.RecordLoad(time.Now(), pace.Statement{Slowdown: 2})
		other.RecordFirstEvent(time.Now())
		time.Sleep(2 * target)
		for _, slowdowns := range n.knownSlowdowns() {
			require.InDelta(t, 1, float64(slowdowns[0]), 0.05, "faded")
		}
		require.Len(t, n.knownSlowdowns(), 2)
	})
}
