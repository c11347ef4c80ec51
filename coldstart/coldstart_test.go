package coldstart_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/coldstart"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against more requests in any second than two owners may send together, and against a limit
// that leaves much of the declared rate unused.
func TestLimitHoldsInEachSecond(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 60).Draw(t, "rate")
		tolerance := coldstart.Tolerance{Factor: rapid.Float64Range(1, 2).Draw(t, "factor"), Slack: rapid.Float64Range(1, 8).Draw(t, "slack")}
		limit := tolerance.Limit(rate)
		var limiter coldstart.Limiter
		var sent []time.Time
		const tries, step = 4000, 5 * time.Millisecond
		for i := range tries {
			now := start.Add(time.Duration(i) * step)
			if limiter.Allows(now, limit) {
				limiter.Record(now, limit)
				sent = append(sent, now)
			}
		}
		bound := (rate*tolerance.Factor + tolerance.Slack) / 2
		require.LessOrEqual(t, float64(busiestSecond(sent)), max(bound, 1))
		used := float64(len(sent)) / (float64(tries) * step.Seconds())
		require.GreaterOrEqual(t, used, 0.85*min(rate, math.Floor(bound)), "requests a second")
		require.LessOrEqual(t, used, rate+1)
	})
}

// busiestSecond returns the most requests within any second.
func busiestSecond(sent []time.Time) int {
	most, first := 0, 0
	for i := range sent {
		for sent[i].Sub(sent[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestServiceWithoutRateIsNotLimited(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{0, -1, math.NaN()} {
		limit := coldstart.Tolerance{}.Limit(rate)
		var limiter coldstart.Limiter
		limiter.Record(start, limit)
		require.False(t, limit.IsSet())
		require.True(t, limiter.Allows(start, limit))
	}
}

// Guards against a limiter that forgets what was sent before the upstream became cold.
func TestRequestsBeforeTheColdStartCount(t *testing.T) {
	t.Parallel()
	limit := coldstart.Tolerance{}.Limit(4)
	var limiter coldstart.Limiter
	for i := range 10 {
		limiter.Record(start.Add(time.Duration(i)*10*time.Millisecond), limit)
	}
	now := start.Add(100 * time.Millisecond)
	require.False(t, limiter.Allows(now, limit))
	require.True(t, limiter.Allows(now.Add(limiter.Wait(now, limit)), limit))
}
