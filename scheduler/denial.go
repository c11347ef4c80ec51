package scheduler

import (
	"maps"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// denials remembers routers that this one takes for dispatchers of a service
// and that say they dispatch none of its upstreams.
//
// While the network between some pairs of routers is cut, two routers that
// reach each other may believe in different dispatchers for good. A router
// that can't reach the dispatcher of an upstream takes the next one in rank
// for it, which knows the true one and grants nothing: work would wait beside
// idle slots until its deadline. A router that is denied so for a while leaves
// the other out and asks the next in rank, in the end itself. The upstream
// then has two dispatchers, which its own reports hold together.
type denials struct {
	by map[denialKey]denial
}

type denialKey struct {
	service fleet.Number
	router  fleet.RouterID
}

type denial struct {
	first, last time.Time
	// believed is set once the router is left out.
	believed bool
}

const (
	// denialWait is how long a router must deny. Views of the fleet differ for
	// about as long after each change.
	denialWait = time.Second
	// denialPause ends a denial that was not repeated.
	denialPause = time.Second
	// denialTime is how long a router is left out. Its own view may have changed.
	denialTime = 30 * time.Second
)

func newDenials() denials { return denials{by: make(map[denialKey]denial)} }

// take takes a denial and reports whether the router is left out from now on.
func (d *denials) take(now time.Time, service fleet.Number, router fleet.RouterID) bool {
	key := denialKey{service, router}
	known := d.by[key]
	if known.believed {
		return false
	}
	if now.Sub(known.last) > denialPause {
		known.first = now
	}
	known.last = now
	known.believed = now.Sub(known.first) >= denialWait
	d.by[key] = known
	return known.believed
}

// expire forgets old denials and reports whether one was believed.
func (d *denials) expire(now time.Time) bool {
	changed := false
	maps.DeleteFunc(d.by, func(_ denialKey, each denial) bool {
		old := now.Sub(each.last) > denialTime
		changed = changed || (old && each.believed)
		return old
	})
	return changed
}

// without returns the routers that are not left out of a service.
func (d *denials) without(service fleet.Number, routers []fleet.RouterID) []fleet.RouterID {
	var rest []fleet.RouterID
	for _, router := range routers {
		if !d.by[denialKey{service, router}].believed {
			rest = append(rest, router)
		}
	}
	return rest
}

// of reports whether any router is left out of a service.
func (d *denials) of(service fleet.Number) bool {
	for key, each := range d.by {
		if key.service == service && each.believed {
			return true
		}
	}
	return false
}

// any reports whether a router is left out of any service.
func (d *denials) any() bool {
	for _, each := range d.by {
		if each.believed {
			return true
		}
	}
	return false
}

// deny tells a router that this one dispatches no upstream of a service.
func (s *Scheduler) deny(to fleet.RouterID, service fleet.Number) {
	if s.view == nil || s.assigned.own[service] || to == s.self {
		return
	}
	out := s.outbox.to(to)
	if !slices.Contains(out.GetDenied(), uint32(service)) {
		out.Denied = append(out.Denied, uint32(service))
	}
}

// denied takes a router's word that it dispatches no upstream of a service.
// Its asks are repeated at the next review.
func (s *Scheduler) denied(now time.Time, from fleet.RouterID, service fleet.Number) {
	if !slices.ContainsFunc(s.assigned.byService[service], func(t target) bool { return t.router == from }) {
		return
	}
	for key, q := range s.entry.queues {
		if key.service == service {
			delete(q.asked, from)
		}
	}
	if s.denials.take(now, service, from) {
		s.stale = true
		s.refresh(now)
	}
}
