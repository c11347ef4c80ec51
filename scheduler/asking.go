package scheduler

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fanout"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	// preferOwnRate is the requests per second from which a router prefers its own
	// slots to save messages: at 50 bytes each, the messages would use all of the
	// 3 KB/s allowed for control messages.
	preferOwnRate = 50.0
)

// rankDispatchers returns the reachable dispatchers in the order in which a queue
// asks them: first those of upstreams that probably have the prompt cached. From
// preferOwnRate on, this router's own dispatcher comes first while it has idle
// slots, since asking it takes no message. At lower rates it does not: its slots
// would go to the first requests at this router before asks of other routers
// arrive, and in a burst the accounts with the most callers would hold most of
// the fleet's slots for the duration of a request.
func (l *localRequests) rankDispatchers(s *Scheduler, now time.Time, q *queue) []fleet.RouterID {
	var preferred []fleet.ShortID
	if head := l.waiting.Head(q.key); head != nil {
		preferred = head.Value().preferred
	}
	ranked := s.assignment.rankForQueue(q, preferred)
	ranked = slices.DeleteFunc(ranked, func(router fleet.RouterID) bool { return !s.isReachable(router) })
	inFlight, limit := s.dispatcher.ServiceLoad(now, q.key.service)
	preferOwn := l.startRate >= preferOwnRate && inFlight < limit
	if !preferOwn {
		return ranked
	}
	if i := slices.Index(ranked, s.self); i > 0 {
		ranked = slices.Insert(slices.Delete(ranked, i, i+1), 0, s.self)
	}
	return ranked
}

func (s *Scheduler) isReachable(router fleet.RouterID) bool {
	if router == s.self {
		return true
	}
	r := s.routers[router]
	return r != nil && r.connected
}

// updateAsks sends asks for a queue to those of its dispatchers whose count is too
// far off, or to all of them if changed is true. It withdraws the asks to others.
func (l *localRequests) updateAsks(s *Scheduler, now time.Time, q *queue, changed bool) {
	want := l.waiting.Len(q.key)
	if want == 0 {
		q.askedDispatchers = nil
	} else if len(q.askedDispatchers) == 0 {
		ranked := l.rankDispatchers(s, now, q)
		q.askedDispatchers = ranked[:min(1, len(ranked))]
	}
	for _, router := range q.askedDispatchers {
		if changed || needsAsk(q.dispatcherCounts[router], want) {
			l.sendAsk(s, now, q, router)
		}
	}
	for router, counted := range q.dispatcherCounts {
		if counted > 0 && !slices.Contains(q.askedDispatchers, router) {
			l.withdrawAsk(s, q, router)
		}
	}
}

func (l *localRequests) sendAsk(s *Scheduler, now time.Time, q *queue, router fleet.RouterID) {
	message := l.newAsk(now, q)
	if q.dispatcherCounts[router] == 0 || len(message.GetAvoided()) > 0 {
		// A dispatcher with a count above zero continues to grant meanwhile.
		s.outbox.sendUrgently(router)
	}
	q.dispatcherCounts[router] = l.waiting.Len(q.key)
	l.putAsk(s, router, message)
}

func (l *localRequests) withdrawAsk(s *Scheduler, q *queue, router fleet.RouterID) {
	delete(q.dispatcherCounts, router)
	s.outbox.sendUrgently(router)
	l.putAsk(s, router, &schema.Ask{Service: uint32(q.key.service), Account: uint32(q.key.account)})
}

// putAsk adds an ask to the next batch, replacing an earlier one of the same queue.
func (l *localRequests) putAsk(s *Scheduler, router fleet.RouterID, message *schema.Ask) {
	out := s.outbox.batchTo(router)
	for i, earlier := range out.Asks {
		if earlier.GetService() == message.GetService() && earlier.GetAccount() == message.GetAccount() {
			out.Asks[i] = message
			return
		}
	}
	out.Asks = append(out.Asks, message)
}

// widenAsks asks more dispatchers for queues whose requests keep waiting.
func (l *localRequests) widenAsks(s *Scheduler, now time.Time) {
	for _, q := range l.queues {
		head := l.waiting.Head(q.key)
		if head == nil {
			continue
		}
		wanted := fanout.Dispatchers(l.waiting.Len(q.key), now.Sub(head.QueuedAt()))
		if len(q.askedDispatchers) >= min(wanted, len(s.assignment.liveRouters)) {
			continue
		}
		for _, router := range l.rankDispatchers(s, now, q) {
			if len(q.askedDispatchers) < wanted && !slices.Contains(q.askedDispatchers, router) {
				q.askedDispatchers = append(q.askedDispatchers, router)
				l.sendAsk(s, now, q, router)
			}
		}
	}
}

// handleFree sends asks to a dispatcher that announced idle slots of a service.
func (l *localRequests) handleFree(s *Scheduler, now time.Time, from fleet.RouterID, service fleet.ShortID) {
	for _, q := range l.queues {
		if q.key.service != service || l.waiting.Len(q.key) == 0 || slices.Contains(q.askedDispatchers, from) {
			continue
		}
		q.askedDispatchers = append(q.askedDispatchers, from)
		l.sendAsk(s, now, q, from)
	}
}

// handleRouterLost drops the asks to a disconnected router. Queues that asked no
// other dispatcher ask another one.
func (l *localRequests) handleRouterLost(s *Scheduler, now time.Time, router fleet.RouterID) {
	for _, q := range l.queues {
		delete(q.dispatcherCounts, router)
		q.askedDispatchers = slices.DeleteFunc(q.askedDispatchers, func(asked fleet.RouterID) bool { return asked == router })
		l.updateAsks(s, now, q, false)
	}
}

// allAsksTo returns the asks of all queues to one router.
func (l *localRequests) allAsksTo(now time.Time, router fleet.RouterID) []*schema.Ask {
	var asks []*schema.Ask
	for _, q := range l.queues {
		if l.waiting.Len(q.key) > 0 && slices.Contains(q.askedDispatchers, router) {
			q.dispatcherCounts[router] = l.waiting.Len(q.key)
			asks = append(asks, l.newAsk(now, q))
		}
	}
	return asks
}
