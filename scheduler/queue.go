package scheduler

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/waiting"
)

// queue is what is known of one account's requests for one service. The
// requests themselves wait in the entry's line.
type queue struct {
	key     queueKey
	service *schema.Service
	account *schema.Account
	// asked is how many requests each dispatcher is taken to count as waiting.
	asked map[fleet.RouterID]int
	// targets are the dispatchers that are asked, in that order.
	targets []fleet.RouterID
	ranking ranking
	drain   admission.Drain
	used    time.Time
}

type queueKey struct {
	service fleet.Number
	account fleet.Number
}

// choiceDepth is how many requests from the head are looked at for one that
// has its prompt cached at the granted upstream, and how often the head may be
// passed for it. It bounds what the head loses to 8 turns of its account.
const choiceDepth = 8

// choose returns the request that is started at an upstream: the first of the
// oldest few with affinity to it, else the oldest that does not avoid it, nil
// when there is none. It counts that the ones before it were passed.
func choose(head *waiting.Item[queueKey, *waiter], upstream fleet.Number) *waiter {
	var first, chosen *waiter
	depth := 0
	for item := head; item != nil && depth < choiceDepth; item = item.Next() {
		w := item.Value()
		if slices.Contains(w.avoided, uint32(upstream)) {
			continue
		}
		depth++
		if first == nil {
			first = w
		}
		if first.passed >= choiceDepth {
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
	first.passed++
	return chosen
}

// needsAsk reports whether a dispatcher that counts so many requests has to be
// told that it is want instead. A count that is off changes nothing as long as
// some wait: the dispatcher counts its own grants down, and is told again
// before it believes that none wait, or twice as many as do.
func needsAsk(counted, want int) bool {
	return counted != want && (counted == 0 || want == 0 || want >= 2*counted || counted > 2*want)
}

// askFor returns the message that tells a dispatcher what waits here now.
func (e *entry) askFor(now time.Time, q *queue) *schema.Ask {
	message := &schema.Ask{
		Service: uint32(q.key.service), Account: uint32(q.key.account), Waiting: clampUint32(e.line.Len(q.key)),
	}
	item := e.line.Head(q.key)
	if item == nil {
		return message
	}
	head := item.Value()
	message.Estimate = clampUint32(head.work.Estimate)
	message.WaitedMs = clampUint32(now.Sub(item.Since()).Milliseconds())
	if len(q.targets) > 1 {
		message.Asked = uint32(len(q.targets))
	}
	message.Avoided = head.avoided
	for _, upstream := range head.preferred {
		message.Preferred = append(message.Preferred, uint32(upstream))
	}
	return message
}
