package overload

import (
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/rate"
)

// timeShareConstant is the time constant over which a TimeShare measures.
const timeShareConstant = 500 * time.Millisecond

// TimeShare measures how much processor time a kind of work takes. Its zero value has seen none. It is safe for concurrent use.
type TimeShare struct {
	mu    sync.Mutex
	spent rate.DecayingSum
}

// Add records that work took some time.
func (s *TimeShare) Add(now time.Time, spent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spent.Add(now, timeShareConstant, spent.Seconds())
}

// At returns the number of processors that the work has lately taken.
func (s *TimeShare) At(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spent.At(now, timeShareConstant) / timeShareConstant.Seconds()
}
