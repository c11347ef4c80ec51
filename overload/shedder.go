package overload

import (
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/rate"
	"nutmeglock.example/nutmeglock/share"
)

const (
	// pressedAfter is how long goroutines wait for the processor from which the router
	// takes fewer requests, and relievedAfter that below which it takes more again. A
	// request's way through a router takes some ten such waits, and the strictest targets
	// of the users are 120 to 800 ms. With shorter ones first events are sooner, but a small
	// router then does so little that its account gets less than half of what another one gets.
	pressedAfter  = 20 * time.Millisecond
	relievedAfter = 5 * time.Millisecond
	// Each look, 20 of which are made in a second, changes the part of the requests
	// that is taken. It falls by this part of it for a wait of pressedAfter, by more for a
	// longer one, and to mostFall of it at most. A stream costs most of its processor time
	// over some seconds after it was taken, so that what is taken before a flood shows is
	// late for as long.
	fall     = 0.03
	mostFall = 0.5
	rise     = 1.01
	// Below surelyFit of the most that was taken of late, the part rises by fastRise at each
	// look, and by calmRise once no wait was seen for calmLooks: what fell was more than
	// needed, as when a machine was slowed for a moment, and with rise alone its callers would be
	// refused for fifteen seconds more. Of late is as long as a slow-down lasts, since what was
	// taken in it says nothing of what the router can do after it.
	fastRise  = 1.08
	calmRise  = 1.03
	calmLooks = 20
	surelyFit = 0.5
	fitMemory = 10 * time.Second
	// leastTaken is the least part of the requests that is taken. With less, a router
	// would hardly find out that it has time again.
	leastTaken = 0.05
	// exhausted is the part that is taken from which on the router should give its callers
	// away, if goroutines still wait. An account that is held to less by one small router
	// gets less than its share of the engines.
	exhausted = 0.4
	// noticeable is the part that is refused from which on the router says so.
	noticeable = 0.1
	// arrivalMemory is the time constant of the counts of accounts' requests.
	arrivalMemory = time.Second
	// forgotten is the count of requests of late below which an account is forgotten.
	forgotten = 0.01
)

// Shedder decides which requests a router without enough processor time takes. Its
// zero value takes all. It is safe for concurrent use.
//
// It answers one account that the balancer brings to one small router. A request that
// is refused at once costs a twentieth of a stream of 50 events. Without it what is
// taken lines up: all of the account's requests are served late, and those of all other
// accounts at the router. Accounts that ask for little are taken whole: what the
// router can do is shared by max-min.
type Shedder[K comparable] struct {
	mu sync.Mutex
	// less is the part of the requests that isn't taken, and level the count of late up
	// to which accounts are taken whole.
	less   float64
	level  float64
	steady steady
	// fit is the most that was taken of late, and calm counts the looks since the last wait.
	fit  rate.Peak
	calm int
	// sheds is what the last look told of shedding.
	sheds    bool
	accounts map[K]*arrivals
	admitted Admission
}

// Admission counts requests over a time.
type Admission struct {
	// Rate is the part of the requests that is admitted now, from 0 to 1.
	Rate float64
	// Requests have arrived, and Admitted of them were taken.
	Requests int
	Admitted int
}

// arrivals are the requests of one account.
type arrivals struct {
	recent rate.Recent
	// credit is the part of a request that may be taken beyond those that were.
	credit float64
}

// Observe takes how long goroutines wait for the processor, at each look. It
// returns whether that began or ended shedding.
func (s *Shedder[K]) Observe(now time.Time, wait time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := 1 - s.less
	pressed := s.steady.observe(wait)
	s.fit.Raise(now, fitMemory, part)
	s.noteCalm(wait)
	switch {
	case pressed >= pressedAfter:
		part *= max(1-fall*float64(pressed)/float64(pressedAfter), mostFall)
	case wait < relievedAfter:
		part *= s.rise(now, part)
	}
	s.less = 1 - min(max(part, leastTaken), 1)
	s.setLevel(now)
	return s.changed()
}

// noteCalm counts the looks since goroutines waited.
func (s *Shedder[K]) noteCalm(wait time.Duration) {
	s.calm++
	if wait >= relievedAfter {
		s.calm = 0
	}
}

// rise returns by how much the part that is taken grows at a look.
func (s *Shedder[K]) rise(now time.Time, part float64) float64 {
	switch {
	case part < surelyFit*s.fit.At(now, fitMemory):
		return fastRise
	case s.calm >= calmLooks:
		return calmRise
	default:
		return rise
	}
}

// changed reports whether shedding began or ended. It has begun once it would be
// noticed, and ended once all is taken.
func (s *Shedder[K]) changed() bool {
	before := s.sheds
	switch {
	case s.less > noticeable:
		s.sheds = true
	case s.less == 0:
		s.sheds = false
	}
	return s.sheds != before
}

// IsShedding reports whether a part of the requests is refused.
func (s *Shedder[K]) IsShedding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sheds
}

// IsExhausted reports whether the router takes so little that its callers should go to
// another one, if goroutines still wait.
func (s *Shedder[K]) IsExhausted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1-s.less <= exhausted
}

// Admission returns what was counted since the last call.
func (s *Shedder[K]) Admission() Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := s.admitted
	counted.Rate = 1 - s.less
	s.admitted = Admission{}
	return counted
}

// setLevel works out up to which count of requests all accounts are taken.
func (s *Shedder[K]) setLevel(now time.Time) {
	counts := make([]float64, 0, len(s.accounts))
	total := 0.0
	for key, a := range s.accounts {
		count := a.recent.At(now, arrivalMemory)
		if count < forgotten {
			delete(s.accounts, key)
			continue
		}
		counts = append(counts, count)
		total += count
	}
	s.level = share.Level(counts, (1-s.less)*total)
}

// Takes reports whether the router takes a request that has just arrived.
func (s *Shedder[K]) Takes(now time.Time, key K) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted.Requests++
	admitted := s.admit(now, key)
	if admitted {
		s.admitted.Admitted++
	}
	return admitted
}

func (s *Shedder[K]) admit(now time.Time, key K) bool {
	if s.accounts == nil {
		s.accounts = make(map[K]*arrivals)
	}
	a := s.accounts[key]
	if a == nil {
		a = &arrivals{}
		s.accounts[key] = a
	}
	a.recent.Add(now, arrivalMemory, 1)
	if s.less == 0 {
		return true
	}
	a.credit += min(s.level/a.recent.At(now, arrivalMemory), 1)
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}
