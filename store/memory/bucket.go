package memory

import "time"

// bucket is a token bucket that holds one second's worth of operations. Its
// zero value has no bound.
type bucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

// take uses one operation up and reports whether there was one.
func (b *bucket) take(now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	if b.last.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
