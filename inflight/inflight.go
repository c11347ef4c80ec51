// Package inflight decides how many requests one upstream is sent at a time.
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
