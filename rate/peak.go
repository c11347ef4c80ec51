package rate

import "time"

// Peak is the most that an amount was of late: it falls by a factor of e in each memory, and
// rises with the amount. Its zero value is nothing. It isn't safe for concurrent use.
type Peak struct{ most Recent }

// At returns the peak.
func (p *Peak) At(now time.Time, memory time.Duration) float64 { return p.most.At(now, memory) }

// Raise takes the amount as it is now.
func (p *Peak) Raise(now time.Time, memory time.Duration, amount float64) {
	if more := amount - p.At(now, memory); more > 0 {
		p.most.Add(now, memory, more)
	}
}

// Add adds an amount to the peak.
func (p *Peak) Add(now time.Time, memory time.Duration, amount float64) {
	p.most.Add(now, memory, amount)
}
