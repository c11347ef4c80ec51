// Package admission decides whether a request may wait for its turn.
package admission

import (
	"time"

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
	// Drain is the rate, in requests per second, at which this account's
	// requests were started lately; zero when it is not known.
	Drain float64
}

// Policy admits requests. It returns nil, or a refusal of a request that was
// not run with when to come back.
type Policy interface {
	Admit(now, deadline time.Time, queue Queue) *refusal.Error
}
