// Package placement decides which upstream a request is sent to.
package placement

import "nutmeglock.example/nutmeglock/fleet"

// Candidate is an upstream that could take a request now.
type Candidate struct {
	Upstream fleet.Number
	InFlight int
	Limit    int
	// Affinity is the part of the prompt that the upstream probably has in its
	// cache, from 0 to 1.
	Affinity float64
}

// Policy picks among candidates.
type Policy interface {
	// Pick returns the index of the chosen candidate, and false when none has room.
	Pick(candidates []Candidate) (int, bool)
}
