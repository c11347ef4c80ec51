package fairness_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fairness"
)

func TestGapIsTheRangeOverAnyInterval(t *testing.T) {
	t.Parallel()
	gap := fairness.New(2)
	both := []bool{true, true}
	gap.Sample([]float64{100, 0}, both)
	require.Zero(t, gap.Widest(), "service received before both had work waiting does not count")
	gap.Sample([]float64{110, 30}, both)
	gap.Sample([]float64{150, 40}, both)
	require.InDelta(t, 30, gap.Widest(), 0)

	gap.Sample([]float64{900, 40}, []bool{true, false})
	gap.Sample([]float64{905, 40}, both)
	require.InDelta(t, 30, gap.Widest(), 0, "service received while the other account has no work waiting does not count")
}
