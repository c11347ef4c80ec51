package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// advanceInterval paces what running requests are charged. At 16 requests
	// of 25 tokens a second, an account's service is off by 100 tokens at
	// most, a quarter of a usual request.
	advanceInterval = 250 * time.Millisecond
	// speedMemory is the weight of one more ended request in the speed.
	speedMemory = 0.05
	// usualSpeed is tokens per second: 41 ms a token at a full batch.
	usualSpeed = 25
)

// speed is how the cost of a request at one upstream grows with its time
// there: a line through the ended requests, in which later ones weigh more.
// Its foot is the cost of the prompt, which counts as soon as it is computed.
// A mean of cost over time would take short requests, with their prompts, for
// faster than long ones.
type speed struct {
	known bool
	// Means of time, cost and their products.
	time, cost, square, product float64
}

func (s *speed) add(cost fleet.Tokens, residence time.Duration) {
	if cost <= 0 || residence <= 0 {
		return
	}
	x, y := residence.Seconds(), float64(cost)
	memory := speedMemory
	if !s.known {
		memory = 1
	}
	s.known = true
	s.time += memory * (x - s.time)
	s.cost += memory * (y - s.cost)
	s.square += memory * (x*x - s.square)
	s.product += memory * (x*y - s.product)
}

// served returns the expected cost of a request so far. One that was taken over
// with a known cost goes on from there.
// Before any request has ended the usual speed of an engine is assumed, up to
// the estimate: else accounts would seem unserved until the first answers end.
func (s *speed) served(told, estimate fleet.Tokens, after time.Duration) fleet.Tokens {
	if !s.known {
		return min(fleet.Tokens(usualSpeed*after.Seconds()), estimate)
	}
	foot, rise := s.line()
	if told > 0 {
		foot = float64(told)
	}
	return fleet.Tokens(foot + rise*after.Seconds())
}

// line returns the line's cost at the start and its rise per second. Requests
// of about the same length give no line; then the cost rises evenly from the
// start.
func (s *speed) line() (foot, rise float64) {
	const leastVariation = 0.01
	rise = s.cost / s.time
	variance := s.square - s.time*s.time
	if variance > leastVariation*s.time*s.time {
		rise = min(max((s.product-s.time*s.cost)/variance, 0), rise)
	}
	return s.cost - rise*s.time, rise
}

// advance counts what running requests are served, at the speed of their
// upstream. Were it counted only at their end, accounts whose requests are near
// their end would seem to have had as much as those whose requests have just
// begun, and the gap between accounts would be twice as wide. Routers know the
// true amounts, but telling them four times a second costs more than the
// control allowance; the end settles the difference.
func (d *Dispatcher[O, L, P]) advance(now time.Time) {
	if now.Sub(d.advanced) < advanceInterval {
		return
	}
	d.advanced = now
	served := make(map[use]fleet.Tokens)
	for _, g := range d.grants {
		u := d.upstreams[g.upstream]
		if u == nil {
			continue
		}
		if cost := u.speed.served(g.told, g.estimate, now.Sub(g.at)); cost > g.charged {
			served[use{g.service, g.account}] += cost - g.charged
			g.charged = cost
		}
	}
	// In a fixed order, so that the order's ties are broken the same each time.
	for _, key := range slices.SortedFunc(maps.Keys(served), use.compare) {
		d.service(key.service).order.Correct(key.account, served[key])
	}
}

// use is an account's use of a service.
type use struct{ service, account fleet.Number }

func (u use) compare(other use) int {
	return cmp.Or(cmp.Compare(u.service, other.service), cmp.Compare(u.account, other.account))
}
