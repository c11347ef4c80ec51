// Package admission decides whether a request may wait for its turn.
//
// It answers saturation and floods: more arrives than the upstreams serve.
// Without a bound the queue grows until every request in it has passed its
// deadline by the time its turn comes, and the upstreams work on answers that
// nobody waits for. A bound for all together lets one account fill it and
// shuts the others out, so each account has a bound of its own. A request that
// will not get its turn in time, at the rate at which the account's requests
// were started lately, is refused at once with when to come back, while its
// caller still has time to do something else.
package admission

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeglock.example/nutmeglock/refusal"
)

// Queue is what waits at this router when a request arrives.
type Queue struct {
	// Account is how many requests of the same account and service wait.
	Account int
	// AccountBound is how many of them may.
	AccountBound int
	// Total and TotalBound are the same for all accounts.
	Total      int
	TotalBound int
	// Drain is the highest rate, in requests per second, at which this account's
	// requests may be started, by those started lately; zero when it is not known.
	Drain float64
}

// Policy admits requests. It returns nil, or a refusal of a request that was
// not run with when to come back.
type Policy interface {
	Admit(now, deadline time.Time, queue Queue) *refusal.Error
}

// Bounds of RetryAfter.
const (
	// minRetryAfter is the least that the header's whole seconds can say.
	minRetryAfter = time.Second
	// maxRetryAfter bounds a guess from a rate that may have changed by then.
	maxRetryAfter = time.Minute
	// unknownRetryAfter is used while no drain rate is known: a few seconds
	// bring enough starts to know it.
	unknownRetryAfter = 5 * time.Second
	// room is the part of a full queue that should have drained when callers
	// come back, so that not one of them finds the single free place.
	room = 4
	// jitter spreads callers that were refused together over this part of
	// their wait, so that they don't return together.
	jitter = 0.25
)

// Bounded admits while the account's queue and the router's have room and the
// drain rate lets the request start before its deadline. Its zero value is
// ready to use.
type Bounded struct{}

// Admit returns nil, or why the request may not wait. RetryAfter is when a
// quarter of the full queue will have drained, or when the queue will be short
// enough for the same deadline.
func (Bounded) Admit(now, deadline time.Time, queue Queue) *refusal.Error {
	remaining := deadline.Sub(now)
	switch {
	case remaining <= 0:
		return refusal.New(refusal.DeadlinePassed, "the deadline had passed when the request arrived", 0)
	case queue.Account >= queue.AccountBound:
		wait := drained(queue.Account-queue.AccountBound+1+queue.AccountBound/room, queue.Drain)
		return refusal.New(refusal.AccountQueueFull, "too many requests of the account wait", spread(wait, now, queue))
	case queue.Total >= queue.TotalBound:
		wait := drained(queue.Account/room+1, queue.Drain)
		return refusal.New(refusal.RouterQueueFull, "too many requests wait at this router", spread(wait, now, queue))
	}
	if queue.Drain <= 0 {
		return nil
	}
	// The one more is the request itself, which has to be started too.
	turn := drained(queue.Account+1, queue.Drain)
	if turn <= remaining {
		return nil
	}
	return refusal.New(refusal.DeadlineBeforeTurn, "the request's turn would come after its deadline", spread(turn-remaining, now, queue))
}

// drained returns how long it takes until so many requests were started.
func drained(requests int, rate float64) time.Duration {
	if rate <= 0 {
		return unknownRetryAfter
	}
	seconds := float64(requests) / rate
	// A rate near zero would overflow the duration; an hour is beyond any
	// deadline and bound.
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

// spread bounds a wait and adds jitter. The jitter is a hash of what the
// decision was made from, so that the same input gives the same answer.
func spread(wait time.Duration, now time.Time, queue Queue) time.Duration {
	var buffer [24]byte
	binary.BigEndian.PutUint64(buffer[0:], uint64(now.UnixNano()))
	binary.BigEndian.PutUint64(buffer[8:], uint64(queue.Account))
	binary.BigEndian.PutUint64(buffer[16:], uint64(queue.Total))
	part := float64(xxhash.Sum64(buffer[:])>>11) / (1 << 53)
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(jitter*part*float64(wait))
}

// Unbounded admits all. It is the baseline of Bounded.
type Unbounded struct{}

// Admit returns nil.
func (Unbounded) Admit(time.Time, time.Time, Queue) *refusal.Error { return nil }
