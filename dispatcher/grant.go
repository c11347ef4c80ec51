package dispatcher

import (
	"maps"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/placement"
)

// Grant grants free slots to waiting requests, in the order of the policy, until
// there are no more free slots or requests. It returns the grants in that order.
func (d *Dispatcher[O, L, P]) Grant(now time.Time) []Grant {
	var granted []Grant
	for _, number := range slices.Sorted(maps.Keys(d.services)) {
		s := d.services[number]
		if len(s.demands) == 0 {
			continue
		}
		free := d.freeUpstreams(now, s)
		for len(free) > 0 {
			g, ok := d.grantOne(now, number, s, free)
			if !ok {
				break
			}
			granted = append(granted, g)
			free = slices.DeleteFunc(free, func(f freeUpstream[L]) bool { return f.upstream.inFlight >= f.limit })
		}
	}
	return granted
}

// freeUpstream is an upstream with a free slot.
type freeUpstream[L inflight.Limiter] struct {
	upstream *upstream[L]
	limit    int
}

// freeUpstreams returns the upstreams of a service that have a free slot.
func (d *Dispatcher[O, L, P]) freeUpstreams(now time.Time, s *service[O, L]) []freeUpstream[L] {
	var free []freeUpstream[L]
	for _, u := range s.upstreams {
		if !u.acceptsWork(now) {
			continue
		}
		if limit := u.limit(now); u.inFlight < limit {
			free = append(free, freeUpstream[L]{u, limit})
		}
	}
	return free
}

// grantOne grants a free slot to the next request in the order of the policy. It
// returns false if no waiting request is allowed at a free upstream.
func (d *Dispatcher[O, L, P]) grantOne(now time.Time, number fleet.ShortID, s *service[O, L], free []freeUpstream[L]) (Grant, bool) {
	eligible := func(a *ask) bool {
		return slices.ContainsFunc(free, func(f freeUpstream[L]) bool { return f.allowedFor(a) })
	}
	account, ok := s.policy.Next(func(account fleet.ShortID) bool {
		demand := s.demands[account]
		if demand == nil {
			return false
		}
		_, a := demand.oldestAsk(eligible)
		return a != nil
	})
	if !ok {
		return Grant{}, false
	}
	demand := s.demands[account]
	router, a := demand.oldestAsk(eligible)
	u, ok := d.pickUpstream(free, a)
	if !ok {
		return Grant{}, false
	}
	g := Grant{To: router, ID: d.nextID(), Account: account, Upstream: u.number, ReportBegin: u.isWarmingUp(now)}
	u.inFlight++
	d.grants[grantKey{router, g.ID}] = &grant{
		account: account, service: number, upstream: u.number,
		grantedAt: now, estimate: a.estimate, inFlightAtStart: u.inFlight, holdsSlot: true,
	}
	s.policy.Start(account, a.estimate)
	a.recordGrant(now, g.ID)
	d.updateBacklog(s, account, demand)
	return g, true
}

// allowedFor reports whether the oldest request of an ask may be sent to the
// upstream.
func (f freeUpstream[L]) allowedFor(a *ask) bool {
	return !slices.Contains(a.avoided, uint32(f.upstream.number))
}

// pickUpstream selects an upstream for the oldest request of an ask.
func (d *Dispatcher[O, L, P]) pickUpstream(free []freeUpstream[L], a *ask) (*upstream[L], bool) {
	var candidates []placement.Candidate
	var upstreams []*upstream[L]
	for _, f := range free {
		if !f.allowedFor(a) {
			continue
		}
		c := placement.Candidate{Upstream: f.upstream.number, InFlight: f.upstream.inFlight, Limit: f.limit}
		if i := slices.Index(a.preferred, uint32(c.Upstream)); i >= 0 {
			// The first probably caches most of the prompt, the next ones less of it.
			c.Affinity = 1 / float64(i+1)
		}
		candidates = append(candidates, c)
		upstreams = append(upstreams, f.upstream)
	}
	i, ok := d.options.Placement.Pick(candidates)
	if !ok {
		return nil, false
	}
	return upstreams[i], true
}

// FreeSlots returns the number of free slots of each service at this dispatcher.
func (d *Dispatcher[O, L, P]) FreeSlots(now time.Time) map[fleet.ShortID]int {
	free := make(map[fleet.ShortID]int)
	for number, s := range d.services {
		for _, f := range d.freeUpstreams(now, s) {
			free[number] += f.limit - f.upstream.inFlight
		}
	}
	return free
}

// ServiceLoad returns the number of requests of a service in flight at upstreams
// that accept work, and the sum of these upstreams' limits.
func (d *Dispatcher[O, L, P]) ServiceLoad(now time.Time, service fleet.ShortID) (inFlight, limit int) {
	s := d.services[service]
	if s == nil {
		return 0, 0
	}
	for _, u := range s.upstreams {
		if u.acceptsWork(now) {
			inFlight += u.inFlight
			limit += u.limit(now)
		}
	}
	return inFlight, limit
}

// IsFull reports whether an upstream that accepts work has no free slot.
func (d *Dispatcher[O, L, P]) IsFull(now time.Time, upstream fleet.ShortID) bool {
	u := d.upstreams[upstream]
	return u != nil && u.acceptsWork(now) && u.inFlight >= u.limit(now)
}
