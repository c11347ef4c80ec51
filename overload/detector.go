// Package overload tells whether a router has too little processor time for what
// callers bring to it.
//
// It answers a flood of callers that the balancer sends to one small router, more
// than it can serve or even refuse. What it has to do lines up, and requests are
// read and events passed on late: callers have left, upstreams that have left since
// get requests, and nobody at the router is served in time.
//
// A Detector needs no clock and no network; times are passed in.
package overload

import (
	"sync"
	"time"
)

const (
	// overloadedAfter is how long goroutines wait for the processor, on the mean of
	// late, from which a router that refuses a large part has too little of it, and
	// recoveredAfter that below which it has enough again. They are the waits at which it
	// takes less and more.
	overloadedAfter = pressedAfter
	recoveredAfter  = relievedAfter
	// leastHold is how long the router stays overloaded at least: the balancer needs
	// two of its questions, a second apart, to notice.
	leastHold = 2500 * time.Millisecond
	// A router that is overloaded again within relapse of its recovery is so for twice
	// as long, up to mostHold. The balancer brings a flood back as soon as its first
	// router is ready, and with a fixed time it goes to and fro between two routers,
	// each of which loses connections and callers at each change.
	relapse  = 10 * time.Second
	mostHold = 20 * time.Second
	// waitWeight is that of the latest look, 20 of which are made in a second.
	waitWeight = 0.25
)

// Detector tells whether the router gets enough processor time. Its zero value is a
// router that does. It is safe for concurrent use.
type Detector struct {
	mu        sync.Mutex
	steady    steady
	wait      time.Duration
	hold      time.Duration
	since     time.Time
	recovered time.Time
	is        bool
}

// Observe takes how long goroutines waited for the processor of late. It returns
// whether that changed what IsOverloaded says.
func (d *Detector) Observe(now time.Time, wait time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wait += time.Duration(waitWeight * float64(d.steady.observe(wait)-d.wait))
	switch {
	case !d.is && d.wait >= overloadedAfter:
		d.begin(now)
		return true
	case d.is && d.wait < recoveredAfter && now.Sub(d.since) >= d.hold:
		d.is = false
		d.recovered = now
		return true
	}
	return false
}

func (d *Detector) begin(now time.Time) {
	isRelapse := d.hold > 0 && now.Sub(d.recovered) < relapse
	if isRelapse {
		d.hold = min(2*d.hold, mostHold)
	} else {
		d.hold = leastHold
	}
	d.is = true
	d.since = now
}

// IsOverloaded reports whether the router has too little processor time.
func (d *Detector) IsOverloaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.is
}

// Wait returns how long goroutines wait for the processor, on the mean of late.
func (d *Detector) Wait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wait
}
