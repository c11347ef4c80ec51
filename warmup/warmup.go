// Package warmup decides how fast an upstream that joins or recovers is
// given work.
//
// It answers the load of a burst that waits while an upstream comes up. All of
// it would go there at once, since it has the most room: an engine that has
// just started has a cold prefix cache and compiles its kernels, so the first
// answers come late together, and one that has just recovered is often pushed
// over again by the work that had piled up. A Ramp bounds what is in flight
// by an allowance that starts small and doubles with answers that begin, not
// with time, so that an upstream that does not answer gets no more. It counts
// beginnings because a whole answer may stream for 13 s: a ramp by ends would
// leave most of an engine idle for the better part of a minute.
package warmup

import (
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
)

// Thresholds of a Ramp.
const (
	// start is the allowance of an upstream that joins: enough to see that it
	// answers.
	start = 2
	// failuresToClose is how many failures in a row close an upstream. One
	// may be a single broken connection; three in a row with no answer
	// between are not.
	failuresToClose = 3
	// firstBackoff is how long an upstream stays closed at first: a restart
	// of a process takes about as long.
	firstBackoff = time.Second
	// maxBackoff bounds the doubled back-off, so that a recovered upstream
	// idles for ten seconds at most.
	maxBackoff = 10 * time.Second
	// fullTime ends a ramp. In a quiet hour too few answers come to raise
	// the allowance; by then the upstream is warm all the same.
	fullTime = 60 * time.Second
)

// Ramp is the allowance of one upstream. Its zero value is an upstream that
// joins now. It is used by one goroutine.
type Ramp struct {
	begun    time.Time
	begins   int
	failures int
	closed   int
	opensAt  time.Time
	full     bool
}

// Allow returns how many requests may be in flight at now, at most limit.
func (r *Ramp) Allow(now time.Time, limit int) int {
	if now.Before(r.opensAt) {
		return 0
	}
	if r.failures >= failuresToClose {
		return min(1, limit)
	}
	if r.full {
		return limit
	}
	if r.begun.IsZero() {
		r.begun = now
	}
	if now.Sub(r.begun) >= fullTime {
		r.full = true
		return limit
	}
	return min(start+r.begins, limit)
}

// Began takes that an answer began: its first token or byte arrived. Each
// raises the allowance by one, which doubles it for every round of requests.
func (r *Ramp) Began() {
	if r.failures >= failuresToClose {
		r.restart()
	}
	r.begins++
	r.failures = 0
	r.closed = 0
}

// Ended takes how a request ended.
func (r *Ramp) Ended(now time.Time, result dispatch.Result) {
	switch result {
	case dispatch.Failed:
		r.failed(now)
	case dispatch.Answered, dispatch.Refused, dispatch.Draining, dispatch.Unused:
	}
}

// failed counts failures that come after the upstream was opened; the rest of
// a burst that was in flight when it closed tells nothing new.
func (r *Ramp) failed(now time.Time) {
	if now.Before(r.opensAt) {
		return
	}
	r.failures++
	if r.failures < failuresToClose {
		return
	}
	r.opensAt = now.Add(min(firstBackoff<<min(r.closed, 8), maxBackoff))
	r.closed++
}

// OpensAt returns when an upstream that is closed may be tried again, and the
// zero time or one that is past when it is not closed.
func (r *Ramp) OpensAt() time.Time { return r.opensAt }

// Joined starts the ramp anew, for an upstream that left and came back.
func (r *Ramp) Joined() { *r = Ramp{} }

func (r *Ramp) restart() {
	r.begun = time.Time{}
	r.begins = 0
	r.full = false
}
