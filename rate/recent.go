// Package rate counts what happened of late.
package rate

import (
	"math"
	"time"
)

// Recent is an amount that is forgotten little by little: it falls by a factor of e in
// each memory. Its zero value is nothing. It isn't safe for concurrent use.
type Recent struct {
	amount float64
	as     time.Time
}

// At returns the amount that is left.
func (r *Recent) At(now time.Time, memory time.Duration) float64 {
	if r.amount == 0 {
		return 0
	}
	return r.amount * math.Exp(-now.Sub(r.as).Seconds()/memory.Seconds())
}

// Add adds an amount, or takes it off when it is negative. Less than nothing is never
// left.
func (r *Recent) Add(now time.Time, memory time.Duration, amount float64) {
	r.amount = max(r.At(now, memory)+amount, 0)
	r.as = now
}
