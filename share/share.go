// Package share decides which account's waiting request starts next, so that accounts
// receive service in proportion to their weights.
//
// It is needed when accounts together ask for more than the upstreams can serve, and some
// ask for far more than others. First come, first served gives each account what it asks
// for, so that one account's flood takes nearly everything. A fixed share per router
// leaves capacity unused where accounts are spread unevenly over the routers. Fair serves
// the account with the least virtual time, which is its service across the fleet divided
// by its weight.
//
// A request's cost is known only at its end. Its service is counted as it streams, and
// from its start to its end half of its estimated cost counts in addition as outstanding,
// the average that a request in flight still has to receive. If service were counted only
// at the end, an account could start many requests before the first one counted. If the
// whole estimate counted from the start and nothing more until the end, accounts whose
// requests are nearly finished would look the same as those whose requests have just
// begun, and the gap between accounts would be twice as wide. A larger fraction than
// half starts requests in larger bursts, and with a smaller one an account fills slots
// before their service is counted. Of 0.25, 0.5, 0.75, 1 and 1.5, 0.5 was best or nearly so.
//
// An account that returns from idle is lifted to the service per weight of the waiting
// account that is next. Otherwise it would accumulate credit while idle, and the others
// would wait until the credit was spent. The lift doesn't include the others' outstanding
// cost, so that the slots that a flood took before the account returned don't delay it.
//
// # Bound
//
// For accounts i and j that both wait at the same dispatchers throughout an interval,
// with service S in weighted tokens and weight w,
//
//	|S(i)/w(i) - S(j)/w(j)| <= 2 * (C + E + L) / min(w(i), w(j))
//
// C is the cost of the largest request, since a started request can't be interrupted.
// E is the largest error in the service counted for an account's requests in flight: at
// most its slots times the largest request, and zero where every token is reported. L is
// the service from other dispatchers that this one hasn't observed: at most
// (dispatchers-1) * (threshold + rate * age), with the threshold of Reports, the rate at
// which one dispatcher serves the account, and the age of the total. Where an account
// waits at several dispatchers, each assumes between two exchanges that the others serve
// the account as it does. This turns L from a bias common to all dispatchers into the
// difference between them.
//
// The lead of an account that was given slots while no other account waited is limited to
// a few estimates: see Reports.
//
// The bound holds once both accounts have waited for the longest time that a request
// holds a slot. Slots aren't taken back, so an account that begins to wait beside one
// that holds more slots is served less until enough of those are free.
package share

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// Backlog describes the waiting requests of one account.
type Backlog struct {
	// Weight is the account's share relative to other accounts, at least 1.
	Weight uint32
	// Requests is the number of waiting requests. With zero the account isn't chosen.
	Requests int
	// Estimate is the expected cost of the next request.
	Estimate fleet.Tokens
	// Dispatchers is the number of dispatchers at which the same requests wait, at least 1.
	Dispatchers int
	// OldestSince is when the oldest request began to wait.
	OldestSince time.Time
}

// Policy selects the account to serve next. K identifies an account. A Policy must not be
// used by several goroutines at once.
type Policy[K comparable] interface {
	// SetBacklog replaces what is known about key's waiting requests.
	SetBacklog(key K, backlog Backlog)
	// Next returns the waiting key to be served next among those for which eligible is
	// true, and whether there is one. It has no side effects.
	Next(eligible func(key K) bool) (K, bool)
	// Start adds the estimate of a request that is sent now to key's outstanding cost. It
	// doesn't change key's waiting requests; a call of SetBacklog follows.
	Start(key K, estimate fleet.Tokens)
	// AddService adds to the service of key; a negative amount subtracts.
	AddService(key K, amount fleet.Tokens)
	// End removes the estimate of a request that has ended from key's outstanding cost.
	// The request's service has been counted by AddService.
	End(key K, estimate fleet.Tokens)
	// Forget removes a key that no longer exists.
	Forget(key K)
}

// Exchange is implemented by a Policy that compares service across the fleet.
type Exchange[K comparable] interface {
	// Reports returns the keys whose service here plus half of the outstanding cost
	// changed by more than threshold since they were last returned.
	Reports(threshold fleet.Tokens) []Report[K]
	// Observe sets the fleet's total for key. The total includes this dispatcher's
	// reports up to its OwnReported amount.
	Observe(key K, total Total)
	// MarkReassigned records that key has a new keeper, or that its keeper restarted. The
	// next Reports return key with its known service as the floor and a cumulative amount
	// that restarts from zero, so that service known to the former keeper is neither lost
	// nor counted twice.
	MarkReassigned(key K)
}

// Report is the service that a dispatcher has given an account since the dispatcher
// started or the account was reassigned. It is cumulative, so that lost or repeated
// reports do no harm.
type Report[K comparable] struct {
	Key        K
	Cumulative fleet.Tokens
	// Floor is the least total that the account should have once Cumulative is counted,
	// because it returned from idle or was reassigned; otherwise zero.
	Floor fleet.Tokens
	// Outstanding is the sum of the estimates of its requests in flight.
	Outstanding fleet.Tokens
}

// Total is the service that the fleet has given an account.
type Total struct {
	Sum fleet.Tokens
	// OwnReported is this dispatcher's own cumulative amount within Sum.
	OwnReported fleet.Tokens
	// Outstanding is the sum of the estimates of the account's requests that
	// other dispatchers have in flight.
	Outstanding fleet.Tokens
}
