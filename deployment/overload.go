package deployment

import (
	"sync"
	"time"
)

const (
	// overloadLag is how late things are done, on the mean of late, from which the
	// router has too little processor time, and recoveredLag below which it has
	// enough again. A timer fires a few milliseconds late; where a processor's share
	// is a quota, up to 80 ms now and then.
	overloadLag  = 80 * time.Millisecond
	recoveredLag = 20 * time.Millisecond
	// leastOverload is how long the router stays overloaded at least: the balancer
	// needs two of its questions, a second apart, to notice.
	leastOverload = 2500 * time.Millisecond
	// lagWeight is that of the latest look, 20 of which are made in a second.
	lagWeight = 0.25
)

// overload tells whether the router gets enough processor time. Its zero value is a
// router that does. It is safe for concurrent use.
//
// It answers a flood of callers that the balancer sends to one small router, more than
// it can even refuse. What it has to do lines up, and requests are read seconds late:
// their callers have left, upstreams that have left since get them, and nobody at the
// router is served in time. How late timers fire tells it. An overloaded router says
// that it isn't ready and closes connections after their answer, so that callers
// come to others, which have processor time to spare.
type overload struct {
	mu    sync.Mutex
	lag   time.Duration
	since time.Time
	is    bool
}

// observe takes how late something was done. It returns whether that changed what
// isOverloaded says.
func (o *overload) observe(now time.Time, late time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lag += time.Duration(lagWeight * float64(late-o.lag))
	switch {
	case !o.is && o.lag >= overloadLag:
		o.is = true
		o.since = now
		return true
	case o.is && o.lag < recoveredLag && now.Sub(o.since) >= leastOverload:
		o.is = false
		return true
	}
	return false
}

func (o *overload) isOverloaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.is
}
