// Package retry decides whether a failed attempt is retried.
//
// It protects slow or failing upstreams under load. Unlimited retries add to the load of
// the upstreams that still work: with two retries per request, a fleet at its limit that
// fails a third of its requests gets half as many requests again, and fails more of
// them. Budget limits retries to a fraction of the first attempts and allows only those
// that do no harm.
package retry

import (
	"time"

	"nutmeglock.example/nutmeglock/refusal"
)

// Reason is why a request is retried. Each reason has its own counter.
type Reason string

// The reasons for a retry.
const (
	ConnectFailed      Reason = "connect-failed"
	UpstreamRefused    Reason = "upstream-refused"
	UpstreamDraining   Reason = "upstream-draining"
	BrokenBeforeAnswer Reason = "broken-before-answer"
	StreamBroken       Reason = "stream-broken"
	AnsweredError      Reason = "answered-error"
	UpstreamSilent     Reason = "upstream-silent"
	UpstreamAvoided    Reason = "upstream-avoided"
	// MalformedAnswer means that what the upstream sent could no longer become an answer.
	MalformedAnswer Reason = "malformed-answer"
)

// Reasons returns all reasons, for counters that start at zero.
func Reasons() []Reason {
	return []Reason{ConnectFailed, UpstreamRefused, UpstreamDraining, BrokenBeforeAnswer, StreamBroken, AnsweredError, UpstreamSilent, UpstreamAvoided, MalformedAnswer}
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is the number of attempts so far, including this one.
	Number int
	// Outcome is whether the upstream may have run the request.
	Outcome refusal.Outcome
	// Idempotent is true if a second run does no harm.
	Idempotent bool
	// AnswerStarted is true once a byte of the answer was sent to the caller.
	AnswerStarted bool
	// Resumable is true if the next attempt continues the same run of the request after
	// the last byte that was sent.
	Resumable bool
	Deadline  time.Time
	// ExpectedLatency is the expected time from the start of another attempt to its first byte.
	ExpectedLatency time.Duration
}

// Policy decides on retries. It is safe for concurrent use.
type Policy interface {
	// RecordFirstAttempt counts a first attempt, which adds to the budget for retries.
	RecordFirstAttempt(now time.Time)
	// Allow reports whether the request may be retried now and, if so, charges the
	// retry to the budget.
	Allow(now time.Time, attempt Attempt) bool
}
