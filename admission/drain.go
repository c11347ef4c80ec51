package admission

import (
	"math"
	"time"
)

const (
	// drainMemory is the time constant of the rate: a few usual residences
	// would lag behind a burst, a second would follow single starts.
	drainMemory = 10 * time.Second
	// drainKnown is how long work must have waited until the rate counts.
	drainKnown = time.Second
)

// Drain measures the rate at which one account's requests are started while
// some wait. Time in which none waits does not count, since a rate of
// arrivals says nothing about how fast a queue empties. A stall does count:
// the rate falls while work waits and none is started. Its zero value is ready
// to use.
type Drain struct {
	starts float64
	span   float64 // seconds in which work waited, discounted like starts
	at     time.Time
	waits  bool
}

// Waits says whether any of the account's requests wait from now on.
func (d *Drain) Waits(now time.Time, waits bool) {
	d.advance(now)
	d.waits = waits
}

// Started counts a request that got its turn.
func (d *Drain) Started(now time.Time) {
	d.advance(now)
	d.starts++
}

// Rate returns the requests started per second of waiting, and zero while too
// little is known.
func (d *Drain) Rate(now time.Time) float64 {
	d.advance(now)
	if d.span < drainKnown.Seconds() {
		return 0
	}
	// A queue from which nothing was started at all is a stall and not an
	// unknown rate, so that the least rate stands in for zero.
	return max(d.starts/d.span, 1/(10*drainMemory.Seconds()))
}

func (d *Drain) advance(now time.Time) {
	elapsed := now.Sub(d.at).Seconds()
	if d.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	d.at = now
	if !d.waits {
		return
	}
	memory := drainMemory.Seconds()
	kept := math.Exp(-elapsed / memory)
	d.starts *= kept
	d.span = d.span*kept + memory*(1-kept)
}
