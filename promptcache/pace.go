package promptcache

import "time"

const (
	// paceStep is the relative change of the pace at an observation: about 50 answers move it
	// by the factor of e.
	paceStep = 1.02
	// overrunReserve is what a request holds relative to what it has probably generated, once
	// that is near or above the estimate. Half of all answers are longer than estimated, and
	// such an answer goes on for a time of the order of what it took so far; the ledger sees
	// later growth in time, so a quarter is enough.
	overrunReserve = 1.25
	// maxOverrun bounds what a request holds, as a multiple of the estimate. The time since its
	// first event tells little about an answer that is paused.
	maxOverrun = 8
)

// pace is the time in which an engine generates a token of an answer. It is the median of the
// ratio of an answer's duration to its estimated length, because the estimate is right at the
// median. Its zero value is unknown.
type pace struct{ perToken time.Duration }

// observe updates the pace by a whole answer.
func (p *pace) observe(took time.Duration, output int) {
	if output <= 0 || took <= 0 {
		return
	}
	observed := took / time.Duration(output)
	switch {
	case p.perToken <= 0:
		p.perToken = observed
	case observed > p.perToken:
		p.perToken = time.Duration(float64(p.perToken) * paceStep)
	default:
		p.perToken = time.Duration(float64(p.perToken) / paceStep)
	}
}

// expectedOutput returns how many tokens a request will need that has generated for a time,
// given the estimate before it began.
func (p *pace) expectedOutput(took time.Duration, output int) int {
	if p.perToken <= 0 {
		return output
	}
	generated := float64(took) / float64(p.perToken)
	return int(min(max(float64(output), overrunReserve*generated), max(maxOverrun*float64(output), 1)))
}
