package outlier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/outlier"
)

var start = time.Unix(1_800_000_000, 0)

// simulate sends a request every 10 ms to n upstreams in turn. Those below failing fail
// with the given probability, the others with the base probability. It returns the
// number of requests per upstream and of all failures.
func simulate(n, failing int, probability float64, base float64) (sent []int, failures int) {
	var d outlier.Detector[int]
	random := rand.New(rand.NewPCG(1, 2))
	sent = make([]int, n)
	for i := range 3_000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		key := -1
		for step := range n {
			if candidate := (i + step) % n; d.Usable(now, candidate) {
				key = candidate
				break
			}
		}
		if key < 0 {
			key = i % n
		}
		sent[key]++
		d.RecordSend(now, key)
		rate := base
		if key < failing {
			rate = probability
		}
		if random.Float64() < rate {
			failures++
			d.RecordFailure(now, key, outlier.Soft)
			continue
		}
		d.RecordSuccess(now, key)
	}
	return sent, failures
}

// One of nine upstreams fails nearly half of its requests, quickly, while its health
// check passes. In plain rotation it would fail 150 of 3,000 requests; it must be
// ejected after a few and only probed from time to time.
func TestUpstreamThatFailsOftenIsEjected(t *testing.T) {
	t.Parallel()
	sent, failures := simulate(9, 1, 0.45, 0)
	require.Less(t, sent[0], 170)
	require.Less(t, failures, 75)
}

// All upstreams fail nearly half of their requests, since a dependency of theirs is
// down. If they were ejected, requests would have no upstream left, or all go to the
// last one.
func TestFailureOfAllEjectsNone(t *testing.T) {
	t.Parallel()
	sent, _ := simulate(6, 6, 0.45, 0)
	for _, count := range sent {
		require.InDelta(t, 500, count, 300)
	}
}

// An application that answers 14 in 100 reads with an error of its own must not be
// ejected.
func TestUsualErrorsDoNotEject(t *testing.T) {
	t.Parallel()
	sent, _ := simulate(3, 0, 0, 0.14)
	for _, count := range sent {
		require.InDelta(t, 1_000, count, 200)
	}
}

// Connections to a dead machine can't be opened. The first failure must eject it, and
// probes must become rarer.
func TestDeadUpstreamIsEjectedAtOnceAndProbedRarely(t *testing.T) {
	t.Parallel()
	var d outlier.Detector[string]
	require.True(t, d.RecordFailure(start, "a", outlier.Hard))
	probes := 0
	for i := range 2_000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if !d.Usable(now, "a") {
			continue
		}
		probes++
		d.RecordSend(now, "a")
		d.RecordFailure(now, "a", outlier.Hard)
	}
	require.InDelta(t, 7, probes, 3)
	later := start.Add(time.Minute)
	require.True(t, d.Usable(later, "a"))
	d.RecordSend(later, "a")
	require.False(t, d.Usable(later, "a"), "a second request during a probe")
	d.RecordSuccess(later, "a")
	require.True(t, d.Usable(later, "a"))
}

// Guards against an upstream that has asked for a pause and gets requests at full rate as soon as one that was sent
// before is answered, or as soon as the pause is over.
func TestHeldUpstreamIsProbedAfterwards(t *testing.T) {
	t.Parallel()
	var d outlier.Detector[string]
	end := start.Add(3 * time.Second)
	d.Hold("a", end)
	d.RecordSuccess(start.Add(time.Second), "a")
	require.False(t, d.Usable(start.Add(2*time.Second), "a"))
	require.True(t, d.Usable(end, "a"))
	d.RecordSend(end, "a")
	require.False(t, d.Usable(end, "a"), "a second request during the probe")
	d.RecordSuccess(end, "a")
	require.True(t, d.Usable(end, "a"))
}
