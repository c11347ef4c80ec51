// Package inflight decides how many requests one upstream is sent at a time.
//
// It answers the load of saturation, in which every slot that an upstream
// seems to have is filled at once. Engines admit all that they are sent: with
// too high a limit requests queue inside the engine, where they are served in
// order of arrival and no fair order reaches them; with too low a limit its
// batch is not full and capacity idles while work waits. Adaptive looks for
// the knee between the two, where the batch is full and nothing queues inside.
package inflight

import (
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
)

// Sample is what one ended request tells about its upstream.
type Sample struct {
	Result     dispatch.Result
	FirstToken time.Duration
	// InFlight is how many were in flight when the request was sent.
	InFlight int
}

// Load is an upstream's own report, which lags.
type Load struct {
	Running int
	Queued  int
	// CacheUsed is the used part of the KV cache, from 0 to 1.
	CacheUsed float64
	// At is when the upstream took the figures.
	At       time.Time
	Draining bool
}

// Limiter adapts the number of requests in flight at one upstream. It is used
// by one goroutine.
type Limiter interface {
	// Limit returns how many requests may be in flight at now.
	Limit(now time.Time) int
	// Ended takes the evidence of one request.
	Ended(now time.Time, sample Sample)
	// Reported takes the upstream's own report; own is how many requests this
	// dispatcher had in flight then, so that the rest are another's.
	Reported(now time.Time, load Load, own int)
}

// Fixed is a Limiter that always allows the same number. It is the baseline
// of Adaptive. A Fixed below 1 allows one request.
type Fixed int

// Limit returns the fixed number.
func (f Fixed) Limit(time.Time) int { return max(int(f), 1) }

// Ended does nothing.
func (Fixed) Ended(time.Time, Sample) {}

// Reported does nothing.
func (Fixed) Reported(time.Time, Load, int) {}
