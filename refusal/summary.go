package refusal

import (
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// singlesPerSecond is how many refusals of a second have a line of their own.
	singlesPerSecond = 50
	// maxKinds bounds the kinds that are summed apart; the rest is summed by reason alone.
	maxKinds = 64
	// maxFirst bounds the ids that a sum names.
	maxFirst = 3
)

// Kind is what refusals that are summed have in common.
type Kind struct {
	Reason Reason
	// Account and Route are empty in the sum of what is beyond the bound on kinds.
	Account fleet.AccountID
	Route   string
}

// Sum stands for refusals of one kind.
type Sum struct {
	Kind
	Count int
	// First are the ids of the first of them.
	First []fleet.RequestID
	// Longest is the longest time that one of them waited.
	Longest time.Duration
}

// Summary sums refusals beyond a bound on those of one second, so that a log of a flooded
// router stays short. Its zero value is empty. It is safe for concurrent use.
type Summary struct {
	mu sync.Mutex
	// second is that of the latest refusal in Unix time, and singles how many of it were not summed.
	second  int64
	singles int
	sums    map[Kind]*Sum
}

// Add takes a refusal. It returns false if the refusal wasn't summed and should be logged by
// itself.
func (s *Summary) Add(now time.Time, kind Kind, id fleet.RequestID, waited time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.second = second
		s.singles = 0
	}
	if s.singles < singlesPerSecond {
		s.singles++
		return false
	}
	sum := s.sum(kind)
	sum.Count++
	sum.Longest = max(sum.Longest, waited)
	if len(sum.First) < maxFirst {
		sum.First = append(sum.First, id)
	}
	return true
}

func (s *Summary) sum(kind Kind) *Sum {
	if sum := s.sums[kind]; sum != nil {
		return sum
	}
	if len(s.sums) >= maxKinds {
		kind = Kind{Reason: kind.Reason}
	}
	if s.sums == nil {
		s.sums = make(map[Kind]*Sum)
	}
	if s.sums[kind] == nil {
		s.sums[kind] = &Sum{Kind: kind}
	}
	return s.sums[kind]
}

// Take returns the sums since the last call.
func (s *Summary) Take() []Sum {
	s.mu.Lock()
	defer s.mu.Unlock()
	sums := make([]Sum, 0, len(s.sums))
	for _, sum := range s.sums {
		sums = append(sums, *sum)
	}
	s.sums = nil
	return sums
}
