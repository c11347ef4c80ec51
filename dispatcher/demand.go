package dispatcher

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/share"
)

// demand is what waits for one account and service, at all routers.
type demand struct {
	asks map[fleet.RouterID]*ask
}

// ask is what waits at one router.
type ask struct {
	waiting   int
	estimate  fleet.Tokens
	asked     int
	since     time.Time
	preferred []uint32
	avoided   []uint32
	// unseen are grants that the router had not seen when it asked.
	unseen []sentGrant
}

type sentGrant struct {
	id GrantID
	at time.Time
}

// Ask takes what a router has waiting. Through is the highest id of this
// dispatcher's grants that the router had seen, so that work for which a
// grant is on its way is not granted again.
func (d *Dispatcher[O, L, P]) Ask(now time.Time, from fleet.RouterID, through GrantID, message *schema.Ask) {
	account := fleet.Number(message.GetAccount())
	s := d.service(fleet.Number(message.GetService()))
	w := s.demands[account]
	if w == nil {
		w = &demand{asks: make(map[fleet.RouterID]*ask)}
		s.demands[account] = w
	}
	a := w.asks[from]
	if a == nil {
		a = &ask{}
		w.asks[from] = a
	}
	a.acknowledge(now, through, d.options.AckWait)
	a.waiting = max(0, int(message.GetWaiting())-len(a.unseen))
	a.estimate = max(1, fleet.Tokens(message.GetEstimate()))
	a.asked = max(1, int(message.GetAsked()))
	a.since = now.Add(-time.Duration(message.GetWaitedMs()) * time.Millisecond)
	a.preferred = message.GetPreferred()
	a.avoided = message.GetAvoided()
	if message.GetWaiting() == 0 && len(a.unseen) == 0 {
		delete(w.asks, from)
	}
	d.update(s, account, w)
}

// acknowledge drops the grants that the router has seen, and those that must
// have been lost: without the second part one lost grant would hold back a
// waiting request for ever.
func (a *ask) acknowledge(now time.Time, through GrantID, wait time.Duration) {
	unseen := a.unseen[:0]
	for _, g := range a.unseen {
		if g.id > through && now.Sub(g.at) < wait {
			unseen = append(unseen, g)
		}
	}
	a.unseen = unseen
}

// update tells the order what waits for an account now.
func (d *Dispatcher[O, L, P]) update(s *service[O, L], account fleet.Number, w *demand) {
	total := share.Waiting{Weight: max(1, d.options.Weight(account)), Asked: 1}
	for _, a := range w.asks {
		if a.waiting == 0 {
			continue
		}
		if total.Requests == 0 || a.since.Before(total.Since) {
			total.Since = a.since
			total.Estimate = a.estimate
		}
		total.Requests += a.waiting
		total.Asked = max(total.Asked, a.asked)
	}
	s.order.Wait(account, total)
	if len(w.asks) == 0 {
		delete(s.demands, account)
	}
}

// head returns the router whose request of the account has waited longest,
// among those with one that fits.
func (w *demand) head(fits func(a *ask) bool) (fleet.RouterID, *ask) {
	var router fleet.RouterID
	var oldest *ask
	for r, a := range w.asks {
		if a.waiting == 0 || !fits(a) {
			continue
		}
		if oldest == nil || a.since.Before(oldest.since) || (a.since.Equal(oldest.since) && r < router) {
			router, oldest = r, a
		}
	}
	return router, oldest
}

// taken counts a grant against the ask. The next request's age is not known
// until the router asks again; that arrivals were spread evenly is assumed.
func (a *ask) taken(now time.Time, id GrantID) {
	a.since = a.since.Add(now.Sub(a.since) / time.Duration(a.waiting))
	a.waiting--
	a.unseen = append(a.unseen, sentGrant{id, now})
}

// Unmet returns whether work waits here for a service.
func (d *Dispatcher[O, L, P]) Unmet(service fleet.Number) bool {
	s := d.services[service]
	if s == nil {
		return false
	}
	for _, w := range s.demands {
		for _, a := range w.asks {
			if a.waiting > 0 {
				return true
			}
		}
	}
	return false
}
