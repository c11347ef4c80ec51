package home

import "time"

const (
	// minAnswerTimeout is the least time that a home has to answer an ask. It covers a
	// round trip between data centres and the pause of a process whose CPU quota is used
	// up.
	minAnswerTimeout = 120 * time.Millisecond
	// maxAnswerTimeout limits the timeout, so that a home that doesn't answer can't use
	// up a request's deadline.
	maxAnswerTimeout = 500 * time.Millisecond
	// answerTimeoutFactor is the timeout in multiples of the smoothed round trip.
	answerTimeoutFactor = 3
	// riseWeight and fallWeight are the weights of a new round trip in the smoothed
	// value. The estimate rises quickly and falls slowly.
	riseWeight = 0.5
	fallWeight = 0.1
	// maxOverdue limits how many timed-out asks are remembered in case their answer still
	// comes.
	maxOverdue = 512
)

// roundTrip estimates how long homes take to answer this router. Its zero value has no
// samples.
//
// The timeout adapts because a router that is short of processor time leaves answers
// unread in its own queues. With a fixed timeout every home would seem to be
// unresponsive: the router would ask a second home and then decide by itself, which is
// three times the work on a router that is already overloaded, and it wouldn't recover
// when the load falls again. In one such second it made 1,100 asks for 690 requests, of
// which 920 timed out.
type roundTrip struct {
	smoothed time.Duration
	recent   answerDelay
	// overdue holds the asks that timed out, by ID, and when they were made.
	overdue map[uint64]time.Time
}

func (r *roundTrip) observe(now time.Time, sample time.Duration) {
	r.recent.observe(now, sample)
	weight := fallWeight
	if sample > r.smoothed {
		weight = riseWeight
	}
	r.smoothed += time.Duration(weight * float64(sample-r.smoothed))
}

// answerTimeout returns how long to wait for an answer.
func (r *roundTrip) answerTimeout() time.Duration {
	return min(max(answerTimeoutFactor*r.smoothed, minAnswerTimeout), maxAnswerTimeout)
}

// recordTimeout remembers an ask that timed out, to measure its round trip if its answer
// still comes. Its delay so far counts among the recent ones.
func (r *roundTrip) recordTimeout(now time.Time, id uint64, asked time.Time) {
	r.recent.observe(now, now.Sub(asked))
	if r.overdue == nil || len(r.overdue) >= maxOverdue {
		r.overdue = make(map[uint64]time.Time)
	}
	r.overdue[id] = asked
}

// observeLate measures the round trip of an ask that was answered after its timeout.
func (r *roundTrip) observeLate(now time.Time, id uint64) {
	asked, known := r.overdue[id]
	if !known {
		return
	}
	delete(r.overdue, id)
	r.observe(now, now.Sub(asked))
}
