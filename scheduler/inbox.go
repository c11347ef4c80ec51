package scheduler

import (
	"time"

	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/schema"
)

// handleConnectionChange updates the state when a connection opens or closes.
func (s *Scheduler) handleConnectionChange(change peer.Change) {
	now := s.timer.Now()
	r := s.routers[change.Router]
	if r == nil {
		r = &remoteRouter{}
		s.routers[change.Router] = r
	}
	s.outbox.drop(change.Router)
	r.connected = change.Connected
	if !change.Connected {
		s.members.SetDisconnected(now, change.Router)
		s.dispatcher.HandleDisconnect(now, change.Router)
		s.drainReports.removeIf(func(report drainReport) bool { return report.reporter == change.Router })
		s.local.handleRouterLost(s, now, change.Router)
		s.refreshAssignment(now)
		return
	}
	if change.Incarnation != r.incarnation {
		r.restarted = r.incarnation != 0
		// The new incarnation counts its grants from the beginning.
		delete(s.local.lastGrant, change.Router)
	}
	r.incarnation, r.awaitsComplete = change.Incarnation, true
	r.dataCenter, r.address = change.DataCenter, change.Address
	r.seenGrant, r.ackedGrant = 0, 0
	s.members.SetConnected(now, change.Router, change.Address)
	s.refreshAssignment(now)
	if s.view != nil {
		s.exchange.updateKeepers(s)
	}
	s.sendComplete(now, change.Router)
}

// sendComplete sends another router a complete batch: all asks, held slots and
// draining upstreams that concern it. It is a connection's first message and is
// repeated at intervals.
func (s *Scheduler) sendComplete(now time.Time, to fleet.RouterID) {
	s.routers[to].completeSentAt = now
	out := s.outbox.batchTo(to)
	out.Complete = true
	out.Asks = s.local.allAsksTo(now, to)
	out.Held = s.local.heldRelevantTo(s, to)
	out.Leaving = s.stopping || s.view == nil
	out.Draining, out.Working = numbersExcept(s.drainReports.announced, nil), nil
	s.outbox.sendUrgently(to)
}

// repeatComplete sends a complete batch to at most one router whose last one is
// older than the interval.
func (s *Scheduler) repeatComplete(now time.Time) {
	interval := max(minCompleteInterval, time.Duration(len(s.routers))*completeIntervalPerRouter)
	for id, r := range s.routers {
		if r.connected && now.Sub(r.completeSentAt) >= interval {
			s.sendComplete(now, id)
			return
		}
	}
}

// receive handles a batch from another router.
func (s *Scheduler) receive(from fleet.RouterID, batch *schema.Batch) {
	r := s.routers[from]
	if r == nil || !r.connected {
		// The batch belongs to a closed connection, whose asks and grants were
		// dropped with it.
		return
	}
	now := s.timer.Now()
	if leaving := batch.GetLeaving(); (leaving || batch.GetComplete()) && leaving != s.members.IsLeaving(from) {
		s.members.SetLeaving(now, from, leaving)
		s.refreshAssignment(now)
	}
	s.handleBatch(now, from, r, batch)
}

// deliverLocal handles the batch from this router to itself and reports whether
// there was one.
func (s *Scheduler) deliverLocal(now time.Time) bool {
	batch := s.outbox.takeLocal()
	if batch == nil {
		return false
	}
	batch.GrantedThrough = s.local.lastGrant[s.self]
	s.handleBatch(now, s.self, &remoteRouter{incarnation: s.incarnation}, batch)
	return true
}

// handleBatch handles a batch from another router or from this one. The order
// matters: held slots are registered before they are released, and releases come
// before asks, which an unused release would withdraw.
func (s *Scheduler) handleBatch(now time.Time, from fleet.RouterID, r *remoteRouter, batch *schema.Batch) {
	r.seenGrant = max(r.seenGrant, batch.GetGrantedThrough())
	if s.drainReports.handleBatch(from, batch) {
		s.assignmentStale = true
		s.refreshAssignment(now)
	}
	ids := heldIDs(batch)
	if batch.GetComplete() && r.awaitsComplete {
		s.dispatcher.HandleConnect(now, from, ids, r.restarted)
	}
	s.handleHeld(now, from, batch)
	for _, message := range batch.GetReleases() {
		s.dispatcher.Release(now, from, message)
	}
	if batch.GetComplete() && !r.awaitsComplete {
		// This follows the releases, since released slots are no longer held.
		s.dispatcher.Reconcile(now, from, ids)
	}
	if batch.GetComplete() {
		r.awaitsComplete, r.restarted = false, false
	}
	for _, message := range batch.GetAsks() {
		s.dispatcher.HandleAsk(now, from, dispatcher.NewGrantID(r.seenGrant, s.nonce(s.self)), message)
		if message.GetWaiting() > 0 {
			s.sendDenial(from, fleet.ShortID(message.GetService()))
		}
	}
	for _, service := range batch.GetDenied() {
		s.handleDenial(now, from, fleet.ShortID(service))
	}
	for _, message := range batch.GetGrants() {
		s.local.handleGrant(s, now, from, message)
	}
	for _, message := range batch.GetReports() {
		s.exchange.handleReport(s, now, from, r.incarnation, message)
	}
	for _, message := range batch.GetTotals() {
		s.exchange.handleTotal(s, message)
	}
	for _, message := range batch.GetFree() {
		s.local.handleFree(s, now, from, fleet.ShortID(message.GetService()))
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

func (s *Scheduler) handleHeld(now time.Time, from fleet.RouterID, batch *schema.Batch) {
	if s.view == nil {
		return
	}
	for _, message := range batch.GetHeld() {
		if u := s.view.UpstreamByNumber(fleet.ShortID(message.GetUpstream())); u != nil {
			s.dispatcher.HandleHeld(now, from, s.assignment.serviceNumbers[fleet.ServiceID(u.GetService())], message)
		}
	}
}
