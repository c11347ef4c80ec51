package overload

import (
	"sync"
	"time"
)

// StandingQueue measures for how long a queue has not been empty. A burst drains within
// moments; a standing queue means that more arrives than is processed. Its zero value is
// an empty queue. It is safe for concurrent use.
type StandingQueue struct {
	mu sync.Mutex
	// since is when the queue was first seen non-empty after it was empty, zero while it
	// is empty.
	since time.Time
}

// Observe records whether the queue is empty.
func (s *StandingQueue) Observe(now time.Time, empty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case empty:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
}

// Duration returns how long the queue has not been empty.
func (s *StandingQueue) Duration(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}
