package rate

import "time"

// Peak is a decaying maximum of an amount: it rises at once with the amount and falls by a
// factor of e in each time constant. Its zero value is zero. It is not safe for concurrent
// use.
type Peak struct{ value DecayingSum }

// At returns the decayed peak at now.
func (p *Peak) At(now time.Time, timeConstant time.Duration) float64 {
	return p.value.At(now, timeConstant)
}

// Raise raises the peak to the current amount if that is higher.
func (p *Peak) Raise(now time.Time, timeConstant time.Duration, amount float64) {
	if increase := amount - p.At(now, timeConstant); increase > 0 {
		p.value.Add(now, timeConstant, increase)
	}
}

// Add adds an amount to the peak.
func (p *Peak) Add(now time.Time, timeConstant time.Duration, amount float64) {
	p.value.Add(now, timeConstant, amount)
}
