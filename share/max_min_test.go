package share_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/share"
)

func TestMaxMinLimit(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		claims []float64
		amount float64
		want   float64
	}{
		{"no claims", nil, 5, math.Inf(1)},
		{"more than all", []float64{3, 1, 2}, 6.5, math.Inf(1)},
		{"all are met", []float64{3, 1, 2}, 6, 3},
		{"even", []float64{10, 10}, 8, 4},
		{"a small claim is met whole", []float64{100, 1, 100}, 21, 10},
		{"nothing to share", []float64{2, 3}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			require.InDelta(t, c.want, share.MaxMinLimit(c.claims, c.amount), 1e-9)
		})
	}
}
