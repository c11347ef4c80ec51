// Package reservation keeps the times at which refused requests of one account may return.
//
// It is for an account that asks for more than its share of a service. Without reservations
// each refused caller is told to return soon, waits in vain again and gives up, while the
// account's next turns go to whoever happens to ask. A Book gives each refused request a time
// of its own. The times follow one another at the rate at which the account is served, so
// that asking more, or more often, gains nothing.
//
// A Book uses no network and no clock; times are passed in and must not decrease.
package reservation

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// EarlyTolerance is how long before its time a return counts as due: it covers the rounding
	// of Retry-After and timers of callers that fire early.
	EarlyTolerance = 50 * time.Millisecond
	// Expiry is how long after its time a reservation is kept. A caller needs that for a new
	// connection and its prompt's way to the home.
	Expiry = 500 * time.Millisecond
	// lateMemory is how long after its expiry a reservation is remembered, so that a late return
	// can be told from a new request.
	lateMemory = 4 * time.Second
	// maxEntries bounds the memory of one account's book to about half a megabyte.
	maxEntries = 4096
	// returnWeight is the weight of the latest reservation in the part of callers that return.
	returnWeight = 0.05
)

// Rate is the service that an account gets, in weighted tokens per second.
type Rate float64

// isUsable reports whether requests can follow one another at the rate.
func (r Rate) isUsable() bool { return r > 0 && r <= maxRate }

// maxRate is above any service of a fleet; it excludes infinity, the share of an account that
// competes with none.
const maxRate = 1e15

// TimeFor returns the time in which an amount of service is given, zero if the rate isn't known.
func (r Rate) TimeFor(amount fleet.Tokens) time.Duration {
	if !r.isUsable() {
		return 0
	}
	return time.Duration(min(float64(amount)/float64(r), maxSeconds) * float64(time.Second))
}

// maxSeconds keeps the times of small rates within the range of time.Duration.
const maxSeconds = 1e6

// Claim is what a request is to its account's book.
type Claim string

// The claims.
const (
	// Unknown requests have no reservation.
	Unknown Claim = "unknown"
	// Early requests return before their time. Their reservation is kept.
	Early Claim = "early"
	// Due requests return at their time. Their reservation ends.
	Due Claim = "due"
	// Late requests return after their reservation has expired.
	Late Claim = "late"
)

// Returns lists the claims of requests that return, for counters that start at zero.
func Returns() []Claim { return []Claim{Early, Due, Late} }

// Demand is what a request needs of a reservation.
type Demand struct {
	// Cost is the service that the request will count for.
	Cost fleet.Tokens
	// Rate is the rate at which the account is served.
	Rate Rate
	// Earliest is when the requests that wait have begun.
	Earliest time.Time
	// Horizon is the longest time after which the caller would still return.
	Horizon time.Duration
}

// Book holds the reservations of one account, by the keys of requests. Its zero value is
// empty. It is not safe for concurrent use.
type Book[K comparable] struct {
	byKey map[K]*entry[K]
	// open are the reservations that haven't expired and late those that have, by time.
	open, late []*entry[K]
	// next is the time of the next reservation if nobody else waits.
	next time.Time
	// returning is the part of the recent reservations whose callers returned in time.
	returning float64
}

type entry[K comparable] struct {
	key     K
	at      time.Time
	cost    fleet.Tokens
	claimed bool
}

// Reserve gives a request a time to return at. If that is beyond the request's horizon, ok is
// false and at is only an estimate, zero if the rate isn't known. A request that already has a
// reservation keeps it.
func (b *Book[K]) Reserve(now time.Time, key K, d Demand) (at time.Time, ok bool) {
	b.Expire(now)
	if e := b.byKey[key]; e != nil && !e.isExpired(now) {
		return e.at, true
	}
	if !d.Rate.isUsable() {
		return time.Time{}, false
	}
	at = latest(now, d.Earliest, b.next)
	if at.Sub(now) > d.Horizon || len(b.open)+len(b.late) >= maxEntries {
		return at, false
	}
	b.next = at.Add(d.Rate.TimeFor(max(d.Cost, 1)))
	e := &entry[K]{key: key, at: at, cost: d.Cost}
	b.open = append(b.open, e)
	if b.byKey == nil {
		b.byKey = make(map[K]*entry[K])
	}
	b.byKey[key] = e
	return at, true
}

// Claim returns what a request is, and ends the reservation of one that is due or late.
func (b *Book[K]) Claim(now time.Time, key K) Claim {
	b.Expire(now)
	e := b.byKey[key]
	switch {
	case e == nil:
		return Unknown
	case now.Before(e.at.Add(-EarlyTolerance)):
		return Early
	case e.isExpired(now):
		delete(b.byKey, key)
		return Late
	default:
		delete(b.byKey, key)
		e.claimed = true
		b.recordReturn(1)
		return Due
	}
}

// TimeOf returns the time of a request's reservation, and false if it has none.
func (b *Book[K]) TimeOf(key K) (time.Time, bool) {
	if e := b.byKey[key]; e != nil {
		return e.at, true
	}
	return time.Time{}, false
}

// Expected returns the service that will probably be claimed until a time. It is low rather
// than high: reservations count by the part of the recent ones whose callers returned.
func (b *Book[K]) Expected(now, until time.Time) fleet.Tokens {
	b.Expire(now)
	sum := 0.0
	for _, e := range b.open {
		if e.at.After(until) {
			break
		}
		if !e.claimed && !e.at.Before(now) {
			sum += float64(e.cost)
		}
	}
	return fleet.Tokens(sum * b.returning)
}

// Expire ends the reservations whose time is over. All other methods call it.
func (b *Book[K]) Expire(now time.Time) {
	for len(b.open) > 0 && (b.open[0].claimed || b.open[0].isExpired(now)) {
		e := b.open[0]
		b.open = b.open[1:]
		if !e.claimed {
			b.recordReturn(0)
			b.late = append(b.late, e)
		}
	}
	for len(b.late) > 0 && now.Sub(b.late[0].at) > Expiry+lateMemory {
		e := b.late[0]
		b.late = b.late[1:]
		if b.byKey[e.key] == e { // the key may have a newer reservation
			delete(b.byKey, e.key)
		}
	}
}

// recordReturn records whether a caller returned in time, as one or zero.
func (b *Book[K]) recordReturn(returned float64) {
	b.returning += returnWeight * (returned - b.returning)
}

func (e *entry[K]) isExpired(now time.Time) bool { return now.Sub(e.at) > Expiry }

func latest(t time.Time, others ...time.Time) time.Time {
	for _, other := range others {
		if other.After(t) {
			t = other
		}
	}
	return t
}
