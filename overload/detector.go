// Package overload detects that a router lacks processor time, or that its link is full,
// and refuses requests until it has enough again.
//
// It protects a small router to which the load balancer sends more requests than it
// can serve or even refuse. Without it, work queues up: requests are read and events
// passed on late, requests are sent for callers or to upstreams that have already left,
// and every caller of the router is served late.
//
// A Detector needs no clock and no network: times are passed in.
package overload

import (
	"sync"
	"time"
)

const (
	// A router is overloaded once the mean wait of its goroutines for the processor
	// reaches overloadedWait, until it is below recoveredWait. The Shedder uses the same
	// two waits; the router passes waits to a Detector only while IsExhausted is true.
	overloadedWait = highWait
	recoveredWait  = lowWait
	// minHold is the shortest time for which the router stays overloaded: the load
	// balancer needs two health checks, a second apart, to notice.
	minHold = 2500 * time.Millisecond
	// Each time the router is overloaded again within relapseWindow of its recovery, the
	// hold doubles, up to maxHold. The load balancer sends a flood back as soon as its
	// first router is ready; with a fixed hold the flood would alternate between two
	// routers, and each would lose connections and callers at every change.
	relapseWindow = 10 * time.Second
	maxHold       = 20 * time.Second
	// waitWeight is the weight of the latest sample in the mean wait; 20 samples are
	// taken per second.
	waitWeight = 0.25
)

// Detector detects that the router is overloaded: that something waits for too long. Its
// zero value measures how long goroutines wait for the processor, and reports no overload.
// It is safe for concurrent use.
type Detector struct {
	// High is the mean wait from which on the router is overloaded, until it is below Low;
	// zero means overloadedWait and recoveredWait.
	High, Low time.Duration

	mu              sync.Mutex
	filter          spikeFilter
	meanWait        time.Duration
	hold            time.Duration
	overloadedSince time.Time
	recoveredAt     time.Time
	overloaded      bool
}

// Observe adds a sample of the wait. It reports whether the result of IsOverloaded changed.
func (d *Detector) Observe(now time.Time, wait time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	high, low := d.thresholds()
	d.meanWait += time.Duration(waitWeight * float64(d.filter.observe(wait)-d.meanWait))
	switch {
	case !d.overloaded && d.meanWait >= high:
		d.startOverload(now)
		return true
	case d.overloaded && d.meanWait < low && now.Sub(d.overloadedSince) >= d.hold:
		d.overloaded = false
		d.recoveredAt = now
		return true
	}
	return false
}

func (d *Detector) thresholds() (high, low time.Duration) {
	if d.High > 0 {
		return d.High, d.Low
	}
	return overloadedWait, recoveredWait
}

func (d *Detector) startOverload(now time.Time) {
	isRelapse := d.hold > 0 && now.Sub(d.recoveredAt) < relapseWindow
	if isRelapse {
		d.hold = min(2*d.hold, maxHold)
	} else {
		d.hold = minHold
	}
	d.overloaded = true
	d.overloadedSince = now
}

// IsOverloaded reports whether the router is overloaded.
func (d *Detector) IsOverloaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.overloaded
}

// MeanWait returns the mean of the recent waits.
func (d *Detector) MeanWait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.meanWait
}
