package overload

import (
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/rate"
	"nutmeglock.example/nutmeglock/share"
)

const (
	// When goroutines wait at least highWait for the processor, the router admits fewer
	// requests; below lowWait it admits more. A request takes some ten such waits to pass
	// through a router, and the strictest latency targets of users are 120 to 800 ms.
	// Shorter waits give earlier first events, but a small router then serves so little
	// that its account gets less than half of what another account gets.
	highWait = 20 * time.Millisecond
	lowWait  = 5 * time.Millisecond
	// Each sample, 20 per second, changes the admitted share of requests. A wait of
	// highWait lowers it by the fraction decrease, a longer wait by more, but one sample
	// lowers it at most by the factor minDecreaseFactor. A stream uses most of its
	// processor time in the seconds after it was admitted, so requests admitted before a
	// flood is detected are served late for that long.
	decrease          = 0.03
	minDecreaseFactor = 0.5
	slowGrowth        = 1.01
	// Below safePeakShare of its recent peak, the admitted share grows by fastGrowth per
	// sample, and after minQuietSamples without a wait by quietGrowth. The share then fell
	// further than needed, for example because a machine was slowed for a moment; with
	// slowGrowth alone callers would be refused for another fifteen seconds.
	// peakTimeConstant is as long as a slow-down lasts: what was admitted during it does
	// not show what the router can do afterwards.
	fastGrowth       = 1.08
	quietGrowth      = 1.03
	minQuietSamples  = 20
	safePeakShare    = 0.5
	peakTimeConstant = 10 * time.Second
	// minAdmittedShare is the smallest admitted share of requests. With less, the router would
	// hardly notice that it has processor time again.
	minAdmittedShare = 0.05
	// exhaustedShare is the admitted share up to which the router, if goroutines still
	// wait, should pass its callers to other routers. Below it, an account held back by
	// one small router gets less than its share of the engines.
	exhaustedShare = 0.4
	// sheddingThreshold is the refused share above which the router reports shedding.
	sheddingThreshold = 0.1
	// arrivalTimeConstant is the time constant of the decaying request count per account.
	arrivalTimeConstant = time.Second
	// minArrivals is the recent request count below which an account is dropped.
	minArrivals = 0.01
)

// LowWait is the scheduling latency below which a router has processor time to spare.
const LowWait = lowWait

// Shedder decides which requests a router without enough processor time admits. Its
// zero value admits all. It is safe for concurrent use.
//
// It protects against one account that the load balancer sends to one small router.
// Refusing a request at once costs a twentieth of serving a stream of 50 events. Without
// shedding, admitted requests queue up, and those of all accounts at the router are
// served late. Capacity is shared by max-min fairness, so accounts with few requests are
// admitted in full.
type Shedder[K comparable] struct {
	mu sync.Mutex
	// refusedShare is the share of requests that are refused, from 0 to 1.
	refusedShare float64
	// fairLimit is the recent request count up to which accounts are admitted in full.
	fairLimit float64
	filter    spikeFilter
	// peakAdmitted is the recent peak of the admitted share.
	peakAdmitted rate.Peak
	quietSamples int
	// shedding is the state that was last reported.
	shedding bool
	accounts map[K]*accountArrivals
	counts   Admission
}

// Admission counts the requests of a period.
type Admission struct {
	// Rate is the current admitted share of requests, from 0 to 1.
	Rate float64
	// Requests is the number of requests that arrived, Admitted of which were admitted.
	Requests int
	Admitted int
}

// accountArrivals tracks the requests of one account.
type accountArrivals struct {
	recent rate.DecayingSum
	// credit is the fraction of a request by which the account's quota exceeds what was
	// admitted.
	credit float64
}

// Observe adds a sample of how long goroutines wait for the processor. It reports
// whether shedding began or ended.
func (s *Shedder[K]) Observe(now time.Time, wait time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	admitted := 1 - s.refusedShare
	sustained := s.filter.observe(wait)
	s.peakAdmitted.Raise(now, peakTimeConstant, admitted)
	s.countQuiet(wait)
	switch {
	case sustained >= highWait:
		admitted *= max(1-decrease*float64(sustained)/float64(highWait), minDecreaseFactor)
	case wait < lowWait:
		admitted *= s.growthFactor(now, admitted)
	}
	s.refusedShare = 1 - min(max(admitted, minAdmittedShare), 1)
	s.updateFairLimit(now)
	return s.updateShedding()
}

// countQuiet counts the samples since goroutines last waited.
func (s *Shedder[K]) countQuiet(wait time.Duration) {
	s.quietSamples++
	if wait >= lowWait {
		s.quietSamples = 0
	}
}

// growthFactor returns the factor by which one sample raises the admitted share.
func (s *Shedder[K]) growthFactor(now time.Time, admitted float64) float64 {
	switch {
	case admitted < safePeakShare*s.peakAdmitted.At(now, peakTimeConstant):
		return fastGrowth
	case s.quietSamples >= minQuietSamples:
		return quietGrowth
	default:
		return slowGrowth
	}
}

// updateShedding reports whether shedding began or ended. It begins when the refused
// share exceeds sheddingThreshold and ends when all requests are admitted.
func (s *Shedder[K]) updateShedding() bool {
	before := s.shedding
	switch {
	case s.refusedShare > sheddingThreshold:
		s.shedding = true
	case s.refusedShare == 0:
		s.shedding = false
	}
	return s.shedding != before
}

// IsShedding reports whether the router sheds load. Shedding begins when the share of
// refused requests exceeds a threshold and ends when all requests are admitted.
func (s *Shedder[K]) IsShedding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedding
}

// IsExhausted reports whether the router admits so little that, if goroutines still
// wait, its callers should move to another router.
func (s *Shedder[K]) IsExhausted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1-s.refusedShare <= exhaustedShare
}

// Admission returns the counts since the last call.
func (s *Shedder[K]) Admission() Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := s.counts
	counted.Rate = 1 - s.refusedShare
	s.counts = Admission{}
	return counted
}

// updateFairLimit sets the max-min limit and drops accounts without recent requests.
func (s *Shedder[K]) updateFairLimit(now time.Time) {
	counts := make([]float64, 0, len(s.accounts))
	total := 0.0
	for key, a := range s.accounts {
		count := a.recent.At(now, arrivalTimeConstant)
		if count < minArrivals {
			delete(s.accounts, key)
			continue
		}
		counts = append(counts, count)
		total += count
	}
	s.fairLimit = share.MaxMinLimit(counts, (1-s.refusedShare)*total)
}

// Admit counts a request that has just arrived and reports whether it is admitted.
func (s *Shedder[K]) Admit(now time.Time, key K) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Requests++
	admitted := s.admit(now, key)
	if admitted {
		s.counts.Admitted++
	}
	return admitted
}

func (s *Shedder[K]) admit(now time.Time, key K) bool {
	if s.accounts == nil {
		s.accounts = make(map[K]*accountArrivals)
	}
	a := s.accounts[key]
	if a == nil {
		a = &accountArrivals{}
		s.accounts[key] = a
	}
	a.recent.Add(now, arrivalTimeConstant, 1)
	if s.refusedShare == 0 {
		return true
	}
	a.credit += min(s.fairLimit/a.recent.At(now, arrivalTimeConstant), 1)
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}
