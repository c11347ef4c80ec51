package promptcache

import "time"

const (
	// lossEvidence is the number of requests in a row that have to show a loss. Two may have
	// met a slow moment each.
	lossEvidence = 3
	// maxDoublings bounds how often the evidence required is doubled, each time that a loss was
	// found less than lossMemory before. A machine that is slow for long looks like an engine
	// that loses its memory again and again.
	maxDoublings = 4
	lossMemory   = time.Minute
)

// LossDetector detects that an engine has lost what it kept, by the times to first events. Its
// zero value is ready for use.
type LossDetector struct {
	count int
	// latest is when the latest evidence arrived, and lostAt when the latest loss was found.
	latest, lostAt time.Time
	doublings      int
}

// Observe records the first event of a request that was sent at sentAt, and reports whether the
// engine has lost its memory. Uncached is the time that the event would have taken if the engine
// had kept nothing of the prompt.
//
// A request that was in flight when the latest evidence arrived is none: both may have met the
// same pause of the engine.
func (d *LossDetector) Observe(now, sentAt time.Time, uncached time.Duration) bool {
	if now.Sub(sentAt) < uncached {
		d.count = 0
		return false
	}
	if sentAt.Before(d.latest) {
		return false
	}
	d.count++
	d.latest = now
	if now.Sub(d.lostAt) >= lossMemory {
		d.doublings = 0
	}
	if d.count < lossEvidence<<d.doublings {
		return false
	}
	d.count, d.lostAt = 0, now
	d.doublings = min(d.doublings+1, maxDoublings)
	return true
}
