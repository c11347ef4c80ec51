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
	// words are what routers said of upstreams that they dispatch by their own
	// view. A word is kept also while this router takes another one for the
	// dispatcher: it is said once, and the views may meet only afterwards.
	words map[word]bool
	// told are those of this router's dispatcher that the others know of.
	told []fleet.Number
}

// word is that an upstream drains, said by a router.
type word struct {
	upstream fleet.Number
	by       fleet.RouterID
}

func newDrains() drains { return drains{words: make(map[word]bool)} }

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
		changed = d.forget(func(each word) bool { return each.by == from })
	}
	for _, number := range batch.GetDraining() {
		each := word{fleet.Number(number), from}
		changed = changed || !d.words[each]
		d.words[each] = true
	}
	for _, number := range batch.GetWorking() {
		each := word{fleet.Number(number), from}
		changed = changed || d.words[each]
		delete(d.words, each)
	}
	return changed
}

// forget drops the words that gone accepts and reports whether there was any.
func (d *drains) forget(gone func(each word) bool) bool {
	before := len(d.words)
	maps.DeleteFunc(d.words, func(each word, _ bool) bool { return gone(each) })
	return len(d.words) != before
}

// drainsAt reports whether an upstream takes no new work by its own word, which
// its dispatcher passed on.
func (s *Scheduler) drainsAt(upstream fleet.Number, dispatcher fleet.RouterID) bool {
	return s.drains.words[word{upstream, dispatcher}]
}
