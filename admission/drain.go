package admission

import (
	"math"
	"time"
)

const (
	// drainMemory is the time constant of the rate: two usual residences, since
	// slots come free in lumps a residence apart after a burst.
	drainMemory = 30 * time.Second
	// drainKnown is how long work must have waited until the rate counts.
	drainKnown = 5 * time.Second
	// doubt is how many standard deviations the highest rate is above the mean,
	// while starts are few. An account has some three starts in the memory at
	// one router of six. In the virtual-time model, where few accounts have most
	// of the load and nobody waits for 120 s, the mean of the last 10 s refused
	// 5,711 requests beside 15,012 answered; this refuses 2.
	doubt = 2
	// enough is how many starts leave no doubt. Doubt that stayed would let in
	// a little too much for ever under saturation, and all that was let in would
	// be started just after its deadline.
	enough = 20
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
	return d.per(d.starts)
}

// Most returns the highest rate that the starts seen allow for, and zero while
// too little is known. A request that is judged by it is refused only if its
// turn would come too late even at that rate.
func (d *Drain) Most(now time.Time) float64 {
	d.advance(now)
	left := max(1-d.starts/enough, 0)
	return d.per(d.starts + left*doubt*math.Sqrt(d.starts+1))
}

// per returns starts over the time in which work waited.
func (d *Drain) per(starts float64) float64 {
	if d.span < drainKnown.Seconds() {
		return 0
	}
	// A queue from which nothing was started at all is a stall and not an
	// unknown rate, so that the least rate stands in for zero.
	return max(starts/d.span, 1/(10*drainMemory.Seconds()))
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
