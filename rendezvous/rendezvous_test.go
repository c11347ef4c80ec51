package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

func routers(n int) []fleet.RouterID {
	nodes := make([]fleet.RouterID, n)
	for i := range nodes {
		nodes[i] = fleet.RouterID(fmt.Sprintf("router-%d", i))
	}
	return nodes
}

func TestPickOfNoNodes(t *testing.T) {
	t.Parallel()
	require.Empty(t, rendezvous.Pick(rendezvous.KeyOf("keeper", "a"), []fleet.RouterID(nil)))
}

func TestPickDoesNotDependOnOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		nodes := routers(rapid.IntRange(1, 60).Draw(t, "nodes"))
		key := rendezvous.KeyOfNumber("dispatcher", rapid.Uint64().Draw(t, "key"))
		shuffled := rapid.Permutation(nodes).Draw(t, "order")
		require.Equal(t, rendezvous.Pick(key, nodes), rendezvous.Pick(key, shuffled))
		require.Equal(t, rendezvous.Rank(key, nodes), rendezvous.Rank(key, shuffled))
	})
}

// Guards against moving keys of other nodes when a router is killed. With a hash modulo the
// number of routers, most accounts would change their keeper at once and the recorded
// service of all accounts would be lost together. Only the keys of the killed router may
// move, each to its second choice.
func TestOnlyTheKeysOfALostNodeMove(t *testing.T) {
	t.Parallel()
	nodes := routers(6)
	lost := nodes[2]
	remaining := slices.DeleteFunc(slices.Clone(nodes), func(n fleet.RouterID) bool { return n == lost })
	for number := range uint64(2000) {
		key := rendezvous.KeyOfNumber("keeper", number)
		before := rendezvous.Rank(key, nodes)
		after := rendezvous.Pick(key, remaining)
		if before[0] != lost {
			require.Equal(t, before[0], after)
			continue
		}
		require.Equal(t, before[1], after)
	}
}

func TestKeysSpreadEvenly(t *testing.T) {
	t.Parallel()
	const keys = 60_000
	nodes := routers(60)
	counts := make(map[fleet.RouterID]int)
	for number := range uint64(keys) {
		counts[rendezvous.Pick(rendezvous.KeyOfNumber("dispatcher", number), nodes)]++
	}
	for _, node := range nodes {
		require.InDelta(t, keys/len(nodes), counts[node], 160)
	}
}

func BenchmarkPick(b *testing.B) {
	nodes := routers(460)
	for i := range b.N {
		rendezvous.Pick(rendezvous.Key(i), nodes)
	}
}
