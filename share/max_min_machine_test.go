package share_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/share"
)

// Guards against a limit that hands out more than the amount, or less than the claims allow,
// for any claims including none.
func TestMaxMinLimitOfAnyClaims(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		claims := rapid.SliceOfN(rapid.Float64Range(0, 1e9), 0, 8).Draw(t, "claims")
		amount := rapid.Float64Range(0, 1e9).Draw(t, "amount")
		asked := 0.0
		for _, claim := range claims {
			asked += claim
		}
		limit := share.MaxMinLimit(claims, amount)
		given := 0.0
		for _, claim := range claims {
			given += min(claim, limit)
		}
		require.InDelta(t, min(asked, amount), given, 1e-3)
	})
}
