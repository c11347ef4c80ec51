package outlier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/outlier"
)

var start = time.Unix(1_800_000_000, 0)

// play sends requests to n upstreams in turn, one each 10 ms, of which those
// below failing fail with a probability, and counts the requests by upstream.
func play(n, failing int, probability float64, base float64) (sent []int, failures int) {
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
		d.Try(now, key)
		rate := base
		if key < failing {
			rate = probability
		}
		if random.Float64() < rate {
			failures++
			d.Failure(now, key, outlier.Soft)
			continue
		}
		d.Success(key)
	}
	return sent, failures
}

// One of nine upstreams fails nearly half of its requests, quickly, while its
// health check is good. Taken in turn it would fail 150 callers' requests of
// 3,000; it is left alone after a few, and tried now and then.
func TestUpstreamThatFailsOftenIsLeft(t *testing.T) {
	t.Parallel()
	sent, failures := play(9, 1, 0.45, 0)
	require.Less(t, sent[0], 170)
	require.Less(t, failures, 75)
}

// All upstreams fail nearly half of their requests, since what they depend on
// is down. Were they all taken out, the rest of the requests would have
// nowhere to go, or all go to the last.
func TestFailureOfAllTakesNoneOut(t *testing.T) {
	t.Parallel()
	sent, _ := play(6, 6, 0.45, 0)
	for _, count := range sent {
		require.InDelta(t, 500, count, 300)
	}
}

// An application answers 14 in 100 reads with an error of its own. That is no
// reason to leave it.
func TestUsualErrorsAreNoReasonToLeave(t *testing.T) {
	t.Parallel()
	sent, _ := play(3, 0, 0, 0.14)
	for _, count := range sent {
		require.InDelta(t, 1_000, count, 200)
	}
}

// A machine is dead: its connections can't be opened. The first one that fails
// is enough, and the tries become rarer.
func TestDeadUpstreamIsLeftAtOnceAndTriedRarely(t *testing.T) {
	t.Parallel()
	var d outlier.Detector[string]
	require.True(t, d.Failure(start, "a", outlier.Hard))
	tries := 0
	for i := range 2_000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if !d.Usable(now, "a") {
			continue
		}
		tries++
		d.Try(now, "a")
		d.Failure(now, "a", outlier.Hard)
	}
	require.InDelta(t, 7, tries, 3)
	later := start.Add(time.Minute)
	require.True(t, d.Usable(later, "a"))
	d.Try(later, "a")
	require.False(t, d.Usable(later, "a"), "a second request while the first tries")
	d.Success("a")
	require.True(t, d.Usable(later, "a"))
}
