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

// The queue bounds are the defaults of a router's settings.
const (
	maxWaiting      = 256
	maxWaitingTotal = 4096
)

// request is one call of an account.
type request struct {
	account  int
	service  int
	router   int
	job      job
	estimate fleet.Tokens
	arrived  time.Duration
	started  time.Duration
	deadline time.Duration
	// ended is called once with the reason of a refusal, or "" when answered.
	ended func(reason refusal.Reason)
	// engine is where the request was sent, nil before that.
	engine *engine
	// preferred are the upstreams that requests with the same beginning go to.
	preferred []uint32
}

type queueKey struct{ account, service int }

// queue is what waits at one router of one account for one service.
type queue struct {
	key   queueKey
	items waiting.Queue[queueKey, *request]
	drain admission.Drain
	// starts counts started requests, refusals are those whose turn is looked
	// out for.
	starts   int
	refusals []refused
	// asked is how many requests each router's dispatcher counts as waiting.
	asked map[int]int
	// targets are the routers whose dispatchers are asked, in that order.
	targets []int
}

// refused is a request that was refused since its turn would come too late.
type refused struct {
	at, deadline time.Duration
	// turn is the count of starts at which it would have come.
	turn int
}

func (q *queue) len() int { return q.items.Total() }

func (q *queue) oldest() *request {
	if item := q.items.Head(q.key); item != nil {
		return item.Value()
	}
	return nil
}

func (r *router) queue(key queueKey) *queue {
	q := r.byKey[key]
	if q == nil {
		q = &queue{key: key, asked: make(map[int]int)}
		r.byKey[key] = q
		r.queues = append(r.queues, q)
	}
	return q
}

// arrive takes a caller's request.
func (r *router) arrive(request *request) {
	now := r.model.clock.now()
	q := r.queue(queueKey{request.account, request.service})
	total := 0
	for _, each := range r.queues {
		total += each.len()
	}
	deadline := epoch.Add(request.deadline)
	if refusal := r.model.admission.Admit(now, deadline, admission.Queue{
		Account: q.len(), AccountBound: maxWaiting, Total: total, TotalBound: maxWaitingTotal,
		Drain: q.drain.Most(now),
	}); refusal != nil {
		r.refuse(q, request, refusal.Reason, q.len())
		return
	}
	item := q.items.Push(q.key, request, now, deadline)
	r.model.measure.waits(request, 1)
	q.drain.Waits(now, true)
	r.model.clock.after(request.deadline-r.model.clock.elapsed, func() {
		if q.items.Remove(item) {
			r.left(q, request)
			request.ended(refusal.DeadlinePassed)
		}
	})
	r.ask(q)
	r.grant()
}

// refuse gives a request with so many ahead of it its final answer, and looks
// out for when its turn would have come.
func (r *router) refuse(q *queue, request *request, reason refusal.Reason, ahead int) {
	if reason == refusal.DeadlineBeforeTurn {
		q.refusals = append(q.refusals, refused{r.model.clock.elapsed, request.deadline, q.starts + ahead + 1})
	}
	request.ended(reason)
}

// review refuses requests that were let in but won't have their turn in time
// any more, because the account is now served more slowly.
func (r *router) review() {
	now := r.model.clock.now()
	for _, q := range r.queues {
		rate := q.drain.Most(now)
		ahead := 0
		for item := q.items.Head(q.key); item != nil; {
			next := item.Next()
			refused := r.model.admission.Admit(now, item.Deadline(), admission.Queue{
				Account: ahead, AccountBound: ahead + 1, TotalBound: 1, Drain: rate,
			})
			if refused != nil && refused.Reason == refusal.DeadlineBeforeTurn {
				q.items.Remove(item)
				r.left(q, item.Value())
				r.refuse(q, item.Value(), refused.Reason, ahead)
			} else {
				ahead++
			}
			item = next
		}
	}
}

// countFalse counts the refused requests whose turn has come in time.
func (q *queue) countFalse(now time.Duration, x *measure) {
	q.starts++
	kept := q.refusals[:0]
	for _, each := range q.refusals {
		if q.starts < each.turn {
			kept = append(kept, each)
			continue
		}
		if now < each.deadline {
			x.falseRefusals++
		}
		if now < each.at+(each.deadline-each.at)/2 {
			x.falseByHalf++
		}
	}
	q.refusals = kept
}

// left notes that a request does not wait any more.
func (r *router) left(q *queue, request *request) {
	r.model.measure.waits(request, -1)
	q.drain.Waits(r.model.clock.now(), q.len() > 0)
	r.ask(q)
}

