// Package rate provides exponentially decaying sums and peaks.
package rate

import (
	"math"
	"time"
)

// DecayingSum is a sum that decays exponentially: it falls by a factor of e in each time
// constant, which every call is given. Its zero value is zero. It is not safe for
// concurrent use.
type DecayingSum struct {
	amount    float64
	updatedAt time.Time
}

// At returns the decayed sum at now.
func (r *DecayingSum) At(now time.Time, timeConstant time.Duration) float64 {
	if r.amount == 0 {
		return 0
	}
	return r.amount * math.Exp(-now.Sub(r.updatedAt).Seconds()/timeConstant.Seconds())
}

// Add adds an amount, which may be negative. The sum never falls below zero.
func (r *DecayingSum) Add(now time.Time, timeConstant time.Duration, amount float64) {
	r.amount = max(r.At(now, timeConstant)+amount, 0)
	r.updatedAt = now
}
