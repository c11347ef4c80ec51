package scheduler

import (
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// hold is a slot that a request of this router takes at an upstream.
type hold struct {
	key      holdKey
	account  fleet.Number
	upstream fleet.Number
	service  *schema.Service
	// cost is what the request cost so far, written by the traffic.
	cost atomic.Int64
	// told is the cost that a dispatcher was told when it took over.
	told fleet.Tokens
}

// holdKey names a grant among those of all dispatchers.
type holdKey struct {
	granter fleet.RouterID
	id      dispatcher.GrantID
}

// settler returns the router that charges a hold's cost: the granter, which
// charged the estimate, or when that is gone the upstream's present dispatcher.
func (s *Scheduler) settler(h *hold) fleet.RouterID {
	if s.reaches(h.key.granter) {
		return h.key.granter
	}
	return s.assigned.dispatchers[h.upstream]
}

// announce tells the settling dispatcher what a request in flight cost so far,
// which also says that its answer began.
func (e *entry) announce(s *Scheduler, h *hold) {
	if e.holds[h.key] != h {
		return
	}
	out := s.outbox.to(s.settler(h))
	out.Held = append(out.Held, heldMessage(h))
}

func heldMessage(h *hold) *schema.Held {
	h.told = fleet.Tokens(h.cost.Load())
	return &schema.Held{
		Upstream: uint32(h.upstream), Ids: []uint64{uint64(h.key.id)},
		Accounts: []uint32{uint32(h.account)}, Costs: []uint32{clampUint32(h.told)},
	}
}

// giveBack returns a slot for which there is no use.
func (e *entry) giveBack(s *Scheduler, h *hold) {
	e.release(s, h, dispatch.Done{Result: dispatch.Unused})
}

// done gives a slot back for the request that had it. Dispatchers take an
// unused one for a sign that the account has nothing waiting here, so they are
// asked again when it has: its other requests would else wait for ever, since
// an ask that has not changed is not repeated.
func (e *entry) done(s *Scheduler, h *hold, done dispatch.Done) {
	dispatchers := []fleet.RouterID{s.settler(h), s.assigned.dispatchers[h.upstream]}
	e.release(s, h, done)
	if done.Result != dispatch.Unused || h.service == nil {
		return
	}
	q := e.queues[queueKey{fleet.Number(h.service.GetNumber()), h.account}]
	if q == nil {
		return
	}
	for _, router := range dispatchers {
		delete(q.asked, router)
	}
	e.ask(s, s.timer.Now(), q, false)
}

// release gives a slot back. The dispatcher that settles is told the cost; one
// that only counts the slot, as both do while an upstream changes hands, is
// told what it knows already. It has to hear of unused slots as well: nobody
// else would free them there, and the upstream would stand idle.
func (e *entry) release(s *Scheduler, h *hold, done dispatch.Done) {
	delete(e.holds, h.key)
	settler, present := s.settler(h), s.assigned.dispatchers[h.upstream]
	s.sendRelease(settler, h, done, done.Cost)
	if present != settler && present != "" {
		s.sendRelease(present, h, done, h.told)
	}
	s.countService(h, done)
}

func (s *Scheduler) sendRelease(to fleet.RouterID, h *hold, done dispatch.Done, cost fleet.Tokens) {
	message := &schema.Release{
		Cost: clampUint32(cost), Result: messageOf(done.Result), FirstTokenMs: clampUint32(done.FirstToken.Milliseconds()),
	}
	if h.key.granter == to && h.key.id.GrantedBy(s.nonce(to)) {
		message.Id = h.key.id.Count()
	} else {
		message.ForeignId = uint64(h.key.id)
	}
	out := s.outbox.to(to)
	out.Releases = append(out.Releases, message)
	s.outbox.within(to, releaseDelay)
}

// nonce returns what the ids of a router's grants contain in its present life.
func (s *Scheduler) nonce(router fleet.RouterID) uint16 {
	if r := s.routers[router]; r != nil {
		return nonceOf(router, r.incarnation)
	}
	return nonceOf(router, s.incarnation)
}

// releaseDelay is short beside the residence of a request, so that a slot is
// hardly idle for it, and lets releases share a frame with asks.
const releaseDelay = 3 * time.Millisecond

func messageOf(result dispatch.Result) schema.Result {
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

func (s *Scheduler) countService(h *hold, done dispatch.Done) {
	if s.metrics == nil || done.Cost <= 0 {
		return
	}
	if a := s.view.AccountByNumber(h.account); a != nil {
		s.metrics.Service.WithLabelValues(a.GetId()).Add(float64(done.Cost))
	}
}

// heldFor returns what a router has to know of the holds here: those that it
// granted, and those at the upstreams that it dispatches.
func (e *entry) heldFor(s *Scheduler, router fleet.RouterID) []*schema.Held {
	return e.collect(func(h *hold) bool {
		return h.key.granter == router || s.assigned.dispatchers[h.upstream] == router
	})
}

func (e *entry) collect(wanted func(h *hold) bool) []*schema.Held {
	byUpstream := make(map[fleet.Number]*schema.Held)
	var all []*schema.Held
	for _, h := range e.holds {
		if !wanted(h) {
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
		h.told = fleet.Tokens(h.cost.Load())
		message.Costs = append(message.Costs, clampUint32(h.told))
	}
	return all
}

// announceMoved tells new dispatchers what is in flight at their upstreams.
// Without it a dispatcher that takes over would fill each upstream once more.
func (s *Scheduler) announceMoved(before assignment) {
	told := make(map[fleet.RouterID]bool)
	for _, h := range s.entry.holds {
		now := s.assigned.dispatchers[h.upstream]
		if now == before.dispatchers[h.upstream] || now == "" || told[now] {
			continue
		}
		told[now] = true
		out := s.outbox.to(now)
		out.Held = append(out.Held, s.entry.collect(func(h *hold) bool {
			return s.assigned.dispatchers[h.upstream] == now && before.dispatchers[h.upstream] != now
		})...)
		s.outbox.urgent(now)
	}
}

// announceForeign tells the present dispatcher of a request that another one
// granted. The grant was on its way when the upstream changed hands, so it
// was not among those that announceMoved told of; the new dispatcher would
// send the upstream one request too much.
func (s *Scheduler) announceForeign(h *hold) {
	present := s.assigned.dispatchers[h.upstream]
	if present == h.key.granter || present == "" {
		return
	}
	out := s.outbox.to(present)
	out.Held = append(out.Held, heldMessage(h))
	s.outbox.urgent(present)
}
