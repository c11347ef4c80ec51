package prefix_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/prefix"
)

var epoch = time.Unix(1_800_000_000, 0)

const testUpstream fleet.ShortID = 7

func storedEvents(first uint64, prefixes ...uint64) []prefix.Event {
	events := make([]prefix.Event, len(prefixes))
	for i, p := range prefixes {
		events[i] = prefix.Event{Sequence: first + uint64(i), Kind: prefix.Stored, Prefix: p}
	}
	return events
}

func TestAffinityIsThePartOfThePrompt(t *testing.T) {
	t.Parallel()
	var index prefix.Index
	index.Apply(epoch, testUpstream, storedEvents(1, 11, 12))
	require.InDelta(t, 0.5, index.Affinity(epoch, testUpstream, []uint64{11, 12, 13, 14}), 0)
	require.InDelta(t, 1, index.Affinity(epoch, testUpstream, []uint64{11, 12}), 0)
	require.Zero(t, index.Affinity(epoch, testUpstream, []uint64{99}))
	require.Zero(t, index.Affinity(epoch, testUpstream, nil))
	require.Zero(t, index.Affinity(epoch, 8, []uint64{11}))
}

// Guards against placing a burst as if nothing were cached: its requests are placed within
// milliseconds, while the event that the first one's prefix was stored arrives seconds
// later.
func TestSentPrefixesCountBeforeStoredEvents(t *testing.T) {
	t.Parallel()
	var index prefix.Index
	index.RecordSent(epoch, testUpstream, []uint64{11, 12})
	require.InDelta(t, 1, index.Affinity(epoch.Add(time.Second), testUpstream, []uint64{11, 12}), 0)
	require.Zero(t, index.Affinity(epoch.Add(time.Minute), testUpstream, []uint64{11, 12}), "no event confirmed it")
}

// Guards against trusting a cache entry whose eviction event may have been lost in a gap.
func TestGapHalvesTrustUntilConfirmed(t *testing.T) {
	t.Parallel()
	var index prefix.Index
	index.Apply(epoch, testUpstream, storedEvents(1, 11, 12))
	later := epoch.Add(time.Second)
	index.Apply(later, testUpstream, storedEvents(9, 13))
	require.InDelta(t, 0.5, index.Affinity(later, testUpstream, []uint64{11}), 0)
	index.Apply(later.Add(time.Second), testUpstream, storedEvents(10, 11))
	require.InDelta(t, 1, index.Affinity(later.Add(time.Second), testUpstream, []uint64{11}), 0)
}

func TestDuplicateEventsAreIgnored(t *testing.T) {
	t.Parallel()
	var index prefix.Index
	index.Apply(epoch, testUpstream, storedEvents(1, 11))
	index.Apply(epoch, testUpstream, []prefix.Event{{Sequence: 2, Kind: prefix.Evicted, Prefix: 11}})
	index.Apply(epoch, testUpstream, storedEvents(1, 11))
	require.Zero(t, index.Affinity(epoch, testUpstream, []uint64{11}))
	require.Equal(t, uint64(2), index.Sequence(testUpstream))
}

func TestEntriesAgeOut(t *testing.T) {
	t.Parallel()
	var index prefix.Index
	index.Apply(epoch, testUpstream, storedEvents(1, 11))
	require.InDelta(t, 1, index.Affinity(epoch.Add(9*time.Minute), testUpstream, []uint64{11}), 0)
	require.Zero(t, index.Affinity(epoch.Add(10*time.Minute), testUpstream, []uint64{11}))
}

func TestMemoryIsBounded(t *testing.T) {
	t.Parallel()
	index := prefix.Index{Capacity: 3}
	for hash := range uint64(100) {
		index.RecordSent(epoch, testUpstream, []uint64{hash})
	}
	require.Equal(t, 3, index.Len(testUpstream))
	require.Zero(t, index.Affinity(epoch, testUpstream, []uint64{96}))
	require.InDelta(t, 1, index.Affinity(epoch, testUpstream, []uint64{97}), 0)
	index.Forget(testUpstream)
	require.Zero(t, index.Len(testUpstream))
}
