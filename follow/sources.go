package follow

import (
	"math/rand/v2"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// hedgeDelay is how long a call may take before another source is called too,
	// and the minimum time between two calls to the same source.
	hedgeDelay = 200 * time.Millisecond
	// maxCalls bounds the concurrent calls of one router.
	maxCalls = 4
)

// Sources chooses the routers from which an update is fetched. Its zero value is empty.
// It is safe for concurrent use.
//
// A source may not respond, or be busy with calls of many other routers. So calls are
// hedged: one that takes long is followed by a call to another source.
type Sources struct {
	mu      sync.Mutex
	sources map[fleet.RouterID]*source
}

// source is the state of one router.
type source struct {
	// version is the latest version that the router announced.
	version uint64
	// lastCall is when the latest call to the router began; zero if there was none.
	lastCall time.Time
	inFlight bool
}

// Announce records that a router has a version. Announcements may arrive out of order.
func (s *Sources) Announce(router fleet.RouterID, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	src := s.sources[router]
	if src == nil {
		src = &source{}
		if s.sources == nil {
			s.sources = make(map[fleet.RouterID]*source)
		}
		s.sources[router] = src
	}
	src.version = max(src.version, version)
}

// Forget drops a router that is no longer connected.
func (s *Sources) Forget(router fleet.RouterID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sources, router)
}

// Next returns a router to call now for a version after held, or none, and how long to
// wait before Next is called again; zero means until a call ends or a router announces a
// newer version. The call to the router counts as in flight until End.
func (s *Sources) Next(now time.Time, held uint64) (router fleet.RouterID, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, latest := s.callsInFlight(held)
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
	if wait := chosen.lastCall.Add(hedgeDelay).Sub(now); wait > 0 {
		return "", wait
	}
	chosen.lastCall = now
	chosen.inFlight = true
	return router, hedgeDelay
}

// End records that the call to a router ended.
func (s *Sources) End(router fleet.RouterID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if src := s.sources[router]; src != nil {
		src.inFlight = false
	}
}

// callsInFlight returns how many calls for a version after held are in flight, and when
// the latest one began.
func (s *Sources) callsInFlight(held uint64) (calls int, latest time.Time) {
	for _, src := range s.sources {
		if !src.inFlight || src.version <= held {
			continue
		}
		calls++
		if src.lastCall.After(latest) {
			latest = src.lastCall
		}
	}
	return calls, latest
}

// choose returns the source that was called the longest ago, nil for none. Ties are
// broken at random, so that the routers of a fleet spread their calls.
func (s *Sources) choose(held uint64) (fleet.RouterID, *source) {
	var best *source
	var id fleet.RouterID
	ties := 0
	for router, src := range s.sources {
		if src.inFlight || src.version <= held {
			continue
		}
		switch {
		case best == nil || src.lastCall.Before(best.lastCall):
			ties = 1
		case src.lastCall.Equal(best.lastCall):
			ties++
		default:
			continue
		}
		if rand.N(ties) == 0 {
			best, id = src, router
		}
	}
	return id, best
}
