// Package placement decides which upstream a request is sent to.
//
// It is meant for traffic in which many requests share prompt prefixes. An upstream that
// has the prefix cached skips that part of the work. Without cache affinity, each upstream
// computes every prefix, and prefixes evict each other from the small caches. With cache
// affinity alone, a popular prefix fills one upstream while the others idle. CacheAffinity
// weighs cache against load: a cached prompt is worth a fixed fraction of the upstream's
// limit.
package placement

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// Candidate is an upstream that a request may be sent to.
type Candidate struct {
	Upstream fleet.ShortID
	InFlight int
	Limit    int
	// Affinity is the fraction of the prompt, from 0 to 1, that the upstream probably has
	// cached.
	Affinity float64
}

// Policy chooses among candidates.
type Policy interface {
	// Pick returns the index of the chosen candidate, and false when all are full.
	Pick(candidates []Candidate) (int, bool)
}

// Parameters of CacheAffinity and AddPreferredAffinity.
const (
	// defaultCacheWeight lets a fully cached prompt outweigh half a batch: prefill is a
	// tenth to a half of a request's work, and until the batch is half full the requests in
	// flight slow each token down by less than that.
	defaultCacheWeight = 0.5
	// preferredAffinity is the affinity of a prefix's preferred upstream while no cache is
	// known to hold the prefix. It is low, so that it decides only between upstreams with
	// similar load and any known cache outweighs it.
	preferredAffinity = 0.2
)

// CacheAffinity picks the candidate with the lowest load relative to its limit, minus the
// value of its cache. Its zero value is ready to use.
type CacheAffinity struct {
	// CacheWeight is the fraction of an upstream's limit that a fully cached prompt
	// outweighs; zero means 0.5.
	CacheWeight float64
}

// Pick returns the candidate with the lowest score, and among equals the one with the most
// free slots.
func (a CacheAffinity) Pick(candidates []Candidate) (int, bool) {
	cacheWeight := a.CacheWeight
	if cacheWeight <= 0 {
		cacheWeight = defaultCacheWeight
	}
	return pick(candidates, cacheWeight)
}

// LeastLoaded picks the candidate with the lowest load relative to its limit and ignores
// caches. It is the baseline for CacheAffinity.
type LeastLoaded struct{}

// Pick returns the candidate with the lowest load.
func (LeastLoaded) Pick(candidates []Candidate) (int, bool) { return pick(candidates, 0) }

func pick(candidates []Candidate, cacheWeight float64) (int, bool) {
	best := -1
	var bestScore float64
	for i, c := range candidates {
		if c.InFlight >= c.Limit {
			continue
		}
		score := float64(c.InFlight)/float64(c.Limit) - cacheWeight*c.Affinity
		better := best < 0 || score < bestScore ||
			(score == bestScore && freeSlots(c) > freeSlots(candidates[best]))
		if better {
			best, bestScore = i, score
		}
	}
	return best, best >= 0
}

func freeSlots(c Candidate) int { return c.Limit - c.InFlight }

// AddPreferredAffinity gives a prefix's preferred upstream a small affinity, so that all
// dispatchers send the first requests with the prefix to the same upstream before a cache
// event arrives. A zero prefix has no preferred upstream.
func AddPreferredAffinity(prefix uint64, candidates []Candidate) {
	if prefix == 0 || len(candidates) == 0 {
		return
	}
	best := 0
	var bestScore uint64
	for i, c := range candidates {
		score := uint64(rendezvous.KeyOfNumber("prefix", prefix^uint64(c.Upstream)<<32))
		if i == 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	candidates[best].Affinity = max(candidates[best].Affinity, preferredAffinity)
}
