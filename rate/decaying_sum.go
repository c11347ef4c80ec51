// Package rate provides exponentially decaying sums and peaks.
package rate

import (
	"math"
	"time"
)

// DecayingSum is a sum that decays exponentially: it falls by a factor of e in each time
// constant, which is passed to every call. Its zero value is zero. It is not safe for
// concurrent use.
type DecayingSum struct {
	amount    float64
	updatedAt time.Time
}

// At returns the decayed sum at now.
func (s *DecayingSum) At(now time.Time, timeConstant time.Duration) float64 {
	if s.amount == 0 {
		return 0
	}
	return s.amount * math.Exp(-now.Sub(s.updatedAt).Seconds()/timeConstant.Seconds())
}

// Add adds an amount, which may be negative. The sum never falls below zero.
func (s *DecayingSum) Add(now time.Time, timeConstant time.Duration, amount float64) {
	s.amount = max(s.At(now, timeConstant)+amount, 0)
	s.updatedAt = now
}
