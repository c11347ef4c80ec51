package experiment

import (
	"slices"

	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/fanout"
	"nutmeglock.example/nutmeglock/schema"
)

// updateAsks sends the queue length to those of the queue's target dispatchers
// whose last known length is too far off.
func (r *router) updateAsks(q *queue) {
	waiting := q.len()
	if waiting == 0 {
		for _, target := range q.targets {
			if q.lastAsked[target] > 0 {
				r.sendAsk(q, target)
			}
		}
		q.targets = nil
		return
	}
	if len(q.targets) == 0 {
		q.targets = r.rankTargets(q)[:1]
	}
	for _, target := range q.targets {
		if needsAsk(q.lastAsked[target], waiting) {
			r.sendAsk(q, target)
		}
	}
}

// needsAsk reports whether the count in the last ask differs from the number of
// waiting requests by a quarter or more, or at all while few wait.
func needsAsk(lastAsked, waiting int) bool {
	const few = 4
	difference := max(lastAsked-waiting, waiting-lastAsked)
	if waiting <= few || lastAsked == 0 {
		return difference > 0
	}
	return difference*few >= waiting
}

// rankTargets returns the routers to ask, dispatchers of the oldest request's
// preferred upstreams first.
func (r *router) rankTargets(q *queue) []int {
	if r.sim.policy.static {
		return []int{r.index}
	}
	ranked := r.sim.rankDispatchers(q.key)
	preferred := q.oldest().preferred
	if len(preferred) == 0 {
		return ranked
	}
	ranked = slices.Clone(ranked)
	slices.SortStableFunc(ranked, func(a, b int) int {
		return r.preferenceRank(preferred, b) - r.preferenceRank(preferred, a)
	})
	return ranked
}

// preferenceRank returns 1 if a router dispatches a preferred upstream, else 0.
func (r *router) preferenceRank(preferred []uint32, router int) int {
	for _, upstream := range preferred {
		if r.sim.dispatchers[upstream] == router {
			return 1
		}
	}
	return 0
}

// sendAsk sends a queue's state to a dispatcher. A newer ask replaces one that
// still waits in the batch.
func (r *router) sendAsk(q *queue, target int) {
	message := &schema.Ask{Service: uint32(q.key.service), Account: uint32(q.key.account), Waiting: uint32(q.len())}
	if oldest := q.oldest(); oldest != nil {
		message.Estimate = uint32(oldest.estimatedCost)
		message.Asked = uint32(len(q.targets))
		message.WaitedMs = uint32((r.sim.clock.elapsed - oldest.arrived).Milliseconds())
		message.Preferred = oldest.preferred
	}
	// A dispatcher that knows of waiting requests continues to grant slots, so
	// only the first ask is urgent.
	delay := urgentDelay
	if q.lastAsked[target] > 0 {
		delay = lazyDelay
	}
	q.lastAsked[target] = q.len()
	if target == r.index {
		r.dispatcher.HandleAsk(r.sim.clock.now(), r.id, dispatcher.NewGrantID(r.grantedThrough[r.index], uint16(r.index)), message)
		return
	}
	batch := r.batchTo(target, delay)
	for i, earlier := range batch.GetAsks() {
		if earlier.GetService() == message.GetService() && earlier.GetAccount() == message.GetAccount() {
			batch.Asks[i] = message
			return
		}
	}
	batch.Asks = append(batch.Asks, message)
}

// widenAsks asks further dispatchers for the queues for which package fanout
// returns more dispatchers than are asked.
func (r *router) widenAsks() {
	changed := false
	for _, q := range r.queues {
		if q.len() == 0 || len(q.targets) == 0 {
			continue
		}
		want := fanout.Dispatchers(q.len(), r.sim.clock.elapsed-q.oldest().arrived)
		if len(q.targets) >= want {
			continue
		}
		for _, target := range r.rankTargets(q) {
			if len(q.targets) < want && !slices.Contains(q.targets, target) {
				q.targets = append(q.targets, target)
				r.sendAsk(q, target)
				changed = true
			}
		}
	}
	if changed {
		r.grantSlots()
	}
}

// handleFreeSlots asks a dispatcher that has announced idle slots.
func (r *router) handleFreeSlots(from, service int) {
	for _, q := range r.queues {
		if q.key.service != service || q.len() == 0 || slices.Contains(q.targets, from) {
			continue
		}
		q.targets = append(q.targets, from)
		r.sendAsk(q, from)
	}
}
