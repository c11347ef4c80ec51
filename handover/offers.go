package handover

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/overload"
	"nutmeglock.example/nutmeglock/rate"
)

const (
	// minTotal is the least number of requests that a helper with spare processor time offers per
	// interval to all routers together, 16 a second. A helper without callers of its own has served
	// nothing from which its capacity follows.
	minTotal = 4
	// servedPeriod is the time constant of the count of requests that the helper served.
	servedPeriod = time.Second
	// The gain is the ratio of offered to served requests. Served requests include relays, so a gain
	// above one lets offers grow by half each second. A request uses processor time for about a
	// second after it was accepted, so the gain falls faster than it grows: by a third per sample of
	// 50 ms while the helper has no processor time to spare, which takes nearly two seconds of calm
	// to undo five times.
	maxGain      = 1.5
	minGain      = 0.1
	gainDecrease = 0.7
	gainIncrease = 1.02
)

// Sample describes a helper since its previous sample.
type Sample struct {
	// Begun is the number of requests that it began to serve, relays included.
	Begun int
	// Wait is its latest scheduling latency.
	Wait time.Duration
	// Busy is set while it sheds, is stopping or is overloaded.
	Busy bool
	// Room is the number of further relays that its limit on connections allows.
	Room int
}

// hasSpare reports whether the helper has processor time to spare.
func (s Sample) hasSpare() bool { return !s.Busy && s.Wait < overload.LowWait }

// Offers decides how many requests a helper accepts from other routers. The helper's own callers
// come first: it offers nothing while goroutines wait for the processor. Its zero value offers
// nothing until the first sample. It isn't safe for concurrent use.
type Offers struct {
	askers map[fleet.RouterID]*asker
	latest Sample
	served rate.DecayingSum
	// gain is zero before the first sample, which stands for one.
	gain float64
}

// asker is a router that asked for offers.
type asker struct {
	askedAt, offeredAt time.Time
	offered            int
}

// Observe adds a sample.
func (o *Offers) Observe(now time.Time, s Sample) {
	o.latest = s
	if o.gain == 0 {
		o.gain = 1
	}
	if !s.hasSpare() {
		// What was served without time to spare doesn't show what the helper can take on.
		o.gain = max(o.gain*gainDecrease, minGain)
		return
	}
	o.served.Add(now, servedPeriod, float64(s.Begun))
	o.gain = min(o.gain*gainIncrease, maxGain)
}

// Ask records a query of a router. It returns the offer to answer with, and whether to answer. A
// repeated query isn't answered, as the offer is renewed anyway and would count twice.
func (o *Offers) Ask(now time.Time, router fleet.RouterID) (Offer, bool) {
	o.expire(now)
	if a := o.askers[router]; a != nil {
		a.askedAt = now
		return Offer{}, false
	}
	if o.askers == nil {
		o.askers = make(map[fleet.RouterID]*asker)
	}
	o.askers[router] = &asker{askedAt: now}
	return o.offer(now, router), true
}

// Renew returns the offers to send now: those that are due, and those that become zero.
func (o *Offers) Renew(now time.Time) []Offer {
	o.expire(now)
	var due []Offer
	for router, a := range o.askers {
		withdrawn := a.offered > 0 && !o.latest.hasSpare()
		if withdrawn || now.Sub(a.offeredAt) >= RenewInterval {
			due = append(due, o.offer(now, router))
		}
	}
	return due
}

// Forget removes a router whose connection was lost.
func (o *Offers) Forget(router fleet.RouterID) { delete(o.askers, router) }

func (o *Offers) expire(now time.Time) {
	for router, a := range o.askers {
		if now.Sub(a.askedAt) > lifetime {
			delete(o.askers, router)
		}
	}
}

// offer returns and records the offer to a router that asked.
func (o *Offers) offer(now time.Time, router fleet.RouterID) Offer {
	a := o.askers[router]
	a.offeredAt = now
	a.offered = o.total(now) / len(o.askers)
	if a.offered == 0 && o.total(now) > 0 {
		a.offered = 1
	}
	return Offer{Router: router, Requests: a.offered}
}

// total returns the number of requests to offer to all routers until the next renewal.
func (o *Offers) total(now time.Time) int {
	if !o.latest.hasSpare() {
		return 0
	}
	requests := o.gain * o.served.At(now, servedPeriod) * RenewInterval.Seconds() / servedPeriod.Seconds()
	return max(min(max(int(requests), minTotal), o.latest.Room), 0)
}
