package admission

import (
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/rate"
)

const (
	// rateTimeConstant is the time constant of the rates at which an account's requests
	// ask for turns and get them. A request's patience is a fraction of a second.
	rateTimeConstant = time.Second
	// queueSlack is the limit of waiting requests as a multiple of those that would get
	// their turn in time at the recent rate. It leaves room for a rising rate, as at the
	// start of a burst, and for a choice of requests for the next idle engine.
	queueSlack = 4
	// minQueueLimit is the number of requests that may always wait.
	minQueueLimit = 16
	// askSlack is the limit of an account's asks as a multiple of the recent rate of
	// turns, and minAskRate is the rate in asks per second that is always allowed. Most
	// requests of a flood are refused at once and never wait, but each ask costs as much
	// as one or two events of a stream.
	askSlack   = 5
	minAskRate = 100
	// minQueueRetryAfter and maxQueueRetryAfter limit the retry time of refused callers.
	minQueueRetryAfter = 100 * time.Millisecond
	maxQueueRetryAfter = 2 * time.Second
)

// QueueLimiter limits how many requests of each account wait at a router for turns that
// come within a fraction of a second. Its zero value is ready to use. It is safe for
// concurrent use.
//
// It protects a router from an account that sends ten or more times what it can be
// served. Without a limit each request would be read, wait, and be refused when its
// patience ends, although the refusal was certain at once. A small router would spend its
// processor time on these requests and read those of all other accounts seconds late.
type QueueLimiter[K comparable] struct {
	mu     sync.Mutex
	queues map[K]*accountQueue
}

type accountQueue struct {
	waiting int
	asks    rate.DecayingSum
	starts  rate.DecayingSum
}

// perSecond returns a recent rate in events per second.
func perSecond(sum *rate.DecayingSum, now time.Time) float64 {
	return sum.At(now, rateTimeConstant) / rateTimeConstant.Seconds()
}

// IsFull reports whether the queue is too long for a request with the given patience to
// get its turn in time, or the account asks too often, and if so when the caller should
// retry.
func (l *QueueLimiter[K]) IsFull(now time.Time, key K, patience time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queues[key]
	if q == nil {
		return 0, false
	}
	startRate := perSecond(&q.starts, now)
	isLong := q.waiting >= minQueueLimit && float64(q.waiting) >= queueSlack*startRate*patience.Seconds()
	if !isLong && perSecond(&q.asks, now) <= max(askSlack*startRate, minAskRate) {
		return 0, false
	}
	seconds := float64(q.waiting) / max(startRate, 1)
	retryAfter := time.Duration(seconds * float64(time.Second))
	return min(max(retryAfter, minQueueRetryAfter), maxQueueRetryAfter), true
}

// Enter counts a request that begins to wait.
func (l *QueueLimiter[K]) Enter(now time.Time, key K) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queues == nil {
		l.queues = make(map[K]*accountQueue)
	}
	if l.queues[key] == nil {
		l.queues[key] = &accountQueue{}
	}
	l.queues[key].waiting++
	l.queues[key].asks.Add(now, rateTimeConstant, 1)
}

// Leave counts a request that stops waiting; started is true if it got its turn.
func (l *QueueLimiter[K]) Leave(now time.Time, key K, started bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queues[key]
	q.waiting--
	if started {
		q.starts.Add(now, rateTimeConstant, 1)
	}
}
