package experiment

import (
	"slices"

	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/fanout"
	"nutmeglock.example/nutmeglock/schema"
)

// ask tells the asked dispatchers what waits, where their count is off by too
// much.
func (r *router) ask(q *queue) {
	want := q.len()
	if want == 0 {
		for _, target := range q.targets {
			if q.asked[target] > 0 {
				r.sendAsk(q, target)
			}
		}
		q.targets = nil
		return
	}
	if len(q.targets) == 0 {
		q.targets = r.rank(q)[:1]
	}
	for _, target := range q.targets {
		if needsAsk(q.asked[target], want) {
			r.sendAsk(q, target)
		}
	}
}

// needsAsk reports whether a count is a quarter off, or off at all while few wait.
func needsAsk(counted, want int) bool {
	const few = 4
	off := max(counted-want, want-counted)
	if want <= few || counted == 0 {
		return off > 0
	}
	return off*few >= want
}

// rank returns the routers to ask, those of the preferred upstreams first.
func (r *router) rank(q *queue) []int {
	if r.model.policy.static {
		return []int{r.index}
	}
	ranked := r.model.ranked(q.key)
	preferred := q.oldest().preferred
	if len(preferred) == 0 {
		return ranked
	}
	ranked = slices.Clone(ranked)
	slices.SortStableFunc(ranked, func(a, b int) int {
		return r.prefers(preferred, b) - r.prefers(preferred, a)
	})
	return ranked
}

func (r *router) prefers(preferred []uint32, router int) int {
	for _, upstream := range preferred {
		if r.model.dispatchers[upstream] == router {
			return 1
		}
	}
	return 0
}

func (r *router) sendAsk(q *queue, target int) {
	message := &schema.Ask{Service: uint32(q.key.service), Account: uint32(q.key.account), Waiting: uint32(q.len())}
	if oldest := q.oldest(); oldest != nil {
		message.Estimate = uint32(oldest.estimate)
		message.Asked = uint32(len(q.targets))
		message.WaitedMs = uint32((r.model.clock.elapsed - oldest.arrived).Milliseconds())
		message.Preferred = oldest.preferred
	}
	// A dispatcher that knows of some waiting requests goes on granting; only
	// the first have to reach it at once.
	delay := urgentDelay
	if q.asked[target] > 0 {
		delay = lazyDelay
	}
	q.asked[target] = q.len()
	if target == r.index {
		r.slots.Ask(r.model.clock.now(), r.id, dispatcher.GrantIDOf(r.through[r.index], uint16(r.index)), message)
		return
	}
	batch := r.to(target, delay)
	for i, earlier := range batch.GetAsks() {
		if earlier.GetService() == message.GetService() && earlier.GetAccount() == message.GetAccount() {
			batch.Asks[i] = message
			return
		}
	}
	batch.Asks = append(batch.Asks, message)
}

// widen asks more dispatchers for queues whose oldest request waits for longer
// than the dispatchers asked so far should have taken.
func (r *router) widen() {
	changed := false
	for _, q := range r.queues {
		if q.len() == 0 || len(q.targets) == 0 {
			continue
		}
		want := fanout.Of(q.len(), r.model.clock.elapsed-q.oldest().arrived)
		if len(q.targets) >= want {
			continue
		}
		for _, target := range r.rank(q) {
			if len(q.targets) < want && !slices.Contains(q.targets, target) {
				q.targets = append(q.targets, target)
				r.sendAsk(q, target)
				changed = true
			}
		}
	}
	if changed {
		r.grant()
	}
}

// offered takes note that a dispatcher has idle slots.
func (r *router) offered(from, service int) {
	for _, q := range r.queues {
		if q.key.service != service || q.len() == 0 || slices.Contains(q.targets, from) {
			continue
		}
		q.targets = append(q.targets, from)
		r.sendAsk(q, from)
	}
}
