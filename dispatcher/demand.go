package dispatcher

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/share"
)

// accountDemand is the demand of one account for one service at all routers.
type accountDemand struct {
	asks map[fleet.RouterID]*ask
}

// ask is the demand at one router, from its last Ask message.
type ask struct {
	waiting     int
	estimate    fleet.Tokens
	dispatchers int
	oldestSince time.Time
	preferred   []uint32
	avoided     []uint32
	// unseenGrants are the grants that the router had not received when it asked.
	unseenGrants []sentGrant
}

type sentGrant struct {
	id     GrantID
	sentAt time.Time
}

// HandleAsk replaces the demand of an account at a router. through is the highest id
// of this dispatcher's grants that the router had received, so that a request is
// not granted a second slot while the first grant is in transit.
func (d *Dispatcher[O, L, P]) HandleAsk(now time.Time, from fleet.RouterID, through GrantID, message *schema.Ask) {
	account := fleet.ShortID(message.GetAccount())
	s := d.service(fleet.ShortID(message.GetService()))
	demand := s.demands[account]
	if demand == nil {
		demand = &accountDemand{asks: make(map[fleet.RouterID]*ask)}
		s.demands[account] = demand
	}
	a := demand.asks[from]
	if a == nil {
		a = &ask{}
		demand.asks[from] = a
	}
	a.acknowledge(now, through, d.options.AckTimeout)
	a.waiting = max(0, int(message.GetWaiting())-len(a.unseenGrants))
	a.estimate = max(1, fleet.Tokens(message.GetEstimate()))
	a.dispatchers = max(1, int(message.GetAsked()))
	a.oldestSince = now.Add(-time.Duration(message.GetWaitedMs()) * time.Millisecond)
	a.preferred = message.GetPreferred()
	a.avoided = message.GetAvoided()
	if message.GetWaiting() == 0 && len(a.unseenGrants) == 0 {
		delete(demand.asks, from)
	}
	d.updateBacklog(s, account, demand)
}

// acknowledge removes the grants that the router has received and those older
// than timeout, which must have been lost. Without the timeout, a lost grant
// would block a waiting request forever.
func (a *ask) acknowledge(now time.Time, through GrantID, timeout time.Duration) {
	unseen := a.unseenGrants[:0]
	for _, g := range a.unseenGrants {
		if g.id > through && now.Sub(g.sentAt) < timeout {
			unseen = append(unseen, g)
		}
	}
	a.unseenGrants = unseen
}

// updateBacklog passes the current demand of an account to the service's policy.
func (d *Dispatcher[O, L, P]) updateBacklog(s *service[O, L], account fleet.ShortID, demand *accountDemand) {
	total := share.Backlog{Weight: max(1, d.options.Weight(account)), Dispatchers: 1}
	for _, a := range demand.asks {
		if a.waiting == 0 {
			continue
		}
		if total.Requests == 0 || a.oldestSince.Before(total.OldestSince) {
			total.OldestSince = a.oldestSince
			total.Estimate = a.estimate
		}
		total.Requests += a.waiting
		total.Dispatchers = max(total.Dispatchers, a.dispatchers)
	}
	s.policy.SetBacklog(account, total)
	if len(demand.asks) == 0 {
		delete(s.demands, account)
	}
}

// oldestAsk returns the router whose request has waited longest, among the asks
// that eligible accepts.
func (d *accountDemand) oldestAsk(eligible func(a *ask) bool) (fleet.RouterID, *ask) {
	var router fleet.RouterID
	var oldest *ask
	for r, a := range d.asks {
		if a.waiting == 0 || !eligible(a) {
			continue
		}
		if oldest == nil || a.oldestSince.Before(oldest.oldestSince) || (a.oldestSince.Equal(oldest.oldestSince) && r < router) {
			router, oldest = r, a
		}
	}
	return router, oldest
}

// recordGrant subtracts a granted request from the ask. The age of the next
// request is unknown until the router asks again; the estimate assumes that the
// requests arrived at even intervals.
func (a *ask) recordGrant(now time.Time, id GrantID) {
	a.oldestSince = a.oldestSince.Add(now.Sub(a.oldestSince) / time.Duration(a.waiting))
	a.waiting--
	a.unseenGrants = append(a.unseenGrants, sentGrant{id, now})
}

// HasWaiting reports whether requests for a service are waiting at this dispatcher.
func (d *Dispatcher[O, L, P]) HasWaiting(service fleet.ShortID) bool {
	s := d.services[service]
	if s == nil {
		return false
	}
	for _, demand := range s.demands {
		for _, a := range demand.asks {
			if a.waiting > 0 {
				return true
			}
		}
	}
	return false
}
