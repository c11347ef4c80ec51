package scheduler

import (
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// heldSlot is a slot held by a request of this router.
type heldSlot struct {
	key      grantKey
	account  fleet.ShortID
	upstream fleet.ShortID
	service  *schema.Service
	// cost is the request's cost so far, written by the request's own goroutine.
	cost atomic.Int64
	// reportedCost is the cost last sent to a dispatcher in a Held message.
	reportedCost fleet.Tokens
}

// grantKey identifies a grant among those of all dispatchers.
type grantKey struct {
	granter fleet.RouterID
	id      dispatcher.GrantID
}

// chargingDispatcher returns the router that charges the cost of a held slot: the
// granter, which charged the estimate, or if that is not reachable, the
// upstream's current dispatcher.
func (s *Scheduler) chargingDispatcher(h *heldSlot) fleet.RouterID {
	if s.isReachable(h.key.granter) {
		return h.key.granter
	}
	return s.assignment.dispatchers[h.upstream]
}

// reportCost sends the charging dispatcher a request's cost so far, which also
// reports that the answer began.
func (l *localRequests) reportCost(s *Scheduler, h *heldSlot) {
	if l.heldSlots[h.key] != h {
		return
	}
	out := s.outbox.batchTo(s.chargingDispatcher(h))
	out.Held = append(out.Held, heldMessage(h))
}

func heldMessage(h *heldSlot) *schema.Held {
	h.reportedCost = fleet.Tokens(h.cost.Load())
	return &schema.Held{
		Upstream: uint32(h.upstream), Ids: []uint64{uint64(h.key.id)},
		Accounts: []uint32{uint32(h.account)}, Costs: []uint32{clampUint32(h.reportedCost)},
	}
}

// returnUnused returns a slot to which nothing was sent.
func (l *localRequests) returnUnused(s *Scheduler, h *heldSlot) {
	l.release(s, h, dispatch.Completion{Result: dispatch.Unused})
}

// handleCompletion returns the slot of a request that has ended. A dispatcher drops
// the account's ask when it gets the slot back unused. If requests still wait
// here, the dispatchers are asked again: an unchanged ask is not repeated, so the
// requests would wait for ever.
func (l *localRequests) handleCompletion(s *Scheduler, h *heldSlot, completion dispatch.Completion) {
	dispatchers := []fleet.RouterID{s.chargingDispatcher(h), s.assignment.dispatchers[h.upstream]}
	l.release(s, h, completion)
	if completion.Result != dispatch.Unused || h.service == nil {
		return
	}
	q := l.queues[queueKey{fleet.ShortID(h.service.GetNumber()), h.account}]
	if q == nil {
		return
	}
	for _, router := range dispatchers {
		delete(q.dispatcherCounts, router)
	}
	l.updateAsks(s, s.timer.Now(), q, false)
}

// release returns a slot. The charging dispatcher gets the cost. While an upstream
// changes its dispatcher, both count the slot, so the current dispatcher gets a
// release too, with the cost that it already knows. It needs one for unused slots
// as well: otherwise it would never free them, and the upstream would idle.
func (l *localRequests) release(s *Scheduler, h *heldSlot, completion dispatch.Completion) {
	delete(l.heldSlots, h.key)
	charging, current := s.chargingDispatcher(h), s.assignment.dispatchers[h.upstream]
	s.sendRelease(charging, h, completion, completion.Cost)
	if current != charging && current != "" {
		s.sendRelease(current, h, completion, h.reportedCost)
	}
	s.countServiceTokens(h, completion)
}

func (s *Scheduler) sendRelease(to fleet.RouterID, h *heldSlot, completion dispatch.Completion, cost fleet.Tokens) {
	message := &schema.Release{
		Cost: clampUint32(cost), Result: schemaResult(completion.Result), FirstTokenMs: clampUint32(completion.FirstTokenLatency.Milliseconds()),
	}
	if h.key.granter == to && h.key.id.GrantedBy(s.nonce(to)) {
		message.Id = h.key.id.Count()
	} else {
		message.ForeignId = uint64(h.key.id)
	}
	out := s.outbox.batchTo(to)
	out.Releases = append(out.Releases, message)
	s.outbox.sendWithin(to, releaseDelay)
}

// nonce returns the nonce in the ids of the grants of a router's current incarnation.
func (s *Scheduler) nonce(router fleet.RouterID) uint16 {
	if r := s.routers[router]; r != nil {
		return nonceOf(router, r.incarnation)
	}
	return nonceOf(router, s.incarnation)
}

// releaseDelay lets releases share a frame with asks. It is short compared with
// the duration of a request, so it hardly keeps slots idle.
const releaseDelay = 3 * time.Millisecond

func schemaResult(result dispatch.Result) schema.Result {
	switch result {
	case dispatch.Refused:
		return schema.Result_RESULT_REFUSED
	case dispatch.Failed:
		return schema.Result_RESULT_FAILED
	case dispatch.Draining:
		return schema.Result_RESULT_DRAINING
	case dispatch.Unused:
		return schema.Result_RESULT_UNUSED
	default:
		return schema.Result_RESULT_ANSWERED
	}
}

func (s *Scheduler) countServiceTokens(h *heldSlot, completion dispatch.Completion) {
	if s.metrics == nil || completion.Cost <= 0 {
		return
	}
	if a := s.view.AccountByNumber(h.account); a != nil {
		s.metrics.ServiceTokens.WithLabelValues(a.GetId()).Add(float64(completion.Cost))
	}
}

// heldRelevantTo returns the held slots that concern a router: those that it
// granted, and those at upstreams that it dispatches.
func (l *localRequests) heldRelevantTo(s *Scheduler, router fleet.RouterID) []*schema.Held {
	return l.heldMessages(func(h *heldSlot) bool {
		return h.key.granter == router || s.assignment.dispatchers[h.upstream] == router
	})
}

func (l *localRequests) heldMessages(include func(h *heldSlot) bool) []*schema.Held {
	byUpstream := make(map[fleet.ShortID]*schema.Held)
	var all []*schema.Held
	for _, h := range l.heldSlots {
		if !include(h) {
			continue
		}
		message := byUpstream[h.upstream]
		if message == nil {
			message = &schema.Held{Upstream: uint32(h.upstream)}
			byUpstream[h.upstream] = message
			all = append(all, message)
		}
		message.Ids = append(message.Ids, uint64(h.key.id))
		message.Accounts = append(message.Accounts, uint32(h.account))
		h.reportedCost = fleet.Tokens(h.cost.Load())
		message.Costs = append(message.Costs, clampUint32(h.reportedCost))
	}
	return all
}

// announceReassigned reports the requests in flight at reassigned upstreams to the
// new dispatchers, which would otherwise fill each upstream a second time.
func (s *Scheduler) announceReassigned(before assignment) {
	notified := make(map[fleet.RouterID]bool)
	for _, h := range s.local.heldSlots {
		current := s.assignment.dispatchers[h.upstream]
		if current == before.dispatchers[h.upstream] || current == "" || notified[current] {
			continue
		}
		notified[current] = true
		out := s.outbox.batchTo(current)
		out.Held = append(out.Held, s.local.heldMessages(func(h *heldSlot) bool {
			return s.assignment.dispatchers[h.upstream] == current && before.dispatchers[h.upstream] != current
		})...)
		s.outbox.sendUrgently(current)
	}
}

// announceForeignGrant reports a request that another dispatcher granted to the
// upstream's current one. The grant was in transit when the dispatcher changed, so
// announceReassigned did not include it; without this message the new dispatcher
// would send the upstream one request too many.
func (s *Scheduler) announceForeignGrant(h *heldSlot) {
	current := s.assignment.dispatchers[h.upstream]
	if current == h.key.granter || current == "" {
		return
	}
	out := s.outbox.batchTo(current)
	out.Held = append(out.Held, heldMessage(h))
	s.outbox.sendUrgently(current)
}
