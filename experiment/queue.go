package experiment

import (
	"slices"
	"strconv"
	"time"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/rendezvous"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/waiting"
)

// The queue limits are the defaults of a router's settings.
const (
	maxWaiting      = 256
	maxWaitingTotal = 4096
)

// request is one request of an account. Its times count from the start of the run.
type request struct {
	account       int
	service       int
	router        int
	job           job
	estimatedCost fleet.Tokens
	arrived       time.Duration
	started       time.Duration
	deadline      time.Duration
	// onEnd is called once, with the reason if the request is refused, or "" if
	// it is answered.
	onEnd func(reason refusal.Reason)
	// engine is the upstream that runs the request; nil until it is started.
	engine *engine
	// preferred lists the upstreams that probably cache the prompt's prefix.
	preferred []uint32
}

type queueKey struct{ account, service int }

// queue holds the waiting requests of one account for one service at one router.
type queue struct {
	key   queueKey
	items waiting.Queue[queueKey, *request]
	drain admission.DrainMeter
	// starts counts started requests. lateRefusals holds the requests refused
	// because of their deadline until their turn would have come.
	starts       int
	lateRefusals []refusedRequest
	// lastAsked is the number of waiting requests that each router's dispatcher
	// currently assumes.
	lastAsked map[int]int
	// targets lists the routers whose dispatchers are asked, in order.
	targets []int
}

// refusedRequest is a request that was refused because its turn was expected
// only after its deadline.
type refusedRequest struct {
	refusedAt, deadline time.Duration
	// startNumber is the value of queue.starts at which its turn would have come.
	startNumber int
}

func (q *queue) len() int { return q.items.Total() }

func (q *queue) oldest() *request {
	if item := q.items.Head(q.key); item != nil {
		return item.Value()
	}
	return nil
}

func (r *router) queue(key queueKey) *queue {
	q := r.queueByKey[key]
	if q == nil {
		q = &queue{key: key, lastAsked: make(map[int]int)}
		r.queueByKey[key] = q
		r.queues = append(r.queues, q)
	}
	return q
}

// enqueue admits a caller's request to its queue or refuses it.
func (r *router) enqueue(request *request) {
	now := r.sim.clock.now()
	q := r.queue(queueKey{request.account, request.service})
	total := 0
	for _, other := range r.queues {
		total += other.len()
	}
	deadline := epoch.Add(request.deadline)
	if refused := r.sim.admission.Admit(now, deadline, admission.Queue{
		AccountWaiting: q.len(), AccountBound: maxWaiting, TotalWaiting: total, TotalBound: maxWaitingTotal,
		DrainRate: q.drain.MaxRate(now),
	}); refused != nil {
		r.refuse(q, request, refused.Reason, q.len())
		return
	}
	item := q.items.Push(q.key, request, now, deadline)
	r.sim.metrics.addWaiting(request, 1)
	q.drain.SetWaiting(now, true)
	r.sim.clock.runAfter(request.deadline-r.sim.clock.elapsed, func() {
		if q.items.Remove(item) {
			r.dequeued(q, request)
			request.onEnd(refusal.DeadlinePassed)
		}
	})
	r.updateAsks(q)
	r.grantSlots()
}

// refuse ends a request with a refusal. If the reason is its deadline, it keeps
// a record to check later whether its turn would have come in time.
func (r *router) refuse(q *queue, request *request, reason refusal.Reason, ahead int) {
	if reason == refusal.DeadlineBeforeTurn {
		q.lateRefusals = append(q.lateRefusals, refusedRequest{r.sim.clock.elapsed, request.deadline, q.starts + ahead + 1})
	}
	request.onEnd(reason)
}

// reviewDeadlines refuses admitted requests that are now expected to miss their
// deadline because their account is served more slowly than before.
func (r *router) reviewDeadlines() {
	now := r.sim.clock.now()
	for _, q := range r.queues {
		rate := q.drain.MaxRate(now)
		ahead := 0
		for item := q.items.Head(q.key); item != nil; {
			next := item.Next()
			refused := r.sim.admission.Admit(now, item.Deadline(), admission.Queue{
				AccountWaiting: ahead, AccountBound: ahead + 1, TotalBound: 1, DrainRate: rate,
			})
			if refused != nil && refused.Reason == refusal.DeadlineBeforeTurn {
				q.items.Remove(item)
				r.dequeued(q, item.Value())
				r.refuse(q, item.Value(), refused.Reason, ahead)
			} else {
				ahead++
			}
			item = next
		}
	}
}

// countFalseRefusals counts the start of a request, and the refused requests that
// would have been started by now and before their deadline.
func (q *queue) countFalseRefusals(now time.Duration, m *metrics) {
	q.starts++
	remaining := q.lateRefusals[:0]
	for _, refused := range q.lateRefusals {
		if q.starts < refused.startNumber {
			remaining = append(remaining, refused)
			continue
		}
		if now < refused.deadline {
			m.falseRefusals++
		}
		if now < refused.refusedAt+(refused.deadline-refused.refusedAt)/2 {
			m.falseRefusalsByHalf++
		}
	}
	q.lateRefusals = remaining
}

// dequeued updates the metrics and asks after a request has left its queue.
func (r *router) dequeued(q *queue, request *request) {
	r.sim.metrics.addWaiting(request, -1)
	q.drain.SetWaiting(r.sim.clock.now(), q.len() > 0)
	r.updateAsks(q)
}

