// Package inflight limits how many requests are in flight at one upstream.
//
// It matters under saturation, when every slot that an upstream seems to have is used at
// once. Engines accept all requests: with too high a limit requests queue inside the engine,
// which serves them in order of arrival and not in a fair order; with too low a limit the
// batch isn't full and capacity is idle while requests wait. Adaptive looks for the knee
// between the two, where the batch is full and nothing queues inside.
package inflight

import (
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
)

// Sample is the result of one request as evidence about its upstream.
type Sample struct {
	Result            dispatch.Result
	FirstTokenLatency time.Duration
	// InFlight is the number of requests in flight when the request was sent.
	InFlight int
}

// Load is an upstream's own report of its load, which arrives with a delay.
type Load struct {
	Running int
	Queued  int
	// CacheUsed is the used share of the KV cache, from 0 to 1.
	CacheUsed float64
	// MeasuredAt is when the upstream measured its load.
	MeasuredAt time.Time
	Draining   bool
}

// Limiter adapts the number of requests in flight at one upstream. It isn't safe for
// concurrent use.
type Limiter interface {
	// Limit returns how many requests may be in flight at now.
	Limit(now time.Time) int
	// RecordResult updates the limit from the result of one request.
	RecordResult(now time.Time, sample Sample)
	// UpdateLoad updates the limit from the upstream's own report. own is how many of the
	// reported requests are this dispatcher's; the others belong to other dispatchers.
	UpdateLoad(now time.Time, load Load, own int)
}

// Fixed is a Limiter with a constant limit, at least 1. It is the baseline for comparisons
// with Adaptive.
type Fixed int

// Limit returns the constant limit.
func (f Fixed) Limit(time.Time) int { return max(int(f), 1) }

// RecordResult does nothing.
func (Fixed) RecordResult(time.Time, Sample) {}

// UpdateLoad does nothing.
func (Fixed) UpdateLoad(time.Time, Load, int) {}