// granted starts a waiting request, or gives the slot back when none waits.
func (r *router) granted(from int, grant *schema.Grant) {
	r.through[from] = max(r.through[from], grant.GetId())
	service := r.model.serviceOf(grant.GetUpstream())
	q := r.queue(queueKey{int(grant.GetAccount()), service})
	q.asked[from] = max(q.asked[from]-1, 0)
	item := q.choose(grant.GetUpstream())
	if item == nil {
		r.release(from, &schema.Release{Id: grant.GetId(), Result: schema.Result_RESULT_UNUSED})
		return
	}
	q.items.Remove(item)
	request := item.Value()
	q.drain.Started(r.model.clock.now())
	q.countFalse(r.model.clock.elapsed, r.model.measure)
	r.left(q, request)
	r.start(from, grant, request)
}

// choose returns the first of the oldest few whose beginning the upstream
// probably has, else the oldest.
func (q *queue) choose(upstream uint32) *waiting.Item[queueKey, *request] {
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

// start sends a request to the upstream of a grant.
func (r *router) start(granter int, grant *schema.Grant, request *request) {
	m := r.model
	request.engine = m.engines[grant.GetUpstream()]
	m.measure.started(request)
	var firstToken time.Duration
	request.job.first = func() {
		firstToken = m.clock.elapsed - request.started
		m.measure.began(request)
		if grant.GetBegin() {
			r.tellBegin(granter, grant)
		}
	}
	request.job.done = func() {
		m.clock.after(upstreamDelay, func() { r.finished(granter, grant.GetId(), request, firstToken) })
	}
	m.clock.after(upstreamDelay, func() { request.engine.submit(&request.job) })
}

// tellBegin says that an answer began at an upstream that warms up.
func (r *router) tellBegin(granter int, grant *schema.Grant) {
	message := &schema.Held{
		Upstream: grant.GetUpstream(), Ids: []uint64{uint64(dispatcher.GrantIDOf(grant.GetId(), uint16(granter)))},
		Accounts: []uint32{grant.GetAccount()}, Costs: []uint32{0},
	}
	if granter == r.index {
		service := r.model.serviceOf(grant.GetUpstream())
		r.slots.Held(r.model.clock.now(), r.id, fleet.Number(service), message)
		r.grant()
		return
	}
	batch := r.to(granter, releaseDelay)
	batch.Held = append(batch.Held, message)
}

// finished settles an answered request and gives its slot back.
func (r *router) finished(granter int, id uint64, request *request, firstToken time.Duration) {
	r.model.estimators[r.index].Ended(request.key(), int64(request.job.output))
	r.model.measure.answered(request)
	request.ended("")
	r.release(granter, &schema.Release{
		Id: id, Cost: uint32(request.cost()), FirstTokenMs: uint32(firstToken.Milliseconds()),
	})
}

// release gives a slot back.
func (r *router) release(to int, message *schema.Release) {
	if to == r.index {
		r.slots.Release(r.model.clock.now(), r.id, message)
		r.grant()
		return
	}
	batch := r.to(to, releaseDelay)
	batch.Releases = append(batch.Releases, message)
}

// key is what the request's cost is expected by.
func (q *request) key() estimate.Key {
	return estimate.Key{Account: fleet.AccountID(strconv.Itoa(q.account)), Service: fleet.ServiceID(services[q.service])}
}

// cost returns what the whole request costs.
func (q *request) cost() fleet.Tokens {
	if q.service == plainService {
		return plainCost
	}
	return estimate.Weights{}.Cost(int64(q.job.input), int64(q.job.output))
}

// prefer returns the two upstreams that requests with a beginning go to.
func (m *model) prefer(beginning uint64) []uint32 {
	const copies = 2
	if beginning == 0 {
		return nil
	}
	if known := m.preferences[beginning]; known != nil {
		return known
	}
	var names []string
	for upstream := range m.deployment.Models {
		names = append(names, strconv.Itoa(upstream))
	}
	ranked := rendezvous.Rank(rendezvous.KeyOfNumber("prefix", beginning), names)
	var preferred []uint32
	for _, name := range ranked[:min(copies, len(ranked))] {
		preferred = append(preferred, uint32(numberOf(name)))
	}
	m.preferences[beginning] = preferred
	return preferred
}

// numberOf returns the number of an upstream from its name in a ranking.
func numberOf(name string) int {
	number, _ := strconv.Atoi(name)
	return number
}
