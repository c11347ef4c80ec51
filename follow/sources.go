package follow

import (
	"math/rand/v2"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// hedgeDelay is how long one source is waited for before another one is asked
	// too, and the least time between two calls to the same source.
	hedgeDelay = 200 * time.Millisecond
	// maxCalls bounds the calls of one router that are under way.
	maxCalls = 4
)

// Sources chooses which other routers to ask for an update. Its zero value knows
// none. It is safe for concurrent use.
//
// A source may be silent, or busy with many other routers that ask. So a call that
// takes long is joined by a call to another source instead of being awaited alone.
type Sources struct {
	mu      sync.Mutex
	sources map[fleet.RouterID]*source
}

// source is what is known of one router.
type source struct {
	// announced is the version that the router has.
	announced uint64
	// asked is when the latest call to it began, zero for never.
	asked   time.Time
	calling bool
}

// Announce notes that a router has a version.
func (s *Sources) Announce(router fleet.RouterID, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.sources[router]
	if known == nil {
		known = &source{}
		if s.sources == nil {
			s.sources = make(map[fleet.RouterID]*source)
		}
		s.sources[router] = known
	}
	known.announced = version
}

// Forget drops a router that is no longer connected.
func (s *Sources) Forget(router fleet.RouterID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sources, router)
}

// Next returns a router to ask now for a version after held, or none, and when to
// look again; zero means not before a call ends or a router announces something newer.
// The call counts as under way until End.
func (s *Sources) Next(now time.Time, held uint64) (router fleet.RouterID, again time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, latest := s.underWay(held)
	if calls >= maxCalls {
		return "", 0
	}
	if wait := latest.Add(hedgeDelay).Sub(now); calls > 0 && wait > 0 {
		return "", wait
	}
	router, chosen := s.choose(held)
	if chosen == nil {
		return "", 0
	}
	if wait := chosen.asked.Add(hedgeDelay).Sub(now); wait > 0 {
		return "", wait
	}
	chosen.asked = now
	chosen.calling = true
	return router, hedgeDelay
}

// End notes that the call to a router ended.
func (s *Sources) End(router fleet.RouterID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.sources[router]; known != nil {
		known.calling = false
	}
}

// underWay returns how many calls for a version after held are under way, and when
// the latest one began.
func (s *Sources) underWay(held uint64) (calls int, latest time.Time) {
	for _, known := range s.sources {
		if !known.calling || known.announced <= held {
			continue
		}
		calls++
		if known.asked.After(latest) {
			latest = known.asked
		}
	}
	return calls, latest
}

// choose returns the source that was asked the longest ago, nil for none. Among several
// the choice is random, so that the routers of a fleet spread their calls.
func (s *Sources) choose(held uint64) (fleet.RouterID, *source) {
	var best *source
	var id fleet.RouterID
	ties := 0
	for router, known := range s.sources {
		if known.calling || known.announced <= held {
			continue
		}
		switch {
		case best == nil || known.asked.Before(best.asked):
			ties = 1
		case known.asked.Equal(best.asked):
			ties++
		default:
			continue
		}
		if rand.N(ties) == 0 {
			best, id = known, router
		}
	}
	return id, best
}
