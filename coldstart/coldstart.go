// Package coldstart limits the requests of upstreams that are cold, for a whole fleet.
//
// A model engine that has just started tolerates few requests a second and crashes under
// more. The limit holds for the sum over all routers, and routers learn of each other and
// of an upstream's state at different times. So one router at a time may send to a cold
// upstream, its owner, which all choose by rendezvous hashing. An Ownership tells whether
// this router is one, and a Limiter bounds what it sends.
//
// While routers disagree, two of them may take themselves for the owner: one that was cut
// off or stood still, and its successor. Tolerance.Limit therefore leaves room for a second
// owner. Nothing is stored or agreed on, and a router that doesn't know most of the fleet
// owns nothing.
package coldstart

import (
	"math"
	"time"
)

// maxOwners is how many routers may send to a cold upstream at the same moment.
const maxOwners = 2

// Tolerance states what the platform tolerates beyond the rate that a service declares. Its
// zero value tolerates nothing.
type Tolerance struct {
	// Factor multiplies the declared rate; values below one count as one.
	Factor float64
	// Slack is added to it, in requests a second.
	Slack float64
}

// Policy describes how the upstreams of a service start. The zero value is a service whose
// upstreams take any load at once.
type Policy struct {
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
	// Limit bounds the requests of one router to a cold upstream.
	Limit Limit
}

// Limit allows a number of requests in each span of time. The zero value is no limit.
type Limit struct {
	requests int
	span     time.Duration
}

// IsSet reports whether there is a limit.
func (l Limit) IsSet() bool { return l.requests > 0 }

// Limit returns the limit of one owner for a declared rate in requests a second, so that
// two owners stay within what is tolerated in each second. A rate of zero means that there is no limit.
func (t Tolerance) Limit(rate float64) Limit {
	if !(rate > 0) {
		return Limit{}
	}
	tolerated := rate*max(t.Factor, 1) + max(t.Slack, 0)
	requests := max(min(math.Ceil(rate), math.Floor(tolerated/maxOwners)), 1)
	span := time.Duration(min(requests/rate, maxSpan.Seconds()) * float64(time.Second))
	return Limit{requests: int(min(requests, maxRequests)), span: max(span, time.Second)}
}

// Bounds of a Limit, for rates that make no sense.
const (
	maxSpan     = time.Hour
	maxRequests = 1 << 12
)

// Limiter counts the requests that were sent to one upstream. Its zero value has counted
// none. It isn't safe for concurrent use.
type Limiter struct {
	// sentAt are the times of the latest requests, at most as many as the limit allows.
	sentAt []time.Time
}

// Record records a request.
func (l *Limiter) Record(now time.Time, limit Limit) {
	if !limit.IsSet() {
		return
	}
	if excess := len(l.sentAt) + 1 - limit.requests; excess > 0 {
		l.sentAt = append(l.sentAt[:0], l.sentAt[excess:]...)
	}
	l.sentAt = append(l.sentAt, now)
}

// Allows reports whether another request may be sent now.
func (l *Limiter) Allows(now time.Time, limit Limit) bool { return l.Wait(now, limit) <= 0 }

// Wait returns the time until another request may be sent.
func (l *Limiter) Wait(now time.Time, limit Limit) time.Duration {
	if !limit.IsSet() || len(l.sentAt) < limit.requests {
		return 0
	}
	return max(limit.span-now.Sub(l.sentAt[len(l.sentAt)-limit.requests]), 0)
}

// Spacing returns the mean time between two requests at the limit.
func (l Limit) Spacing() time.Duration {
	if !l.IsSet() {
		return 0
	}
	return l.span / time.Duration(l.requests)
}
