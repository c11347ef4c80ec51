package scheduler

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/waiting"
)

// queue is the state of one account's requests for one service. The requests
// themselves are in localRequests.waiting.
type queue struct {
	key     queueKey
	service *schema.Service
	account *schema.Account
	// dispatcherCounts is how many waiting requests each dispatcher is assumed to count.
	dispatcherCounts map[fleet.RouterID]int
	// askedDispatchers are the dispatchers asked for slots, in this order.
	askedDispatchers []fleet.RouterID
	ranking          dispatcherRanking
	drainMeter       admission.DrainMeter
	usedAt           time.Time
}

type queueKey struct {
	service fleet.ShortID
	account fleet.ShortID
}

// affinityLookahead is how many of the oldest requests are searched for one whose
// prompt is cached at the granted upstream, and how often the head of the queue
// may be overtaken by such a request: the head is delayed by at most 8 starts.
const affinityLookahead = 8

// chooseRequest returns the request to start at an upstream: the first of the
// oldest few that prefers it, else the oldest that does not avoid it, or nil. If
// the chosen one is not the oldest, the oldest is counted as overtaken.
func chooseRequest(head *waiting.Item[queueKey, *waiter], upstream fleet.ShortID) *waiter {
	var first, chosen *waiter
	depth := 0
	for item := head; item != nil && depth < affinityLookahead; item = item.Next() {
		w := item.Value()
		if slices.Contains(w.avoided, uint32(upstream)) {
			continue
		}
		depth++
		if first == nil {
			first = w
		}
		if first.overtaken >= affinityLookahead {
			break
		}
		if slices.Contains(w.preferred, upstream) {
			chosen = w
			break
		}
	}
	if chosen == nil || chosen == first {
		return first
	}
	first.overtaken++
	return chosen
}

// needsAsk reports whether a dispatcher that assumes counted waiting requests needs
// an ask with the actual number, want. A wrong count is harmless while some wait:
// the dispatcher subtracts its own grants, and is corrected before its count
// reaches zero or twice the actual number.
func needsAsk(counted, want int) bool {
	return counted != want && (counted == 0 || want == 0 || want >= 2*counted || counted > 2*want)
}

// newAsk returns an Ask that describes a queue's waiting requests.
func (l *localRequests) newAsk(now time.Time, q *queue) *schema.Ask {
	message := &schema.Ask{
		Service: uint32(q.key.service), Account: uint32(q.key.account), Waiting: clampUint32(l.waiting.Len(q.key)),
	}
	item := l.waiting.Head(q.key)
	if item == nil {
		return message
	}
	head := item.Value()
	message.Estimate = clampUint32(head.request.Estimate)
	message.WaitedMs = clampUint32(now.Sub(item.QueuedAt()).Milliseconds())
	if len(q.askedDispatchers) > 1 {
		message.Asked = uint32(len(q.askedDispatchers))
	}
	message.Avoided = head.avoided
	for _, upstream := range head.preferred {
		message.Preferred = append(message.Preferred, uint32(upstream))
	}
	return message
}
