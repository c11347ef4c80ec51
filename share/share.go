// Package share decides whose waiting request starts next, so that client
// accounts receive service in proportion to their weights.
//
// It answers the load of accounts that together ask for more than the
// upstreams give, of which some ask for far more than others. First come first
// served gives each account what it asks for, so one that floods takes nearly
// everything; a static share per router strands capacity where accounts sit
// unevenly. Fair serves the account with the least virtual time: its service
// across the fleet divided by its weight.
//
// A request's cost is known only at its end. What it was served counts while
// it streams, and besides, from its start to its end, half of its estimate is
// outstanding: what a request in flight has still to get on average. Counting
// only at the end would let an account start many requests before the first is
// counted. Counting the whole estimate at the start and nothing until the end
// would take accounts whose requests are near their end for ones that had as
// much as those whose requests have just begun; the gap is twice as wide then.
// A larger outstanding part starts requests in larger lumps, a smaller one
// fills slots faster than their service shows; a half was best or nearly so
// among a quarter, a half, three quarters, one and one and a half.
//
// An account that returns from idle is lifted to what those that wait were
// served, over weight. Otherwise it would have saved up credit while idle, and
// the others would wait until it had spent it all. What is outstanding of the
// others is left out: slots that a flood took before the return are no reason
// to let the account that returns wait until as many have been given to it.
//
// # Bound
//
// For accounts i and j that both wait at the same dispatchers throughout an
// interval, with service S in weighted tokens and weight w,
//
//	|S(i)/w(i) - S(j)/w(j)| <= 2 * (C + E + L) / min(w(i), w(j))
//
// where C is the cost of the largest request (it is started whole and may not
// be interrupted), E is the largest error of what an account was taken to be
// served for its requests in flight, at most its slots times the largest
// request and zero where each token is told, and L is what the other
// dispatchers served it that this one has not observed: at most
// (dispatchers-1) * (threshold + rate * age), with the threshold of Reports, the
// rate at which one dispatcher serves the account, and the age of the total.
// Where an account's work waits at several dispatchers, each counts between
// two exchanges as if the others did the same, which turns L from a bias that
// all dispatchers share into the difference between them.
//
// A lead from slots that an account was given while nobody else asked is
// forgiven but for a few estimates: see Reports.
//
// The bound holds once both have waited for the longest residence: slots are
// not taken back, so an account that begins to wait beside one that holds more
// slots is served less until enough of those have ended.
package share

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// Waiting is what an Order knows of one account's waiting work.
type Waiting struct {
	// Weight is the account's share relative to the others, at least 1.
	Weight uint32
	// Requests is how many wait; zero ends the account's claim to a turn.
	Requests int
	// Estimate is the expected cost of the next one.
	Estimate fleet.Tokens
	// Asked is the number of dispatchers that the same work waits at, at least 1.
	Asked int
	// Since is when the oldest of them began to wait.
	Since time.Time
}

// Order picks the account that is served next. K is what it tells accounts
// apart by. An Order is used by one goroutine.
type Order[K comparable] interface {
	// Wait replaces what is known of key's waiting work.
	Wait(key K, waiting Waiting)
	// Next returns the waiting key whose turn it is among those that eligible
	// accepts, and whether there is one. It changes nothing.
	Next(eligible func(key K) bool) (K, bool)
	// Start makes the estimate of a request that is sent now outstanding. It
	// leaves what waits as it was; a Wait follows.
	Start(key K, estimate fleet.Tokens)
	// Correct adds to what key was served; a negative amount takes back.
	Correct(key K, amount fleet.Tokens)
	// End says that a request that was started with that estimate has ended.
	// What it was served was told by Correct.
	End(key K, estimate fleet.Tokens)
	// Forget drops all that is known of key, which no longer exists.
	Forget(key K)
}

// Exchange is the part of an Order that compares service across the fleet.
type Exchange[K comparable] interface {
	// Reports returns the keys of which the service here, or half of what is
	// outstanding, changed by more than threshold since they were last returned.
	Reports(threshold fleet.Tokens) []Report[K]
	// Observe takes what the whole fleet served a key, reports of this
	// dispatcher included up to the cumulative amount that the total covers.
	Observe(key K, total Total)
	// Reassigned says that key has another keeper, or that its keeper started
	// again. The next Reports return key with its known service as the floor
	// and a cumulative amount that starts again from zero, so that what the
	// former keeper knew is neither lost nor counted twice.
	Reassigned(key K)
}

// Report is what one dispatcher served an account since the dispatcher
// started or the account was reassigned. It is cumulative, so that a lost or
// repeated report does no harm.
type Report[K comparable] struct {
	Key        K
	Cumulative fleet.Tokens
	// Floor is the least total that the account is to have once Cumulative is
	// counted in, because it returned from idle; zero when it did not.
	Floor fleet.Tokens
	// Outstanding is the sum of the estimates of its requests in flight.
	Outstanding fleet.Tokens
}

// Total is what the fleet served an account.
type Total struct {
	Sum fleet.Tokens
	// Covered is this dispatcher's own cumulative amount within Sum.
	Covered fleet.Tokens
	// Outstanding is the sum of the estimates of the account's requests that
	// other dispatchers have in flight.
	Outstanding fleet.Tokens
}
