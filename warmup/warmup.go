// Package warmup limits the requests of an upstream that joins or recovers.
//
// Requests that queued up while an upstream started would all go there at once, since it
// has the most free slots. An engine that has just started has a cold prefix cache and
// compiles its kernels, so its first answers would all be late. One that has just
// recovered often fails again under the queued work. A Ramp limits the requests in flight
// by an allowance that starts small and doubles with the answers that begin. It doesn't
// grow with time, so an upstream that doesn't answer gets no more requests. It counts the
// beginnings of answers since a whole answer may stream for 13 s: counting ends would
// leave most of an engine idle for most of a minute.
package warmup

import (
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
)

// Parameters of a Ramp.
const (
	// initialAllowance is the allowance of an upstream that joins, enough to see that it
	// answers.
	initialAllowance = 2
	// failuresToClose is how many consecutive failures close an upstream. A single
	// failure may be a broken connection; three without an answer in between are a fault.
	failuresToClose = 3
	// initialBackoff is how long an upstream is closed at first, about the time of a
	// process restart.
	initialBackoff = time.Second
	// maxBackoff limits the doubling back-off, so that a recovered upstream is idle for
	// ten seconds at most.
	maxBackoff = 10 * time.Second
	// rampDuration ends a ramp. At low traffic too few answers begin to raise the
	// allowance, but by then the upstream is warm.
	rampDuration = 60 * time.Second
)

// Ramp computes the allowance of one upstream. Its zero value is an upstream that joins
// now. It must not be used by several goroutines at once.
type Ramp struct {
	rampStart     time.Time
	answersBegun  int
	failuresInRow int
	closeCount    int
	opensAt       time.Time
	isComplete    bool
}

// Allow returns how many requests may be in flight at now, at most limit.
func (r *Ramp) Allow(now time.Time, limit int) int {
	if now.Before(r.opensAt) {
		return 0
	}
	if r.failuresInRow >= failuresToClose {
		return min(1, limit)
	}
	if r.isComplete {
		return limit
	}
	if r.rampStart.IsZero() {
		r.rampStart = now
	}
	if now.Sub(r.rampStart) >= rampDuration {
		r.isComplete = true
		return limit
	}
	return min(initialAllowance+r.answersBegun, limit)
}

// AnswerBegan counts an answer whose first token or byte has arrived. Each raises the
// allowance by one, which doubles it with every round of requests.
func (r *Ramp) AnswerBegan() {
	if r.failuresInRow >= failuresToClose {
		r.restart()
	}
	r.answersBegun++
	r.failuresInRow = 0
	r.closeCount = 0
}

// RequestEnded records the result of a request.
func (r *Ramp) RequestEnded(now time.Time, result dispatch.Result) {
	switch result {
	case dispatch.Failed:
		r.recordFailure(now)
	case dispatch.Answered, dispatch.Refused, dispatch.Draining, dispatch.Unused:
	}
}

// recordFailure counts a failure while the upstream is open. Later failures of requests
// that were in flight when it closed show nothing new.
func (r *Ramp) recordFailure(now time.Time) {
	if now.Before(r.opensAt) {
		return
	}
	r.failuresInRow++
	if r.failuresInRow < failuresToClose {
		return
	}
	r.opensAt = now.Add(min(initialBackoff<<min(r.closeCount, 8), maxBackoff))
	r.closeCount++
}

// OpensAt returns when a closed upstream may be tried again. It is zero or in the past
// for an upstream that is open.
func (r *Ramp) OpensAt() time.Time { return r.opensAt }

// Reset restarts the ramp for an upstream that left and returned.
func (r *Ramp) Reset() { *r = Ramp{} }

func (r *Ramp) restart() {
	r.rampStart = time.Time{}
	r.answersBegun = 0
	r.isComplete = false
}
