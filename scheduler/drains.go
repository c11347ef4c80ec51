package scheduler

import (
	"maps"
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// drains is what dispatchers know of upstreams that take no new work by their
// own word. Every router has to know: with all upstreams of a service
// draining, a request would otherwise wait for a slot that never comes until
// its deadline nears, where it can be refused at once.
type drains struct {
	// by are the upstreams that are draining, with the dispatcher that said so.
	by map[fleet.Number]fleet.RouterID
	// told are those of this router's dispatcher that the others know of.
	told []fleet.Number
}

func newDrains() drains { return drains{by: make(map[fleet.Number]fleet.RouterID)} }

// tell tells all routers, this one included, what changed at its upstreams.
func (d *drains) tell(s *Scheduler) {
	now := s.slots.Draining()
	if slices.Equal(now, d.told) {
		return
	}
	began, ended := without(now, d.told), without(d.told, now)
	d.told = now
	for _, id := range append(s.connected(), s.self) {
		out := s.outbox.to(id)
		out.Draining = append(out.Draining, began...)
		out.Working = append(out.Working, ended...)
		s.outbox.urgent(id)
	}
}

// without returns the numbers of all that are not in some, for a message.
func without(all, some []fleet.Number) []uint32 {
	var rest []uint32
	for _, number := range all {
		if !slices.Contains(some, number) {
			rest = append(rest, uint32(number))
		}
	}
	return rest
}

// take takes what a dispatcher says of its upstreams, and reports whether that
// is new.
func (d *drains) take(from fleet.RouterID, batch *schema.Batch) bool {
	changed := false
	if batch.GetComplete() {
		changed = d.forget(func(_ fleet.Number, by fleet.RouterID) bool { return by == from })
	}
	for _, number := range batch.GetDraining() {
		changed = changed || d.by[fleet.Number(number)] != from
		d.by[fleet.Number(number)] = from
	}
	for _, number := range batch.GetWorking() {
		if d.by[fleet.Number(number)] == from {
			delete(d.by, fleet.Number(number))
			changed = true
		}
	}
	return changed
}

// forget drops what gone accepts and reports whether there was any.
func (d *drains) forget(gone func(upstream fleet.Number, by fleet.RouterID) bool) bool {
	before := len(d.by)
	maps.DeleteFunc(d.by, gone)
	return len(d.by) != before
}

// drainsAt reports whether an upstream takes no new work by its own word, which
// its dispatcher passed on.
func (s *Scheduler) drainsAt(upstream fleet.Number, dispatcher fleet.RouterID) bool {
	by, draining := s.drains.by[upstream]
	return draining && by == dispatcher
}
