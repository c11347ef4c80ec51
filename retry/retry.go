// Package retry decides whether a failed attempt is followed by another.
//
// It answers a slow or failing upstream under load. Each failed request that
// is simply repeated adds to the load of the upstreams that still work; with
// two repeats each, a fleet at its limit that loses a third of its answers is
// asked for half as much again, and loses more. Budget bounds retries to a part
// of the first tries, and allows only those that do no harm.
package retry

import (
	"time"

	"nutmeglock.example/nutmeglock/refusal"
)

// Reason is why an attempt is repeated. Each has a counter of its own.
type Reason string

// The reasons for a retry.
const (
	ConnectFailed    Reason = "connect-failed"
	UpstreamRefused  Reason = "upstream-refused"
	UpstreamDraining Reason = "upstream-draining"
	BrokenBefore     Reason = "broken-before-answer"
	StreamBroken     Reason = "stream-broken"
	AnsweredError    Reason = "answered-error"
	UpstreamSilent   Reason = "upstream-silent"
)

// Reasons lists every reason, for counters that start at zero.
func Reasons() []Reason {
	return []Reason{ConnectFailed, UpstreamRefused, UpstreamDraining, BrokenBefore, StreamBroken, AnsweredError, UpstreamSilent}
}

// Attempt is what is known of an attempt that failed.
type Attempt struct {
	// Count is how many attempts were made, this one included.
	Count int
	// Outcome says whether the upstream may have run the request.
	Outcome refusal.Outcome
	// Idempotent is true when a second run does no harm.
	Idempotent bool
	// AnswerStarted is true once a byte went out to the caller.
	AnswerStarted bool
	// Resumable is true when the next attempt goes on with the same run of the
	// request, after the last byte that went out.
	Resumable bool
	Deadline  time.Time
	// Expected is how long another attempt takes until its first byte.
	Expected time.Duration
}

// Policy decides on retries. It is safe for concurrent use.
type Policy interface {
	// First counts a first try, which adds to what may be spent on retries.
	First(now time.Time)
	// Allow reports whether the attempt may be repeated now, and takes the
	// retry out of the budget when it may.
	Allow(now time.Time, attempt Attempt) bool
}
