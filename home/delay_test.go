package home_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/turn"
)

// turnsOfManyGroups requests turns of all homes, one each 10 ms.
func (n *network) turnsOfManyGroups(t *testing.T, router fleet.RouterID) {
	t.Helper()
	var requests sync.WaitGroup
	for prefix := range uint64(40) {
		requests.Go(func() {
			ticket, err := n.turn(t.Context(), router, requestFor(prefix, 1000+prefix))
			if err == nil {
				ticket.End(time.Now(), turn.Served)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	requests.Wait()
}

// A router whose link is full hears from all homes late. Guards against a router that
// doesn't notice, and against one that takes a single slow home for its own link.
func TestAnswerDelayShowsAFullLink(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const slow = 300 * time.Millisecond
		n := startNetwork(20, 60)
		require.Zero(t, n.routers["r0"].AnswerDelay(time.Now()), "nothing was asked")
		n.turnsOfManyGroups(t, "r0")
		require.Less(t, n.routers["r0"].AnswerDelay(time.Now()), 20*time.Millisecond)
		n.setReadDelay("r1", slow)
		n.turnsOfManyGroups(t, "r0")
		require.Less(t, n.routers["r0"].AnswerDelay(time.Now()), 20*time.Millisecond, "one slow home")
		n.setReadDelay("r0", slow)
		n.turnsOfManyGroups(t, "r0")
		require.GreaterOrEqual(t, n.routers["r0"].AnswerDelay(time.Now()), 100*time.Millisecond)
		time.Sleep(2 * time.Second)
		require.Zero(t, n.routers["r0"].AnswerDelay(time.Now()), "the samples are old")
	})
}
