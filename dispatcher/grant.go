package dispatcher

import (
	"maps"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/placement"
)

// Grant grants free slots to waiting work, in the order of the policy, until
// either is used up, and returns the grants in that order.
func (d *Dispatcher[O, L, P]) Grant(now time.Time) []Grant {
	var granted []Grant
	for _, number := range slices.Sorted(maps.Keys(d.services)) {
		s := d.services[number]
		if len(s.demands) == 0 {
			continue
		}
		rooms := d.rooms(now, s)
		for len(rooms) > 0 {
			g, ok := d.grantOne(now, number, s, rooms)
			if !ok {
				break
			}
			granted = append(granted, g)
			rooms = slices.DeleteFunc(rooms, func(r room[L]) bool { return r.upstream.inFlight >= r.limit })
		}
	}
	return granted
}

// room is an upstream that could take a request now.
type room[L inflight.Limiter] struct {
	upstream *upstream[L]
	limit    int
}

func (d *Dispatcher[O, L, P]) rooms(now time.Time, s *service[O, L]) []room[L] {
	var rooms []room[L]
	for _, u := range s.upstreams {
		if !u.takesWork(now) {
			continue
		}
		if limit := u.limit(now); u.inFlight < limit {
			rooms = append(rooms, room[L]{u, limit})
		}
	}
	return rooms
}

func (d *Dispatcher[O, L, P]) grantOne(now time.Time, number fleet.Number, s *service[O, L], rooms []room[L]) (Grant, bool) {
	fits := func(a *ask) bool {
		return slices.ContainsFunc(rooms, func(r room[L]) bool { return r.suits(a) })
	}
	account, ok := s.order.Next(func(account fleet.Number) bool {
		w := s.demands[account]
		if w == nil {
			return false
		}
		_, a := w.head(fits)
		return a != nil
	})
	if !ok {
		return Grant{}, false
	}
	w := s.demands[account]
	router, a := w.head(fits)
	u, ok := d.place(rooms, a)
	if !ok {
		return Grant{}, false
	}
	g := Grant{To: router, ID: d.nextID(), Account: account, Upstream: u.number, Begin: u.warming(now)}
	u.inFlight++
	d.grants[grantKey{router, g.ID}] = &grant{
		account: account, service: number, upstream: u.number,
		at: now, estimate: a.estimate, sentWith: u.inFlight, counted: true,
	}
	s.order.Start(account, a.estimate)
	a.taken(now, g.ID)
	d.update(s, account, w)
	return g, true
}

func (r room[L]) suits(a *ask) bool {
	return !slices.Contains(a.avoided, uint32(r.upstream.number))
}

// place picks an upstream for the head request of an ask.
func (d *Dispatcher[O, L, P]) place(rooms []room[L], a *ask) (*upstream[L], bool) {
	var candidates []placement.Candidate
	var upstreams []*upstream[L]
	for _, r := range rooms {
		if !r.suits(a) {
			continue
		}
		c := placement.Candidate{Upstream: r.upstream.number, InFlight: r.upstream.inFlight, Limit: r.limit}
		if i := slices.Index(a.preferred, uint32(c.Upstream)); i >= 0 {
			// The first has most of the prompt, the next ones its beginning.
			c.Affinity = 1 / float64(i+1)
		}
		candidates = append(candidates, c)
		upstreams = append(upstreams, r.upstream)
	}
	i, ok := d.options.Placement.Pick(candidates)
	if !ok {
		return nil, false
	}
	return upstreams[i], true
}

// Idle returns how many more requests each service could start here now.
func (d *Dispatcher[O, L, P]) Idle(now time.Time) map[fleet.Number]int {
	idle := make(map[fleet.Number]int)
	for number, s := range d.services {
		for _, r := range d.rooms(now, s) {
			idle[number] += r.limit - r.upstream.inFlight
		}
	}
	return idle
}

// Busy returns how many requests of a service are in flight here, and how many may be.
func (d *Dispatcher[O, L, P]) Busy(now time.Time, service fleet.Number) (inFlight, limit int) {
	s := d.services[service]
	if s == nil {
		return 0, 0
	}
	for _, u := range s.upstreams {
		if u.takesWork(now) {
			inFlight += u.inFlight
			limit += u.limit(now)
		}
	}
	return inFlight, limit
}

// Filled reports whether an upstream has as many requests in flight as it may.
func (d *Dispatcher[O, L, P]) Filled(now time.Time, upstream fleet.Number) bool {
	u := d.upstreams[upstream]
	return u != nil && u.takesWork(now) && u.inFlight >= u.limit(now)
}
