package scheduler

import (
	"time"

	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/schema"
)

// connectionChanged takes note that a connection came or went.
func (s *Scheduler) connectionChanged(change peer.Change) {
	now := s.timer.Now()
	r := s.routers[change.Router]
	if r == nil {
		r = &router{}
		s.routers[change.Router] = r
	}
	s.outbox.drop(change.Router)
	r.connected = change.Connected
	if !change.Connected {
		s.members.Disconnected(now, change.Router)
		s.slots.Gone(now, change.Router)
		s.drains.forget(func(each word) bool { return each.by == change.Router })
		s.entry.lost(s, now, change.Router)
		s.refresh(now)
		return
	}
	if change.Incarnation != r.incarnation {
		r.restarted = r.incarnation != 0
		// The new life counts its grants from the beginning.
		delete(s.entry.through, change.Router)
	}
	r.incarnation, r.fresh = change.Incarnation, true
	r.dataCenter, r.address = change.DataCenter, change.Address
	r.seen, r.told = 0, 0
	s.members.Connected(now, change.Router, change.Address)
	s.refresh(now)
	if s.view != nil {
		s.exchange.reassign(s)
	}
	s.sendComplete(now, change.Router)
}

// sendComplete sends all that this router asks of another and has in flight
// of it. It is the first message of a connection, and repeated at times.
func (s *Scheduler) sendComplete(now time.Time, to fleet.RouterID) {
	s.routers[to].completeAt = now
	out := s.outbox.to(to)
	out.Complete = true
	out.Asks = s.entry.asksFor(now, to)
	out.Held = s.entry.heldFor(s, to)
	out.Leaving = s.stopping || s.view == nil
	out.Draining, out.Working = without(s.drains.told, nil), nil
	s.outbox.urgent(to)
}

// repeatComplete tells one router at a time all that it has to know, when it
// was not told for a while.
func (s *Scheduler) repeatComplete(now time.Time) {
	interval := max(leastCompleteInterval, time.Duration(len(s.routers))*completePerRouter)
	for id, r := range s.routers {
		if r.connected && now.Sub(r.completeAt) >= interval {
			s.sendComplete(now, id)
			return
		}
	}
}

// receive takes a batch from another router.
func (s *Scheduler) receive(from fleet.RouterID, batch *schema.Batch) {
	r := s.routers[from]
	if r == nil || !r.connected {
		// The rest of a connection that is gone: its sender's asks and grants
		// were given up with it.
		return
	}
	now := s.timer.Now()
	if leaving := batch.GetLeaving(); (leaving || batch.GetComplete()) && leaving != s.members.Leaving(from) {
		s.members.Leave(now, from, leaving)
		s.refresh(now)
	}
	s.take(now, from, r, batch)
}

// deliverOwn handles what this router has for itself and reports whether
// there was anything.
func (s *Scheduler) deliverOwn(now time.Time) bool {
	batch := s.outbox.takeOwn()
	if batch == nil {
		return false
	}
	batch.GrantedThrough = s.entry.through[s.self]
	s.take(now, s.self, &router{incarnation: s.incarnation}, batch)
	return true
}

// take handles a batch from another router or from this one itself, in an
// order in which each part finds what it builds on: what is held before what
// is released, and releases before asks, which they may withdraw.
func (s *Scheduler) take(now time.Time, from fleet.RouterID, r *router, batch *schema.Batch) {
	r.seen = max(r.seen, batch.GetGrantedThrough())
	if s.drains.take(from, batch) {
		s.stale = true
		s.refresh(now)
	}
	ids := heldIDs(batch)
	if batch.GetComplete() && r.fresh {
		s.slots.Connected(now, from, ids, r.restarted)
	}
	s.takeHeld(now, from, batch)
	for _, message := range batch.GetReleases() {
		s.slots.Release(now, from, message)
	}
	if batch.GetComplete() && !r.fresh {
		// After the releases: what they settle is no longer held.
		s.slots.Complete(now, from, ids)
	}
	if batch.GetComplete() {
		r.fresh, r.restarted = false, false
	}
	for _, message := range batch.GetAsks() {
		s.slots.Ask(now, from, dispatcher.GrantIDOf(r.seen, s.nonce(s.self)), message)
		if message.GetWaiting() > 0 {
			s.deny(from, fleet.Number(message.GetService()))
		}
	}
	for _, service := range batch.GetDenied() {
		s.denied(now, from, fleet.Number(service))
	}
	for _, message := range batch.GetGrants() {
		s.entry.granted(s, now, from, message)
	}
	for _, message := range batch.GetReports() {
		s.exchange.report(s, now, from, r.incarnation, message)
	}
	for _, message := range batch.GetTotals() {
		s.exchange.total(s, message)
	}
	for _, message := range batch.GetFree() {
		s.entry.offered(s, now, from, fleet.Number(message.GetService()))
	}
}

func heldIDs(batch *schema.Batch) map[dispatcher.GrantID]bool {
	if !batch.GetComplete() {
		return nil
	}
	ids := make(map[dispatcher.GrantID]bool)
	for _, message := range batch.GetHeld() {
		for _, id := range message.GetIds() {
			ids[dispatcher.GrantID(id)] = true
		}
	}
	return ids
}

func (s *Scheduler) takeHeld(now time.Time, from fleet.RouterID, batch *schema.Batch) {
	if s.view == nil {
		return
	}
	for _, message := range batch.GetHeld() {
		if u := s.view.UpstreamByNumber(fleet.Number(message.GetUpstream())); u != nil {
			s.slots.Held(now, from, s.assigned.services[fleet.ServiceID(u.GetService())], message)
		}
	}
}
