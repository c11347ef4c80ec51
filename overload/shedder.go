package overload

import (
	"math"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/share"
)

const (
	// pressedAfter is how long goroutines wait for the processor from which the router
	// takes fewer requests, well before it counts as overloaded, and relievedAfter that
	// below which it takes more again.
	pressedAfter  = 30 * time.Millisecond
	relievedAfter = 5 * time.Millisecond
	// Each look, 20 of which are made in a second, changes the part of the requests
	// that is taken by these factors. A stream costs most of its processor time over
	// some seconds after it was taken. In the model of the tests the longest wait under a
	// flood is 24 ms so, and 137 ms with 0.99 and 1.01, for as much that is served.
	fall = 0.97
	rise = 1.02
	// leastTaken is the least part of the requests that is taken. With less, all would
	// be refused once by a router that is merely slow.
	leastTaken = 0.1
	// rateMemory is the time constant of the rates of accounts.
	rateMemory = time.Second
	// forgotten is the rate, in requests a second, below which an account is forgotten.
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
	// part is that of the requests that is taken, less one, so that zero takes all.
	less  float64
	level float64
	rates map[K]*arrivals
}

// arrivals are the requests of one account of late.
type arrivals struct {
	count float64
	as    time.Time
	// credit is the part of a request that may be taken beyond those that were.
	credit float64
}

func (a *arrivals) rate(now time.Time) float64 {
	return a.count * math.Exp(-now.Sub(a.as).Seconds()/rateMemory.Seconds())
}

func (a *arrivals) add(now time.Time) {
	a.count = a.rate(now) + 1
	a.as = now
}

// Observe takes how long goroutines wait for the processor, at each look.
func (s *Shedder[K]) Observe(now time.Time, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := 1 - s.less
	switch {
	case wait >= pressedAfter:
		part *= fall
	case wait < relievedAfter:
		part *= rise
	}
	s.less = 1 - min(max(part, leastTaken), 1)
	s.setLevel(now)
}

// setLevel works out up to which rate all accounts are taken.
func (s *Shedder[K]) setLevel(now time.Time) {
	rates := make([]float64, 0, len(s.rates))
	total := 0.0
	for key, a := range s.rates {
		rate := a.rate(now)
		if rate < forgotten {
			delete(s.rates, key)
			continue
		}
		rates = append(rates, rate)
		total += rate
	}
	s.level = share.Level(rates, (1-s.less)*total)
}

// Takes reports whether the router takes a request that has just arrived.
func (s *Shedder[K]) Takes(now time.Time, key K) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rates == nil {
		s.rates = make(map[K]*arrivals)
	}
	a := s.rates[key]
	if a == nil {
		a = &arrivals{as: now}
		s.rates[key] = a
	}
	a.add(now)
	if s.less == 0 {
		return true
	}
	a.credit += min(s.level/a.rate(now), 1)
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}
