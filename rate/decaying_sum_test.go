package rate_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/rate"
)

func TestDecayingSumDecays(t *testing.T) {
	t.Parallel()
	now := time.Unix(0, 0)
	var r rate.DecayingSum
	require.Zero(t, r.At(now, time.Second))
	r.Add(now, time.Second, 10)
	require.InDelta(t, 10, r.At(now, time.Second), 1e-9)
	now = now.Add(time.Second)
	require.InDelta(t, 10/math.E, r.At(now, time.Second), 1e-9)
	r.Add(now, time.Second, 5)
	require.InDelta(t, 10/math.E+5, r.At(now, time.Second), 1e-9)
	r.Add(now, time.Second, -100)
	require.Zero(t, r.At(now, time.Second))
}

// At a steady rate the sum is the number of events within one time constant.
func TestDecayingSumFollowsASteadyRate(t *testing.T) {
	t.Parallel()
	now := time.Unix(0, 0)
	var r rate.DecayingSum
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		r.Add(now, time.Second, 1)
	}
	require.InDelta(t, 100, r.At(now, time.Second), 1)
}
