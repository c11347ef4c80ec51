package scheduler

import (
	"maps"
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// drainReports holds the upstreams that their dispatchers report as draining.
// Every router needs them to refuse requests at once if all upstreams of a service
// drain. The requests would otherwise wait until shortly before their deadlines.
type drainReports struct {
	// received holds the reports of routers about upstreams that they dispatch in
	// their own view. A report is kept even if this router considers another
	// router the dispatcher: it is sent once, and the views may converge later.
	received map[drainReport]bool
	// announced are the draining upstreams of this dispatcher last reported to the others.
	announced []fleet.ShortID
}

// drainReport is a router's report that an upstream drains.
type drainReport struct {
	upstream fleet.ShortID
	reporter fleet.RouterID
}

func newDrainReports() drainReports { return drainReports{received: make(map[drainReport]bool)} }

// announce reports changes at this dispatcher's upstreams to all routers, including this one.
func (d *drainReports) announce(s *Scheduler) {
	draining := s.dispatcher.DrainingUpstreams()
	if slices.Equal(draining, d.announced) {
		return
	}
	began, ended := numbersExcept(draining, d.announced), numbersExcept(d.announced, draining)
	d.announced = draining
	for _, id := range append(s.connectedRouters(), s.self) {
		out := s.outbox.batchTo(id)
		out.Draining = append(out.Draining, began...)
		out.Working = append(out.Working, ended...)
		s.outbox.sendUrgently(id)
	}
}

// numbersExcept returns the numbers in all that are not in excluded, as message fields.
func numbersExcept(all, excluded []fleet.ShortID) []uint32 {
	var rest []uint32
	for _, number := range all {
		if !slices.Contains(excluded, number) {
			rest = append(rest, uint32(number))
		}
	}
	return rest
}

// handleBatch applies a dispatcher's drain reports and reports whether any of them
// changed something.
func (d *drainReports) handleBatch(from fleet.RouterID, batch *schema.Batch) bool {
	changed := false
	if batch.GetComplete() {
		changed = d.removeIf(func(report drainReport) bool { return report.reporter == from })
	}
	for _, number := range batch.GetDraining() {
		report := drainReport{fleet.ShortID(number), from}
		changed = changed || !d.received[report]
		d.received[report] = true
	}
	for _, number := range batch.GetWorking() {
		report := drainReport{fleet.ShortID(number), from}
		changed = changed || d.received[report]
		delete(d.received, report)
	}
	return changed
}

// removeIf deletes the reports for which match is true and reports whether there were any.
func (d *drainReports) removeIf(match func(report drainReport) bool) bool {
	before := len(d.received)
	maps.DeleteFunc(d.received, func(report drainReport, _ bool) bool { return match(report) })
	return len(d.received) != before
}

// isDraining reports whether an upstream drains according to its dispatcher.
func (s *Scheduler) isDraining(upstream fleet.ShortID, dispatcher fleet.RouterID) bool {
	return s.drainReports.received[drainReport{upstream, dispatcher}]
}
