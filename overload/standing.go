package overload

import (
	"sync"
	"time"
)

// Standing measures for how long a queue hasn't been empty. A burst empties within moments; a
// queue that stands means that more arrives than is done. Its zero value is an empty queue. It
// is safe for concurrent use.
type Standing struct {
	mu sync.Mutex
	// since is when the queue was seen to hold something for the first time after it was
	// empty, zero while it is empty.
	since time.Time
}

// Observe takes whether the queue is empty.
func (s *Standing) Observe(now time.Time, empty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case empty:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
}

// For returns for how long the queue hasn't been empty.
func (s *Standing) For(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}
