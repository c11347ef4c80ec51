package scheduler

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// queue is what waits here of one account for one service.
type queue struct {
	key     queueKey
	service *schema.Service
	account *schema.Account
	waiters []*waiter
	// asked is how many requests each dispatcher is taken to count as waiting.
	asked map[fleet.RouterID]int
	// targets are the dispatchers that are asked, in that order.
	targets []fleet.RouterID
	drain   drain
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
// when there is none.
func (q *queue) choose(upstream fleet.Number) *waiter {
	var first *waiter
	for i, w := range q.waiters {
		if slices.Contains(w.avoided, uint32(upstream)) {
			continue
		}
		if first == nil {
			first = w
		}
		if i >= choiceDepth || first.passed >= choiceDepth {
			break
		}
		if slices.Contains(w.preferred, upstream) {
			return w
		}
	}
	return first
}

// take removes a request and counts how often those before it were passed.
func (q *queue) take(w *waiter) {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return
	}
	for _, before := range q.waiters[:i] {
		before.passed++
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
}

// needsAsk reports whether a dispatcher that counts so many requests has to be
// told that it is want instead. While many wait, a count that is a quarter off
// changes nothing: the dispatcher counts its own grants down, and the other
// dispatchers' are told before the count is twice what waits.
func needsAsk(counted, want int) bool {
	const few = 4
	switch {
	case counted == want:
		return false
	case counted == 0 || want == 0:
		return true
	case want > counted:
		return counted < few || 4*want > 5*counted
	default:
		return counted > 2*want
	}
}

// askFor returns the message that tells a dispatcher what waits here now.
func (q *queue) askFor(now time.Time) *schema.Ask {
	message := &schema.Ask{
		Service: uint32(q.key.service), Account: uint32(q.key.account), Waiting: clampUint32(len(q.waiters)),
	}
	if len(q.waiters) == 0 {
		return message
	}
	head := q.waiters[0]
	message.Estimate = clampUint32(head.work.Estimate)
	message.WaitedMs = clampUint32(now.Sub(head.arrived).Milliseconds())
	if len(q.targets) > 1 {
		message.Asked = uint32(len(q.targets))
	}
	message.Avoided = head.avoided
	for _, upstream := range head.preferred {
		message.Preferred = append(message.Preferred, uint32(upstream))
	}
	return message
}

// drain measures how fast a queue's requests are started while some wait. Time
// in which nothing waits is left out: the rate of a small account that is
// served at once says nothing of how fast a burst of it would be.
type drain struct {
	starts  float64
	seconds float64
	since   time.Time
}

// drainWindow is the time over which the rate is averaged: a few residences
// of a request, short beside the usual deadline of two minutes.
const drainWindow = 20.0

// pass counts the time up to now, in which something waited or not.
func (d *drain) pass(now time.Time, waiting bool) {
	if waiting && !d.since.IsZero() {
		d.seconds += now.Sub(d.since).Seconds()
	}
	d.since = now
	if d.seconds > drainWindow {
		d.starts *= drainWindow / d.seconds
		d.seconds = drainWindow
	}
}

// rate returns the starts per second, zero while they are too few to tell.
func (d *drain) rate() float64 {
	const enoughStarts, enoughSeconds = 3, 0.2
	if d.starts < enoughStarts || d.seconds < enoughSeconds {
		return 0
	}
	return d.starts / d.seconds
}

// retryAfter returns when a caller that is turned away should come back: when
// what waits now has been started.
func (q *queue) retryAfter() time.Duration {
	const least, most = time.Second, time.Minute
	rate := q.drain.rate()
	if rate == 0 {
		return least
	}
	wait := time.Duration(float64(len(q.waiters)) / rate * float64(time.Second))
	return min(max(wait, least), most)
}
