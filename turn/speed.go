package turn

import "time"

const (
	// initialSpeed is the assumed speed, in tokens per millisecond, before anything is
	// observed. It is below that of the known engines, so that a router that has just
	// started sends too little rather than too much.
	initialSpeed = 40.0
	// minObservedWork is the least work, in tokens, that is used to estimate the speed;
	// with less, the time to the first event depends mostly on a batch step and the
	// network.
	minObservedWork = 4000
	// firstEventOverhead is the time to the first event besides prefill: two batch steps
	// and the network round trip.
	firstEventOverhead = 40 * time.Millisecond
	// speedSmoothing is the weight of the latest observation in the moving average.
	speedSmoothing = 0.08
	// minSpeed and maxSpeed bound an observation, in tokens per millisecond.
	minSpeed = 5.0
	maxSpeed = 2000.0
)

// prefillSpeed estimates how many prompt tokens an upstream reads per millisecond. Its zero
// value assumes initialSpeed.
type prefillSpeed struct{ estimate float64 }

func (s *prefillSpeed) value() float64 {
	if s.estimate == 0 {
		return initialSpeed
	}
	return s.estimate
}

// observe updates the estimate from the time to the first event of a request. Work is the
// tokens that had to be read before that event, including the request's own.
func (s *prefillSpeed) observe(work int, took time.Duration) {
	if work < minObservedWork {
		return
	}
	reading := max(took-firstEventOverhead, time.Millisecond)
	seen := float64(work) / (float64(reading) / float64(time.Millisecond))
	seen = min(max(seen, minSpeed), maxSpeed)
	if s.estimate == 0 {
		s.estimate = initialSpeed
	}
	s.estimate += (seen - s.estimate) * speedSmoothing
}

// duration returns how long it takes to read a number of tokens.
func (s *prefillSpeed) duration(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.value() * float64(time.Millisecond))
}
