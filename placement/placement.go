// Package placement decides which upstream a request is sent to.
//
// It answers the load of many requests that begin alike. An upstream that has
// the beginning in its cache skips that part of the work; sent anywhere, each
// upstream computes and caches every beginning, and the caches, which are
// small, push each other's entries out. Sent only where the cache is, one
// popular beginning fills one upstream while the others idle. Affinity weighs
// both: the cache is worth a part of the upstream's room and no more.
package placement

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

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

// Thresholds of Affinity and Prefer.
const (
	// defaultWorth lets a whole cached prompt outweigh half a batch: prefill is
	// about a tenth to a half of a request's work, and what is in flight slows
	// each token down for less than that until the batch is half full.
	defaultWorth = 0.5
	// preference is the affinity of the upstream that a beginning prefers
	// while no cache is known to hold it. It is small, so that it decides
	// between upstreams that are about equally loaded and gives way to any
	// known cache.
	preference = 0.2
)

// Affinity picks the candidate with the least part of its limit in use, less
// what its cache is worth. Its zero value is ready to use.
type Affinity struct {
	// Worth is the part of an upstream's limit that a wholly cached prompt
	// outweighs; zero means 0.5.
	Worth float64
}

// Pick returns the candidate with the lowest score; the one with the most
// room among equals.
func (a Affinity) Pick(candidates []Candidate) (int, bool) {
	worth := a.Worth
	if worth <= 0 {
		worth = defaultWorth
	}
	return pick(candidates, worth)
}

// LeastLoaded picks the candidate with the least part of its limit in use and
// looks at no cache. It is the baseline of Affinity.
type LeastLoaded struct{}

// Pick returns the candidate with the lowest load.
func (LeastLoaded) Pick(candidates []Candidate) (int, bool) { return pick(candidates, 0) }

func pick(candidates []Candidate, worth float64) (int, bool) {
	best := -1
	var bestScore float64
	for i, c := range candidates {
		if c.InFlight >= c.Limit {
			continue
		}
		score := float64(c.InFlight)/float64(c.Limit) - worth*c.Affinity
		better := best < 0 || score < bestScore ||
			(score == bestScore && room(c) > room(candidates[best]))
		if better {
			best, bestScore = i, score
		}
	}
	return best, best >= 0
}

func room(c Candidate) int { return c.Limit - c.InFlight }

// Prefer gives the upstream that a beginning of a prompt prefers a small
// affinity, so that the first requests with it meet at one upstream before
// any cache event arrives, at whichever dispatcher they are placed. A prompt
// without a beginning prefers none.
func Prefer(beginning uint64, candidates []Candidate) {
	if beginning == 0 || len(candidates) == 0 {
		return
	}
	best := 0
	var bestScore uint64
	for i, c := range candidates {
		score := uint64(rendezvous.KeyOfNumber("prefix", beginning^uint64(c.Upstream)<<32))
		if i == 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	candidates[best].Affinity = max(candidates[best].Affinity, preference)
}
