// Package share decides whose waiting request starts next, so that client
// accounts receive service in proportion to their weights.
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
	// Start charges key for a request that is sent now.
	Start(key K, estimate fleet.Tokens)
	// Correct adds to what key was charged; a negative amount gives back.
	Correct(key K, amount fleet.Tokens)
}

// Exchange is the part of an Order that compares service across the fleet.
type Exchange[K comparable] interface {
	// Reports returns the keys of which more than threshold was charged here
	// since they were last returned.
	Reports(threshold fleet.Tokens) []Report[K]
	// Observe takes what the whole fleet charged a key, reports of this
	// dispatcher included up to the cumulative amount that the total covers.
	Observe(key K, total Total)
}

// Report is what one dispatcher charged an account since it started. It is
// cumulative, so that a lost or repeated report does no harm.
type Report[K comparable] struct {
	Key        K
	Cumulative fleet.Tokens
	// Floor is the least total that the account is to have, because it
	// returned from idle; zero when it did not.
	Floor fleet.Tokens
}

// Total is what the fleet charged an account.
type Total struct {
	Sum fleet.Tokens
	// Covered is this dispatcher's own cumulative amount within Sum.
	Covered fleet.Tokens
}
