package scheduler

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fanout"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	// busyRate is the requests per second from which messages are spared: at
	// 50 bytes each they would take the whole control allowance of 3 KB/s.
	busyRate = 50.0
)

// rank returns the dispatchers that a queue asks, those that can be reached.
// Those of upstreams that probably have the prompt cached come first. At high
// rates this router's own does while its upstreams have room, since asking it
// takes no message. It doesn't at low ones: own slots go to whoever comes first
// at this router, before the asks of others meet, and in a burst the accounts
// with the most callers took most of the fleet that way for a residence.
func (e *entry) rank(s *Scheduler, now time.Time, q *queue) []fleet.RouterID {
	var preferred []fleet.Number
	if head := e.line.Head(q.key); head != nil {
		preferred = head.Value().preferred
	}
	ranked := s.assigned.ranked(q, preferred)
	ranked = slices.DeleteFunc(ranked, func(router fleet.RouterID) bool { return !s.reaches(router) })
	inFlight, limit := s.slots.Busy(now, q.key.service)
	spare := e.rate >= busyRate && inFlight < limit
	if !spare {
		return ranked
	}
	if i := slices.Index(ranked, s.self); i > 0 {
		ranked = slices.Insert(slices.Delete(ranked, i, i+1), 0, s.self)
	}
	return ranked
}

func (s *Scheduler) reaches(router fleet.RouterID) bool {
	if router == s.self {
		return true
	}
	r := s.routers[router]
	return r != nil && r.connected
}

// ask tells dispatchers what waits in a queue, where their count is off by too
// much or changed is true.
func (e *entry) ask(s *Scheduler, now time.Time, q *queue, changed bool) {
	want := e.line.Len(q.key)
	if want == 0 {
		q.targets = nil
	} else if len(q.targets) == 0 {
		ranked := e.rank(s, now, q)
		q.targets = ranked[:min(1, len(ranked))]
	}
	for _, router := range q.targets {
		if changed || needsAsk(q.asked[router], want) {
			e.sendAsk(s, now, q, router)
		}
	}
	for router, counted := range q.asked {
		if counted > 0 && !slices.Contains(q.targets, router) {
			e.withdrawAsk(s, q, router)
		}
	}
}

func (e *entry) sendAsk(s *Scheduler, now time.Time, q *queue, router fleet.RouterID) {
	message := e.askFor(now, q)
	if q.asked[router] == 0 || len(message.GetAvoided()) > 0 {
		// Where some are counted, the dispatcher goes on granting meanwhile.
		s.outbox.urgent(router)
	}
	q.asked[router] = e.line.Len(q.key)
	e.putAsk(s, router, message)
}

func (e *entry) withdrawAsk(s *Scheduler, q *queue, router fleet.RouterID) {
	delete(q.asked, router)
	s.outbox.urgent(router)
	e.putAsk(s, router, &schema.Ask{Service: uint32(q.key.service), Account: uint32(q.key.account)})
}

// putAsk puts an ask into the next batch, in place of an earlier one there.
func (e *entry) putAsk(s *Scheduler, router fleet.RouterID, message *schema.Ask) {
	out := s.outbox.to(router)
	for i, earlier := range out.Asks {
		if earlier.GetService() == message.GetService() && earlier.GetAccount() == message.GetAccount() {
			out.Asks[i] = message
			return
		}
	}
	out.Asks = append(out.Asks, message)
}

// widen asks further dispatchers for queues whose demand is not met.
func (e *entry) widen(s *Scheduler, now time.Time) {
	for _, q := range e.queues {
		head := e.line.Head(q.key)
		if head == nil {
			continue
		}
		wanted := fanout.Of(e.line.Len(q.key), now.Sub(head.Since()))
		if len(q.targets) >= min(wanted, len(s.assigned.live)) {
			continue
		}
		for _, router := range e.rank(s, now, q) {
			if len(q.targets) < wanted && !slices.Contains(q.targets, router) {
				q.targets = append(q.targets, router)
				e.sendAsk(s, now, q, router)
			}
		}
	}
}

// offered takes note that a dispatcher has idle slots for a service.
func (e *entry) offered(s *Scheduler, now time.Time, from fleet.RouterID, service fleet.Number) {
	for _, q := range e.queues {
		if q.key.service != service || e.line.Len(q.key) == 0 || slices.Contains(q.targets, from) {
			continue
		}
		q.targets = append(q.targets, from)
		e.sendAsk(s, now, q, from)
	}
}

// lost drops what was asked of a router that is gone, and asks another where
// no other was asked.
func (e *entry) lost(s *Scheduler, now time.Time, router fleet.RouterID) {
	for _, q := range e.queues {
		delete(q.asked, router)
		q.targets = slices.DeleteFunc(q.targets, func(t fleet.RouterID) bool { return t == router })
		e.ask(s, now, q, false)
	}
}

// asksFor returns all that is asked of one router.
func (e *entry) asksFor(now time.Time, router fleet.RouterID) []*schema.Ask {
	var asks []*schema.Ask
	for _, q := range e.queues {
		if e.line.Len(q.key) > 0 && slices.Contains(q.targets, router) {
			q.asked[router] = e.line.Len(q.key)
			asks = append(asks, e.askFor(now, q))
		}
	}
	return asks
}
