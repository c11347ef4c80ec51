package scheduler

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// widenAfter is how long the oldest request waits before a second, third and
// so on dispatcher is asked. One is enough while the fleet has room, and each
// further one costs messages. Two dispatchers were found nearly as good as all
// for the fairness gap; the rest are asked so that no slot idles. With today's
// six routers all are asked after 200 ms. Beyond eight, dispatchers with idle
// slots announce themselves.
var widenAfter = []time.Duration{
	5 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond,
	200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond,
}

// rank returns the dispatchers that a queue asks, those that can be reached.
func (e *entry) rank(s *Scheduler, q *queue) []fleet.RouterID {
	var preferred []fleet.Number
	if head := e.line.Head(q.key); head != nil {
		preferred = head.Value().preferred
	}
	ranked := s.assigned.ranked(q.key.service, q.key.account, preferred)
	return slices.DeleteFunc(ranked, func(router fleet.RouterID) bool { return !s.reaches(router) })
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
		ranked := e.rank(s, q)
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
	q.asked[router] = e.line.Len(q.key)
	e.putAsk(s, router, message)
}

func (e *entry) withdrawAsk(s *Scheduler, q *queue, router fleet.RouterID) {
	delete(q.asked, router)
	e.putAsk(s, router, &schema.Ask{Service: uint32(q.key.service), Account: uint32(q.key.account)})
}

// putAsk puts an ask into the next batch, in place of an earlier one there.
func (e *entry) putAsk(s *Scheduler, router fleet.RouterID, message *schema.Ask) {
	out := s.outbox.to(router)
	s.outbox.urgent(router)
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
		asked := len(q.targets)
		head := e.line.Head(q.key)
		if head == nil || asked == 0 || asked > len(widenAfter) {
			continue
		}
		if now.Sub(head.Since()) < widenAfter[asked-1] {
			continue
		}
		for _, router := range e.rank(s, q) {
			if !slices.Contains(q.targets, router) {
				q.targets = append(q.targets, router)
				e.sendAsk(s, now, q, router)
				break
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

// repeat tells dispatchers again what waits where their count may be off,
// because it was off by too little before or a message was lost.
func (e *entry) repeat(s *Scheduler, now time.Time) {
	for _, q := range e.queues {
		for _, router := range q.targets {
			if q.asked[router] != e.line.Len(q.key) {
				e.sendAsk(s, now, q, router)
			}
		}
	}
}

// lost drops what was asked of a router that is gone, and asks another.
func (e *entry) lost(router fleet.RouterID) {
	for _, q := range e.queues {
		delete(q.asked, router)
		q.targets = slices.DeleteFunc(q.targets, func(t fleet.RouterID) bool { return t == router })
	}
}

// asksFor returns all that is asked of one router.
func (e *entry) asksFor(_ *Scheduler, now time.Time, router fleet.RouterID) []*schema.Ask {
	var asks []*schema.Ask
	for _, q := range e.queues {
		if e.line.Len(q.key) > 0 && slices.Contains(q.targets, router) {
			q.asked[router] = e.line.Len(q.key)
			asks = append(asks, e.askFor(now, q))
		}
	}
	return asks
}
