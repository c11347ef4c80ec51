package admission

import (
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/rate"
)

const (
	// lineMemory is the time constant of the rate at which an account's requests
	// get their turns. Their patience is a fraction of a second.
	lineMemory = time.Second
	// lineSlack is how many times what would get its turn in time, at the rate of
	// late, may wait. It leaves room for a rate that rises, as at the start of a
	// burst, and for a choice of requests for the engine that falls idle next.
	lineSlack = 4
	// leastLine may always wait.
	leastLine = 16
	// askSlack is how many times as often as of late an account's requests get their
	// turns they may ask for one, and leastAsks is how often they always may, in
	// requests a second. Most of a flood is refused at once and never waits, but each
	// ask costs as much as an event or two of a stream.
	askSlack  = 5
	leastAsks = 100
	// leastLineRetry and mostLineRetry bound when a caller is asked back.
	leastLineRetry = 100 * time.Millisecond
	mostLineRetry  = 2 * time.Second
)

// Lines bounds how many requests of each account wait at a router for turns that
// come within a fraction of a second. Its zero value is ready to use. It is safe
// for concurrent use.
//
// It answers an account that floods one router, with ten and more times what it
// can be served. Each request would be read, wait, and be refused when its patience
// ends: callers hear late what was known at once, and a small router spends its
// processor on them until it reads the requests of all others seconds late.
type Lines[K comparable] struct {
	mu    sync.Mutex
	lines map[K]*line
}

type line struct {
	waiting int
	asks    rate.Recent
	starts  rate.Recent
}

// perSecond returns how often something happened in a second.
func perSecond(r *rate.Recent, now time.Time) float64 {
	return r.At(now, lineMemory) / lineMemory.Seconds()
}

// IsFull reports whether a line is so long that a request whose patience is given
// can't have its turn in time, and when its caller should come back.
func (s *Lines[K]) IsFull(now time.Time, key K, patience time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lines[key]
	if l == nil {
		return 0, false
	}
	started := perSecond(&l.starts, now)
	isLong := l.waiting >= leastLine && float64(l.waiting) >= lineSlack*started*patience.Seconds()
	if !isLong && perSecond(&l.asks, now) <= max(askSlack*started, leastAsks) {
		return 0, false
	}
	seconds := float64(l.waiting) / max(started, 1)
	retry := time.Duration(seconds * float64(time.Second))
	return min(max(retry, leastLineRetry), mostLineRetry), true
}

// Enter counts a request that waits from now on.
func (s *Lines[K]) Enter(now time.Time, key K) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lines == nil {
		s.lines = make(map[K]*line)
	}
	if s.lines[key] == nil {
		s.lines[key] = &line{}
	}
	s.lines[key].waiting++
	s.lines[key].asks.Add(now, lineMemory, 1)
}

// Leave counts a request that waits no more, because it got its turn or not.
func (s *Lines[K]) Leave(now time.Time, key K, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lines[key]
	l.waiting--
	if started {
		l.starts.Add(now, lineMemory, 1)
	}
}
