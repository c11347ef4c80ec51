package placement_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/placement"
)

// A fixed seed makes each run check the same cases.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

func TestPickWeighsLoadAgainstCache(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name       string
		candidates []placement.Candidate
		want       int
	}{
		{"least loaded", []placement.Candidate{{InFlight: 5, Limit: 10}, {InFlight: 4, Limit: 10}}, 1},
		{"by part of the limit", []placement.Candidate{{InFlight: 5, Limit: 10}, {InFlight: 6, Limit: 20}}, 1},
		{"cache outweighs a little load", []placement.Candidate{{InFlight: 5, Limit: 10, Affinity: 1}, {InFlight: 3, Limit: 10}}, 0},
		{"cache does not outweigh half a batch", []placement.Candidate{{InFlight: 9, Limit: 10, Affinity: 1}, {InFlight: 3, Limit: 10}}, 1},
		{"a full upstream is no candidate", []placement.Candidate{{InFlight: 10, Limit: 10, Affinity: 1}, {InFlight: 9, Limit: 10}}, 1},
		{"most room among equals", []placement.Candidate{{Limit: 4}, {Limit: 16}}, 1},
	}
	for _, c := range cases {
		got, ok := placement.CacheAffinity{}.Pick(c.candidates)
		require.True(t, ok, c.name)
		require.Equal(t, c.want, got, c.name)
	}
}

func TestPickFindsRoomWheneverThereIsSome(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOf(rapid.Custom(func(t *rapid.T) placement.Candidate {
			return placement.Candidate{
				InFlight: rapid.IntRange(0, 4).Draw(t, "in flight"),
				Limit:    rapid.IntRange(0, 4).Draw(t, "limit"),
				Affinity: rapid.Float64Range(0, 1).Draw(t, "affinity"),
			}
		})).Draw(t, "candidates")
		room := false
		for _, c := range candidates {
			room = room || c.InFlight < c.Limit
		}
		for _, policy := range []placement.Policy{placement.CacheAffinity{}, placement.LeastLoaded{}} {
			i, ok := policy.Pick(candidates)
			require.Equal(t, room, ok)
			require.True(t, !ok || candidates[i].InFlight < candidates[i].Limit)
		}
	})
}

// One prefix makes up most of the load. With cache affinity alone, all requests would wait
// at one upstream while the others idle; with load alone, every upstream would compute the
// prefix and evict other prefixes.
func TestPopularPrefixSpreadsOnlyUnderLoad(t *testing.T) {
	t.Parallel()
	place := func(policy placement.Policy, requests int) map[int]int {
		counts := make(map[int]int)
		cached := make([]float64, 10)
		inFlight := make([]int, 10)
		for range requests {
			candidates := make([]placement.Candidate, 10)
			for i := range candidates {
				candidates[i] = placement.Candidate{Upstream: fleet.ShortID(i), InFlight: inFlight[i], Limit: 16, Affinity: cached[i]}
			}
			placement.AddPreferredAffinity(42, candidates)
			i, ok := policy.Pick(candidates)
			if !ok {
				break
			}
			cached[i] = 1
			inFlight[i]++
			counts[i]++
		}
		return counts
	}
	require.Len(t, place(placement.CacheAffinity{}, 6), 1)
	require.Len(t, place(placement.LeastLoaded{}, 6), 6, "the baseline computes it six times")
	require.Len(t, place(placement.CacheAffinity{}, 160), 10)
	for _, count := range place(placement.CacheAffinity{}, 160) {
		require.Equal(t, 16, count)
	}
}

func TestDispatchersPreferTheSameUpstream(t *testing.T) {
	t.Parallel()
	chosen := make(map[fleet.ShortID]bool)
	for prefix := uint64(1); prefix < 200; prefix++ {
		forward := []placement.Candidate{{Upstream: 1, Limit: 9}, {Upstream: 2, Limit: 9}, {Upstream: 3, Limit: 9}}
		backward := []placement.Candidate{{Upstream: 3, Limit: 9}, {Upstream: 2, Limit: 9}, {Upstream: 1, Limit: 9}}
		placement.AddPreferredAffinity(prefix, forward)
		placement.AddPreferredAffinity(prefix, backward)
		i, _ := placement.CacheAffinity{}.Pick(forward)
		j, _ := placement.CacheAffinity{}.Pick(backward)
		require.Equal(t, forward[i].Upstream, backward[j].Upstream)
		chosen[forward[i].Upstream] = true
	}
	require.Len(t, chosen, 3)
}
