package share

import (
	"math"
	"slices"
)

// MaxMinLimit returns the max-min fair limit for dividing an amount among claims: claims up
// to the limit are met in full, and the others get the limit each. It is +Inf if there
// are no claims or the amount exceeds their sum. MaxMinLimit sorts claims in place.
func MaxMinLimit(claims []float64, amount float64) float64 {
	slices.Sort(claims)
	for i, claim := range claims {
		even := amount / float64(len(claims)-i)
		if claim >= even {
			return even
		}
		amount -= claim
	}
	return math.Inf(1)
}
