package scheduler

import (
	"maps"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// denials records routers that this router considers dispatchers of a service but
// that report to dispatch none of its upstreams.
//
// While the network between some pairs of routers is cut, two routers that reach
// each other may disagree on the dispatcher for as long as the cut lasts. A router
// that can't reach an upstream's dispatcher selects the router of the next rank.
// That one still reaches the dispatcher and therefore grants nothing: requests
// would wait until their deadlines although slots are idle. A router that gets
// denials for a while excludes their sender and asks the next in rank, finally
// itself. The upstream then has two dispatchers, which its load reports limit
// together.
type denials struct {
	byKey map[denialKey]denial
}

type denialKey struct {
	service fleet.ShortID
	router  fleet.RouterID
}

type denial struct {
	first, last time.Time
	// confirmed is set when the router is excluded from the service.
	confirmed bool
}

const (
	// denialConfirmTime is how long a router must repeat a denial before it is
	// excluded. Views of the fleet differ for about as long after each change.
	denialConfirmTime = time.Second
	// maxDenialGap is the longest time between two denials that count as one series.
	maxDenialGap = time.Second
	// denialTTL is how long a router stays excluded; after that its view may have changed.
	denialTTL = 30 * time.Second
)

func newDenials() denials { return denials{byKey: make(map[denialKey]denial)} }

// record records a denial and reports whether it caused the router's exclusion.
func (d *denials) record(now time.Time, service fleet.ShortID, router fleet.RouterID) bool {
	key := denialKey{service, router}
	known := d.byKey[key]
	if known.confirmed {
		return false
	}
	if now.Sub(known.last) > maxDenialGap {
		known.first = now
	}
	known.last = now
	known.confirmed = now.Sub(known.first) >= denialConfirmTime
	d.byKey[key] = known
	return known.confirmed
}

// expire deletes old denials and reports whether any of them was confirmed.
func (d *denials) expire(now time.Time) bool {
	changed := false
	maps.DeleteFunc(d.byKey, func(_ denialKey, entry denial) bool {
		old := now.Sub(entry.last) > denialTTL
		changed = changed || (old && entry.confirmed)
		return old
	})
	return changed
}

// filter returns the routers that are not excluded from a service.
func (d *denials) filter(service fleet.ShortID, routers []fleet.RouterID) []fleet.RouterID {
	var rest []fleet.RouterID
	for _, router := range routers {
		if !d.byKey[denialKey{service, router}].confirmed {
			rest = append(rest, router)
		}
	}
	return rest
}

// affects reports whether any router is excluded from a service.
func (d *denials) affects(service fleet.ShortID) bool {
	for key, entry := range d.byKey {
		if key.service == service && entry.confirmed {
			return true
		}
	}
	return false
}

// any reports whether any router is excluded from any service.
func (d *denials) any() bool {
	for _, entry := range d.byKey {
		if entry.confirmed {
			return true
		}
	}
	return false
}

// sendDenial reports to a router that this one dispatches no upstream of a service.
func (s *Scheduler) sendDenial(to fleet.RouterID, service fleet.ShortID) {
	if s.view == nil || s.assignment.ownServices[service] || to == s.self {
		return
	}
	out := s.outbox.batchTo(to)
	if !slices.Contains(out.GetDenied(), uint32(service)) {
		out.Denied = append(out.Denied, uint32(service))
	}
}

// handleDenial handles a router's report that it dispatches no upstream of a
// service. The next review repeats the asks to it.
func (s *Scheduler) handleDenial(now time.Time, from fleet.RouterID, service fleet.ShortID) {
	if !slices.ContainsFunc(s.assignment.available[service], func(u availableUpstream) bool { return u.dispatcher == from }) {
		return
	}
	for key, q := range s.local.queues {
		if key.service == service {
			delete(q.dispatcherCounts, from)
		}
	}
	if s.denials.record(now, service, from) {
		s.assignmentStale = true
		s.refreshAssignment(now)
	}
}
