package prefix_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/prefix"
)

var epoch = time.Unix(1_800_000_000, 0)

const upstream fleet.Number = 7

func stored(first uint64, prefixes ...uint64) []prefix.Event {
	events := make([]prefix.Event, len(prefixes))
	for i, p := range prefixes {
		events[i] = prefix.Event{Sequence: first + uint64(i), Kind: prefix.Stored, Prefix: p}
	}
	return events
}

func TestAffinityIsThePartOfThePrompt(t *testing.T) {
	t.Parallel()
	var index prefix.Index
	index.Apply(epoch, upstream, stored(1, 11, 12))
	require.InDelta(t, 0.5, index.Affinity(epoch, upstream, []uint64{11, 12, 13, 14}), 0)
	require.InDelta(t, 1, index.Affinity(epoch, upstream, []uint64{11, 12}), 0)
	require.Zero(t, index.Affinity(epoch, upstream, []uint64{99}))
	require.Zero(t, index.Affinity(epoch, upstream, nil))
	require.Zero(t, index.Affinity(epoch, 8, []uint64{11}))
}

// Requests of a burst are placed within milliseconds, and the event that says
// that the first stored its beginning comes seconds later. Without counting
// what was sent, each would be placed as if nothing were cached.
func TestWhatWasSentCountsBeforeTheEvent(t *testing.T) {
	t.Parallel()
	var index prefix.Index
	index.Sent(epoch, upstream, []uint64{11, 12})
	require.InDelta(t, 1, index.Affinity(epoch.Add(time.Second), upstream, []uint64{11, 12}), 0)
	require.Zero(t, index.Affinity(epoch.Add(time.Minute), upstream, []uint64{11, 12}), "no event confirmed it")
}

// Events are lost, among them perhaps evictions. Trusting what was stored
// before the gap would send requests after a cache that is gone.
func TestGapHalvesTrustUntilConfirmed(t *testing.T) {
	t.Parallel()
	var index prefix.Index
	index.Apply(epoch, upstream, stored(1, 11, 12))
	later := epoch.Add(time.Second)
	index.Apply(later, upstream, stored(9, 13))
	require.InDelta(t, 0.5, index.Affinity(later, upstream, []uint64{11}), 0)
	index.Apply(later.Add(time.Second), upstream, stored(10, 11))
	require.InDelta(t, 1, index.Affinity(later.Add(time.Second), upstream, []uint64{11}), 0)
}

func TestLateEventsAreAppliedOnce(t *testing.T) {
	t.Parallel()
	var index prefix.Index
	index.Apply(epoch, upstream, stored(1, 11))
	index.Apply(epoch, upstream, []prefix.Event{{Sequence: 2, Kind: prefix.Evicted, Prefix: 11}})
	index.Apply(epoch, upstream, stored(1, 11))
	require.Zero(t, index.Affinity(epoch, upstream, []uint64{11}))
	require.Equal(t, uint64(2), index.Sequence(upstream))
}

func TestEntriesAgeOut(t *testing.T) {
	t.Parallel()
	var index prefix.Index
	index.Apply(epoch, upstream, stored(1, 11))
	require.InDelta(t, 1, index.Affinity(epoch.Add(9*time.Minute), upstream, []uint64{11}), 0)
	require.Zero(t, index.Affinity(epoch.Add(10*time.Minute), upstream, []uint64{11}))
}

func TestMemoryIsBounded(t *testing.T) {
	t.Parallel()
	index := prefix.Index{Capacity: 3}
	for block := range uint64(100) {
		index.Sent(epoch, upstream, []uint64{block})
	}
	require.Equal(t, 3, index.Len(upstream))
	require.Zero(t, index.Affinity(epoch, upstream, []uint64{96}))
	require.InDelta(t, 1, index.Affinity(epoch, upstream, []uint64{97}), 0)
	index.Forget(upstream)
	require.Zero(t, index.Len(upstream))
}
