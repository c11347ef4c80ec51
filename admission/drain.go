package admission

import (
	"math"
	"time"
)

const (
	// drainTimeConstant is the time constant of the rate. It is twice the usual time that
	// a request holds a slot, since after a burst slots become free in groups that are
	// one such time apart.
	drainTimeConstant = 30 * time.Second
	// minObservation is how long requests must have waited before the rate is known.
	minObservation = 5 * time.Second
	// rateDeviations is how many standard deviations the highest rate lies above the mean
	// while there are few starts. At one of six routers an account has about three starts
	// within the time constant. In the virtual-time model, with most of the load from few
	// accounts and no wait as long as 120 s, the mean of the last 10 s refused 5,711
	// requests and 15,012 were answered; with this margin 2 were refused.
	rateDeviations = 2
	// confidentStarts is the number of starts at which the mean is used without a margin.
	// A permanent margin would admit slightly too much for as long as saturation lasts,
	// and all that was admitted would start just after its deadline.
	confidentStarts = 20
)

// DrainMeter measures the rate at which one account's requests are started while some
// wait. Time without waiting requests doesn't count, since starts then show only the rate
// of arrivals. A stall does count: the rate falls while requests wait and none is started.
// Its zero value is ready to use.
type DrainMeter struct {
	starts         float64
	waitingSeconds float64 // seconds with waiting requests, decayed like starts
	updatedAt      time.Time
	isWaiting      bool
}

// SetWaiting sets whether any of the account's requests wait from now on.
func (d *DrainMeter) SetWaiting(now time.Time, isWaiting bool) {
	d.advance(now)
	d.isWaiting = isWaiting
}

// AddStart counts a request that was started.
func (d *DrainMeter) AddStart(now time.Time) {
	d.advance(now)
	d.starts++
}

// Rate returns the starts per second of waiting time, or zero while that is unknown.
func (d *DrainMeter) Rate(now time.Time) float64 {
	d.advance(now)
	return d.perWaitingSecond(d.starts)
}

// MaxRate returns the highest rate that is consistent with the observed starts, or zero
// while that is unknown. It is meant for refusals: a request is refused only if its turn
// would come too late even at this rate.
func (d *DrainMeter) MaxRate(now time.Time) float64 {
	d.advance(now)
	marginFactor := max(1-d.starts/confidentStarts, 0)
	return d.perWaitingSecond(d.starts + marginFactor*rateDeviations*math.Sqrt(d.starts+1))
}

// perWaitingSecond returns the number of starts divided by the time in which requests
// waited, or zero while that time is too short.
func (d *DrainMeter) perWaitingSecond(starts float64) float64 {
	if d.waitingSeconds < minObservation.Seconds() {
		return 0
	}
	// No starts while requests wait are a stall. Zero would mean an unknown rate, so a
	// minimum rate is returned instead.
	return max(starts/d.waitingSeconds, 1/(10*drainTimeConstant.Seconds()))
}

func (d *DrainMeter) advance(now time.Time) {
	elapsed := now.Sub(d.updatedAt).Seconds()
	if d.updatedAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	d.updatedAt = now
	if !d.isWaiting {
		return
	}
	timeConstant := drainTimeConstant.Seconds()
	decay := math.Exp(-elapsed / timeConstant)
	d.starts *= decay
	d.waitingSeconds = d.waitingSeconds*decay + timeConstant*(1-decay)
}
