// Package admission decides whether a request may wait for its turn.
//
// Without a limit under saturation, the queue grows until every request in it has passed
// its deadline when its turn comes, and upstreams compute answers that nobody waits for.
// One common limit would let a single account fill the queue and shut out the others, so
// each account has its own. A request that won't get its turn in time, judged by the rate
// at which the account's requests were started recently, is refused at once with a retry
// time, while its caller can still do something else.
package admission

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeglock.example/nutmeglock/refusal"
)

// Queue describes the requests that wait at this router when another arrives.
type Queue struct {
	// AccountWaiting is the number of waiting requests of the same account and service.
	AccountWaiting int
	// AccountBound is the limit of AccountWaiting.
	AccountBound int
	// TotalWaiting and TotalBound are the same for all accounts together.
	TotalWaiting int
	TotalBound   int
	// DrainRate is the highest rate, in requests per second, that is consistent with the
	// recent starts of this account's requests; zero if it is unknown.
	DrainRate float64
}

// Policy admits requests. Admit returns nil, or a refusal with a retry time. A refused
// request hasn't run.
type Policy interface {
	Admit(now, deadline time.Time, queue Queue) *refusal.Error
}

// Limits of RetryAfter.
const (
	// minRetryAfter is the least value of the Retry-After header, which has whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter limits a prediction from a rate that may have changed by then.
	maxRetryAfter = time.Minute
	// unknownRetryAfter is used while the drain rate is unknown. Within a few seconds
	// there are enough starts to know it.
	unknownRetryAfter = 5 * time.Second
	// 1/retryQueuePart is the fraction of a full queue that should have drained when callers
	// retry, so that they don't all compete for a single free place.
	retryQueuePart = 4
	// jitter is the largest amount added to a retry time, as a fraction of it. It keeps
	// callers that were refused together from retrying together.
	jitter = 0.25
)

// Bounded admits a request if neither the account's queue nor the router's is full and,
// at the drain rate, the request starts before its deadline. Its zero value is ready to
// use.
type Bounded struct{}

// Admit returns nil, or why the request may not wait. RetryAfter is the time until a
// quarter of the full queue has drained, or until the queue is short enough for the same
// deadline.
func (Bounded) Admit(now, deadline time.Time, queue Queue) *refusal.Error {
	remaining := deadline.Sub(now)
	switch {
	case remaining <= 0:
		return refusal.New(refusal.DeadlinePassed, "the deadline had passed when the request arrived", 0)
	case queue.AccountWaiting >= queue.AccountBound:
		wait := timeToStart(queue.AccountWaiting-queue.AccountBound+1+queue.AccountBound/retryQueuePart, queue.DrainRate)
		return refusal.New(refusal.AccountQueueFull, "too many requests of the account wait", addJitter(wait, now, queue))
	case queue.TotalWaiting >= queue.TotalBound:
		wait := timeToStart(queue.AccountWaiting/retryQueuePart+1, queue.DrainRate)
		return refusal.New(refusal.RouterQueueFull, "too many requests wait at this router", addJitter(wait, now, queue))
	}
	if queue.DrainRate <= 0 {
		return nil
	}
	// One more than the queue, for the request itself.
	turn := timeToStart(queue.AccountWaiting+1, queue.DrainRate)
	if turn <= remaining {
		return nil
	}
	return refusal.New(refusal.DeadlineBeforeTurn, "the request's turn would come after its deadline", addJitter(turn-remaining, now, queue))
}

// timeToStart returns how long it takes to start that many requests.
func timeToStart(requests int, rate float64) time.Duration {
	if rate <= 0 {
		return unknownRetryAfter
	}
	seconds := float64(requests) / rate
	// A rate near zero would overflow the duration. An hour exceeds any deadline and
	// retry limit.
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

// addJitter limits a retry time and adds jitter. The jitter is a hash of the input of the
// decision, so that the same input gives the same result.
func addJitter(wait time.Duration, now time.Time, queue Queue) time.Duration {
	var buffer [24]byte
	binary.BigEndian.PutUint64(buffer[0:], uint64(now.UnixNano()))
	binary.BigEndian.PutUint64(buffer[8:], uint64(queue.AccountWaiting))
	binary.BigEndian.PutUint64(buffer[16:], uint64(queue.TotalWaiting))
	fraction := float64(xxhash.Sum64(buffer[:])>>11) / (1 << 53)
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(jitter*fraction*float64(wait))
}

// Unbounded admits every request. It is the baseline for Bounded.
type Unbounded struct{}

// Admit returns nil.
func (Unbounded) Admit(time.Time, time.Time, Queue) *refusal.Error { return nil }
