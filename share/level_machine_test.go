package share_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/share"
)

// Guards against a limit that gives away more than the amount, or less than it could, for
// any claims including none.
func TestLevelOfAnyClaims(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		claims := rapid.SliceOfN(rapid.Float64Range(0, 1e9), 0, 8).Draw(t, "claims")
		amount := rapid.Float64Range(0, 1e9).Draw(t, "amount")
		asked := 0.0
		for _, claim := range claims {
			asked += claim
		}
		level := share.MaxMinLimit(claims, amount)
		given := 0.0
		for _, claim := range claims {
			given += min(claim, level)
		}
		require.InDelta(t, min(asked, amount), given, 1e-3)
	})
}
