package turn

import "time"

const (
	// startSpeed is the tokens read in a millisecond that are assumed before
	// anything is observed. It is below that of the engines known so far, so
	// that a router that has just started sends too little rather than too much.
	startSpeed = 40.0
	// informative is the work, in tokens, from which the time to the first event
	// tells the speed; below it the time is that of a step and the network.
	informative = 4000
	// firstStep is what the first event takes besides reading: two steps of the
	// batch and the way there and back.
	firstStep = 40 * time.Millisecond
	// speedMemory is the weight of the latest observation.
	speedMemory = 0.08
	// minSpeed and maxSpeed bound what is believed.
	minSpeed = 5.0
	maxSpeed = 2000.0
)

// speed is how many prompt tokens an upstream reads in a millisecond. Its zero
// value is the start speed.
type speed struct{ observed float64 }

func (s *speed) value() float64 {
	if s.observed == 0 {
		return startSpeed
	}
	return s.observed
}

// observe takes the time to the first event of a request that had work tokens
// to be read before it, its own included.
func (s *speed) observe(work int, took time.Duration) {
	if work < informative {
		return
	}
	reading := max(took-firstStep, time.Millisecond)
	seen := float64(work) / (float64(reading) / float64(time.Millisecond))
	seen = min(max(seen, minSpeed), maxSpeed)
	if s.observed == 0 {
		s.observed = startSpeed
	}
	s.observed += (seen - s.observed) * speedMemory
}

// time returns how long an amount of tokens takes.
func (s *speed) time(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.value() * float64(time.Millisecond))
}
