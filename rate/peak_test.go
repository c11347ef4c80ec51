package rate_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/rate"
)

func TestPeak(t *testing.T) {
	t.Parallel()
	now := time.Unix(0, 0)
	var p rate.Peak
	require.Zero(t, p.At(now, time.Second))
	p.Raise(now, time.Second, 10)
	p.Raise(now, time.Second, 4)
	require.InDelta(t, 10, p.At(now, time.Second), 1e-9)
	now = now.Add(time.Second)
	p.Raise(now, time.Second, 1)
	require.InDelta(t, 10/math.E, p.At(now, time.Second), 1e-9)
	p.Raise(now, time.Second, 6)
	require.InDelta(t, 6, p.At(now, time.Second), 1e-9)
	p.Add(now, time.Second, 1)
	require.InDelta(t, 7, p.At(now, time.Second), 1e-9)
}
