package share

import (
	"math"
	"slices"
)

// Level returns the max-min level of claims on an amount: those up to it are met
// whole, the others get as much as the level each. It is infinite when the amount is more
// than all claims. It reorders claims.
func Level(claims []float64, amount float64) float64 {
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
