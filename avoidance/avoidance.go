// Package avoidance holds what upstreams have stated in their answers about further requests of a
// router: that they are leaving, or that they want none for a while.
//
// The list of upstreams tells the same late or not at all while the platform's store is out, and it has no
// entry for one router only. An upstream that is overloaded and gets requests that it turns away spends on
// them what it lacks.
package avoidance

import (
	"sync"
	"sync/atomic"
	"time"
)

// Reason is why a router sends nothing to an upstream.
type Reason string

const (
	// Leaving upstreams end soon. It holds for all routers, until the process has ended.
	Leaving Reason = "leaving"
	// Backoff means that the upstream has asked one router to send it nothing for a while.
	Backoff Reason = "backoff"
)

// Reasons returns all reasons, for counters that start at zero.
func Reasons() []Reason { return []Reason{Leaving, Backoff} }

const (
	// MaxBackoff bounds a backoff, so that no value overflows.
	MaxBackoff = 24 * time.Hour
	// retention is how long it is remembered that an upstream is leaving after it has vanished from the list. Its
	// entry may vanish in an outage of the store and return.
	retention = 10 * time.Minute
)

// Term is the time during which a router sends nothing to an upstream.
type Term struct {
	Reason Reason
	Since  time.Time
	// Until is zero if the term lasts as long as the upstream's process.
	Until time.Time
}

// Left returns how long the term still lasts, zero if that is as long as the upstream's process.
func (t Term) Left(now time.Time) time.Duration {
	if t.Until.IsZero() {
		return 0
	}
	return max(t.Until.Sub(now), 0)
}

// state is what one upstream has stated. Times are zero while it hasn't.
type state struct {
	leavingSince  time.Time
	backoffSince  time.Time
	backoffUntil  time.Time
	unlistedSince time.Time
}

// Set holds the terms of the upstreams with keys of type K, which has to tell successive processes of one
// upstream apart. Its zero value is empty. It is safe for concurrent use.
type Set[K comparable] struct {
	// count is the number of states, so that a look-up costs nothing while there are none.
	count  atomic.Int64
	mu     sync.RWMutex
	states map[K]*state
}

// RecordLeaving records that an upstream is leaving, and reports whether that is new.
func (s *Set[K]) RecordLeaving(now time.Time, key K) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(key)
	if !st.leavingSince.IsZero() {
		return false
	}
	st.leavingSince = now
	return true
}

// RecordBackoff records that an upstream wants nothing for a while from now on. It returns when that ends, and
// whether the upstream had wanted nothing before. A term may become longer and never shorter.
func (s *Set[K]) RecordBackoff(now time.Time, key K, backoff time.Duration) (until time.Time, began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(key)
	began = !now.Before(st.backoffUntil)
	if began {
		st.backoffSince = now
	}
	if end := now.Add(min(backoff, MaxBackoff)); end.After(st.backoffUntil) {
		st.backoffUntil = end
	}
	return st.backoffUntil, began
}

func (s *Set[K]) state(key K) *state {
	st := s.states[key]
	if st != nil {
		return st
	}
	if s.states == nil {
		s.states = make(map[K]*state)
	}
	st = &state{}
	s.states[key] = st
	s.count.Add(1)
	return st
}

// Find returns the term of an upstream, and whether there is one now.
func (s *Set[K]) Find(now time.Time, key K) (Term, bool) {
	if s.IsEmpty() {
		return Term{}, false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	st := s.states[key]
	switch {
	case st == nil:
		return Term{}, false
	case !st.leavingSince.IsZero():
		return Term{Reason: Leaving, Since: st.leavingSince}, true
	case now.Before(st.backoffUntil):
		return Term{Reason: Backoff, Since: st.backoffSince, Until: st.backoffUntil}, true
	}
	return Term{}, false
}

// IsEmpty reports whether there is no term. A nil Set has none.
func (s *Set[K]) IsEmpty() bool { return s == nil || s.count.Load() == 0 }

// Leaving returns the upstreams that are leaving.
func (s *Set[K]) Leaving() []K {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []K
	for key, st := range s.states {
		if !st.leavingSince.IsZero() {
			out = append(out, key)
		}
	}
	return out
}

// Ended is a term that has ended.
type Ended[K comparable] struct {
	Key  K
	Term Term
}

// Expire drops what has ended, and returns it. isListed reports whether the list of upstreams has an upstream's process.
func (s *Set[K]) Expire(now time.Time, isListed func(key K) bool) []Ended[K] {
	if s.IsEmpty() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var ended []Ended[K]
	for key, st := range s.states {
		if !st.backoffUntil.IsZero() && !now.Before(st.backoffUntil) {
			ended = append(ended, Ended[K]{key, Term{Backoff, st.backoffSince, st.backoffUntil}})
			st.backoffSince, st.backoffUntil = time.Time{}, time.Time{}
		}
		if !st.leavingSince.IsZero() && st.isOver(now, isListed(key)) {
			ended = append(ended, Ended[K]{key, Term{Leaving, st.leavingSince, now}})
			st.leavingSince = time.Time{}
		}
		if *st == (state{unlistedSince: st.unlistedSince}) {
			delete(s.states, key)
			s.count.Add(-1)
		}
	}
	return ended
}

// isOver reports whether an upstream that was leaving has been gone for long.
func (st *state) isOver(now time.Time, isListed bool) bool {
	switch {
	case isListed:
		st.unlistedSince = time.Time{}
	case st.unlistedSince.IsZero():
		st.unlistedSince = now
	}
	return !isListed && now.Sub(st.unlistedSince) >= retention
}

// Forget drops what an upstream has stated.
func (s *Set[K]) Forget(key K) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.states[key] != nil {
		delete(s.states, key)
		s.count.Add(-1)
	}
}
