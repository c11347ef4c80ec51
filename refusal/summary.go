package refusal

import (
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// maxLoggedPerSecond is the number of refusals per second that are logged one by one.
	maxLoggedPerSecond = 50
	// maxKinds is the maximum number of kinds that are summed separately. Refusals of
	// further kinds are summed by reason alone.
	maxKinds = 64
	// maxFirstIDs is the maximum number of request IDs in a sum.
	maxFirstIDs = 3
)

// Kind holds the fields that are equal in all refusals of one sum.
type Kind struct {
	Reason Reason
	// Account and Route are empty in sums of refusals beyond maxKinds.
	Account fleet.AccountID
	Route   string
}

// Sum summarises refusals of one kind.
type Sum struct {
	Kind
	Count int
	// FirstIDs holds the IDs of the first refused requests.
	FirstIDs []fleet.RequestID
	// LongestWait is the longest time for which one of the requests waited.
	LongestWait time.Duration
}

// Summary sums the refusals beyond a limit per second, so that the log of a flooded router
// stays short. Its zero value is empty. It is safe for concurrent use.
type Summary struct {
	mu sync.Mutex
	// second is the Unix time of the latest refusal, and logged the number of refusals in
	// that second that were not summed.
	second int64
	logged int
	sums   map[Kind]*Sum
}

// Add counts a refusal. It returns false if the refusal was not summed and must be logged
// separately.
func (s *Summary) Add(now time.Time, kind Kind, id fleet.RequestID, waited time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.second = second
		s.logged = 0
	}
	if s.logged < maxLoggedPerSecond {
		s.logged++
		return false
	}
	sum := s.sum(kind)
	sum.Count++
	sum.LongestWait = max(sum.LongestWait, waited)
	if len(sum.FirstIDs) < maxFirstIDs {
		sum.FirstIDs = append(sum.FirstIDs, id.Short())
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

// Take returns and resets the sums.
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
