package overload

import (
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/rate"
	"nutmeglock.example/nutmeglock/share"
)

const (
	// pressedAfter is how long goroutines wait for the processor from which the router
	// takes fewer requests, well before it counts as overloaded, and relievedAfter that
	// below which it takes more again.
	pressedAfter  = 30 * time.Millisecond
	relievedAfter = 5 * time.Millisecond
	// Each look, 20 of which are made in a second, changes the part of the requests
	// that is taken. It falls by this part of it for a wait of pressedAfter, by more for a
	// longer one, and to mostFall of it at most. A stream costs most of its processor time
	// over some seconds after it was taken, so that what is taken before a flood shows is
	// late for as long. In the model of the tests, with 1,800 requests a second that come
	// at once, the longest wait was 9.2 s with a fall of 0.03 at each look, and is below
	// half a second so.
	fall     = 0.03
	mostFall = 0.5
	rise     = 1.01
	// leastTaken is the least part of the requests that is taken. With less, a router
	// would hardly find out that it has time again.
	leastTaken = 0.05
	// exhausted is the part that is taken from which on refusing more helps no further.
	exhausted = 2 * leastTaken
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
	less  float64
	level float64
	// last is the wait at the look before.
	last     time.Duration
	accounts map[K]*arrivals
}

// arrivals are the requests of one account.
type arrivals struct {
	recent rate.Recent
	// credit is the part of a request that may be taken beyond those that were.
	credit float64
}

// Observe takes how long goroutines wait for the processor, at each look. A single
// long wait, as of a machine that stood still for a moment, says nothing.
func (s *Shedder[K]) Observe(now time.Time, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := 1 - s.less
	pressed := min(wait, s.last)
	s.last = wait
	switch {
	case pressed >= pressedAfter:
		part *= max(1-fall*float64(pressed)/float64(pressedAfter), mostFall)
	case wait < relievedAfter:
		part *= rise
	}
	s.less = 1 - min(max(part, leastTaken), 1)
	s.setLevel(now)
}

// IsExhausted reports whether the router takes hardly anything any more. If goroutines
// still wait, it has too little processor time even to refuse.
func (s *Shedder[K]) IsExhausted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1-s.less <= exhausted
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
