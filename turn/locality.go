package turn

import (
	"math"
	"time"
)

const (
	// localityStep is how often the part is looked at.
	localityStep = 250 * time.Millisecond
	// localityMemory is the time constant of what became of requests, some waits for
	// a turn, so that a change of the part shows before the next but one.
	localityMemory = time.Second
	// localityMargin is the difference between the parts of requests that got no turn
	// here and elsewhere which isn't acted on: moving a beginning has an engine read it
	// once more.
	localityMargin = 0.05
	// localityFall and localityRise change the part at a step. It falls in some two
	// seconds when the engines here are full, and rises in some eight.
	localityFall = 0.85
	localityRise = 0.03
)

// Locality decides which prompts go to engines in the router's own data centre. Its
// zero value sends all there. It isn't safe for concurrent use.
//
// It answers prompts that cross between data centres for no reason. By hashing over
// all engines three of four do at four data centres, and a prompt of 12,000 tokens is
// 17 KB. Where the callers of a data centre need more than its engines can give, a
// part of the beginnings goes to engines anywhere, just so large that requests fare
// alike at both. Whole beginnings go or stay, so that each is still read in few places.
type Locality struct {
	// away is the part of the beginnings that goes anywhere.
	away    float64
	near    fortune
	far     fortune
	stepped time.Time
}

// fortune is how requests of late fared.
type fortune struct {
	asked, denied float64
	as            time.Time
}

func (f *fortune) add(now time.Time, denied bool) {
	kept := math.Exp(-now.Sub(f.as).Seconds() / localityMemory.Seconds())
	f.asked = f.asked*kept + 1
	f.denied *= kept
	if denied {
		f.denied++
	}
	f.as = now
}

// deniedShare returns the part that got no turn.
func (f *fortune) deniedShare(now time.Time) float64 {
	kept := math.Exp(-now.Sub(f.as).Seconds() / localityMemory.Seconds())
	return f.denied * kept / (f.asked*kept + 1) // one more, so that a single request says little
}

// IsNear reports whether prompts with a shared beginning go to the own data centre.
func (l *Locality) IsNear(shared uint64) bool {
	return float64(shared>>11)/(1<<53) >= l.away
}

// Observe takes whether a request got no turn in time.
func (l *Locality) Observe(now time.Time, near, denied bool) {
	if near {
		l.near.add(now, denied)
	} else {
		l.far.add(now, denied)
	}
	if now.Sub(l.stepped) < localityStep {
		return
	}
	l.stepped = now
	here, elsewhere := l.near.deniedShare(now), l.far.deniedShare(now)
	switch {
	case here > elsewhere+localityMargin:
		l.away = 1 - (1-l.away)*localityFall
	case here < elsewhere+localityMargin/2:
		l.away = max(l.away-localityRise, 0)
	}
}
