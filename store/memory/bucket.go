package memory

import "time"

// tokenBucket limits the rate of operations and allows a burst of one second's
// worth. The zero value is unlimited.
type tokenBucket struct {
	// rate is the number of operations per second.
	rate      float64
	tokens    float64
	updatedAt time.Time
}

// take consumes one token and reports whether one was available.
func (b *tokenBucket) take(now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	if b.updatedAt.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