// handleGrant starts a waiting request, or releases the slot if none waits.
func (r *router) handleGrant(from int, grant *schema.Grant) {
	r.grantedThrough[from] = max(r.grantedThrough[from], grant.GetId())
	service := r.sim.serviceOf(grant.GetUpstream())
	q := r.queue(queueKey{int(grant.GetAccount()), service})
	q.lastAsked[from] = max(q.lastAsked[from]-1, 0)
	item := q.chooseRequest(grant.GetUpstream())
	if item == nil {
		r.releaseSlot(from, &schema.Release{Id: grant.GetId(), Result: schema.Result_RESULT_UNUSED})
		return
	}
	q.items.Remove(item)
	request := item.Value()
	q.drain.AddStart(r.sim.clock.now())
	q.countFalseRefusals(r.sim.clock.elapsed, r.sim.metrics)
	r.dequeued(q, request)
	r.startRequest(from, grant, request)
}

// chooseRequest returns the first of the oldest eight requests that prefers the
// upstream because of its prefix cache, or else the oldest.
func (q *queue) chooseRequest(upstream uint32) *waiting.Item[queueKey, *request] {
	const depth = 8
	head := q.items.Head(q.key)
	item := head
	for range depth {
		if item == nil {
			return head
		}
		if slices.Contains(item.Value().preferred, upstream) {
			return item
		}
		item = item.Next()
	}
	return head
}

// startRequest sends a request to the upstream that was granted.
func (r *router) startRequest(granter int, grant *schema.Grant, request *request) {
	sim := r.sim
	request.engine = sim.engines[grant.GetUpstream()]
	sim.metrics.recordStart(request)
	var firstToken time.Duration
	request.job.onFirstToken = func() {
		firstToken = sim.clock.elapsed - request.started
		sim.metrics.recordFirstToken(request)
		if grant.GetBegin() {
			r.reportBegin(granter, grant)
		}
	}
	request.job.onDone = func() {
		sim.clock.runAfter(upstreamDelay, func() { r.finishRequest(granter, grant.GetId(), request, firstToken) })
	}
	sim.clock.runAfter(upstreamDelay, func() { request.engine.submit(&request.job) })
}

// reportBegin reports to the granting router that an answer has begun. The grant
// requests this while the upstream is warming up.
func (r *router) reportBegin(granter int, grant *schema.Grant) {
	message := &schema.Held{
		Upstream: grant.GetUpstream(), Ids: []uint64{uint64(dispatcher.NewGrantID(grant.GetId(), uint16(granter)))},
		Accounts: []uint32{grant.GetAccount()}, Costs: []uint32{0},
	}
	if granter == r.index {
		service := r.sim.serviceOf(grant.GetUpstream())
		r.dispatcher.HandleHeld(r.sim.clock.now(), r.id, fleet.ShortID(service), message)
		r.grantSlots()
		return
	}
	batch := r.batchTo(granter, releaseDelay)
	batch.Held = append(batch.Held, message)
}

// finishRequest records an answered request and releases its slot.
func (r *router) finishRequest(granter int, id uint64, request *request, firstToken time.Duration) {
	r.sim.estimators[r.index].Ended(request.estimateKey(), int64(request.job.outputTokens))
	r.sim.metrics.recordAnswer(request)
	request.onEnd("")
	r.releaseSlot(granter, &schema.Release{
		Id: id, Cost: uint32(request.cost()), FirstTokenMs: uint32(firstToken.Milliseconds()),
	})
}

// releaseSlot returns a slot to the router that granted it.
func (r *router) releaseSlot(to int, message *schema.Release) {
	if to == r.index {
		r.dispatcher.Release(r.sim.clock.now(), r.id, message)
		r.grantSlots()
		return
	}
	batch := r.batchTo(to, releaseDelay)
	batch.Releases = append(batch.Releases, message)
}

// estimateKey returns the key under which the request's cost is estimated.
func (q *request) estimateKey() estimate.Key {
	return estimate.Key{Account: fleet.AccountID(strconv.Itoa(q.account)), Service: fleet.ServiceID(serviceNames[q.service])}
}

// cost returns the cost of the whole request.
func (q *request) cost() fleet.Tokens {
	if q.service == plainService {
		return plainCost
	}
	return estimate.Weights{}.Cost(int64(q.job.inputTokens), int64(q.job.outputTokens))
}

// preferredUpstreams returns the two upstreams that requests with a prompt
// prefix are sent to if possible.
func (sim *simulation) preferredUpstreams(prefix uint64) []uint32 {
	const copies = 2
	if prefix == 0 {
		return nil
	}
	if cached := sim.preferredByPrefix[prefix]; cached != nil {
		return cached
	}
	var names []string
	for upstream := range sim.deployment.Models {
		names = append(names, strconv.Itoa(upstream))
	}
	ranked := rendezvous.Rank(rendezvous.KeyOfNumber("prefix", prefix), names)
	var preferred []uint32
	for _, name := range ranked[:min(copies, len(ranked))] {
		preferred = append(preferred, uint32(upstreamIndex(name)))
	}
	sim.preferredByPrefix[prefix] = preferred
	return preferred
}

// upstreamIndex parses the name of an upstream in a ranking.
func upstreamIndex(name string) int {
	number, _ := strconv.Atoi(name)
	return number
}
