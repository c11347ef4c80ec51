package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/rendezvous"
	"nutmeglock.example/nutmeglock/schema"
)

// The services of the model.
const (
	modelService = iota
	plainService
	serviceCount
)

var services = [serviceCount]string{"model", "plain"}

const (
	// inputWeight is the default weight of an input token.
	inputWeight = 0.25
	plainCost   = fleet.Tokens(100)
	// upstreamDelay is one way between a router and an upstream.
	upstreamDelay = time.Millisecond
	// noteSlots is what the release notes name as an upstream's slots. It is
	// above the true batch, as an operator would guess.
	noteSlots = 24
	plainMean = 60 * time.Millisecond
)

// model is one run: a deployment under a load with a policy.
type model struct {
	deployment  Deployment
	policy      Policy
	weight      func(account int) uint32
	admission   admission.Policy
	clock       clock
	random      *rand.Rand
	ids         []fleet.RouterID
	routers     []*router
	engines     []*engine
	dispatchers []int
	rankings    map[queueKey][]int
	keepers     map[queueKey]int
	preferences map[uint64][]uint32
	estimators  []*estimate.Estimator
	measure     *measure
	control     control
}

func newModel(d Deployment, p Policy, weight func(account int) uint32, seed uint64) *model {
	if weight == nil {
		weight = func(int) uint32 { return 1 }
	}
	m := &model{
		weight:     weight,
		deployment: d, policy: p, admission: admission.Bounded{},
		random:   rand.New(rand.NewPCG(seed, uint64(d.Routers))),
		rankings: make(map[queueKey][]int), keepers: make(map[queueKey]int),
		preferences: make(map[uint64][]uint32),
	}
	for i := range d.Routers {
		m.ids = append(m.ids, fleet.RouterID(fmt.Sprintf("router-%d", i)))
		m.estimators = append(m.estimators, &estimate.Estimator{})
	}
	for i := range d.Models + d.Plain {
		batch := engineBatch
		if i >= d.Models {
			batch = plainBatch
		}
		m.engines = append(m.engines, newEngine(&m.clock, batch))
		owner := rendezvous.Pick(rendezvous.KeyOfNumber("dispatcher", uint64(i)), m.ids)
		m.dispatchers = append(m.dispatchers, slices.Index(m.ids, owner))
	}
	m.measure = newMeasure(m)
	for i := range d.Routers {
		m.routers = append(m.routers, newRouter(m, i))
	}
	return m
}

// begin assigns the upstreams and starts every router.
func (m *model) begin() {
	for _, r := range m.routers {
		r.slots.Own(m.clock.now(), m.owned(r.index), m.serviceNumbers(), false)
		r.begin()
	}
	for i := range m.engines {
		m.poll(i)
	}
}

func (m *model) serviceNumbers() map[fleet.ServiceID]fleet.Number {
	numbers := make(map[fleet.ServiceID]fleet.Number)
	for number, name := range services {
		numbers[fleet.ServiceID(name)] = fleet.Number(number)
	}
	return numbers
}

// owned returns the upstreams that a router dispatches.
func (m *model) owned(router int) []*schema.Upstream {
	var owned []*schema.Upstream
	for i, e := range m.engines {
		slots := noteSlots
		if m.policy.static {
			slots = m.part(e.batch, router, i)
		} else if m.dispatchers[i] != router {
			continue
		}
		if slots == 0 {
			continue
		}
		owned = append(owned, &schema.Upstream{Service: services[m.serviceOf(uint32(i))], Slots: uint32(slots), Number: uint32(i)})
	}
	return owned
}

// part returns how many of an upstream's slots fall to a router when they are
// divided; the remainder begins at another router for each upstream.
func (m *model) part(slots, router, upstream int) int {
	n := len(m.ids)
	i := (router + upstream) % n
	return slots*(i+1)/n - slots*i/n
}

func (m *model) serviceOf(upstream uint32) int {
	if int(upstream) < m.deployment.Models {
		return modelService
	}
	return plainService
}

// poll brings an upstream's load report to its dispatcher once a second.
func (m *model) poll(upstream int) {
	if m.policy.static {
		return
	}
	offset := time.Duration(upstream) * 83 * time.Millisecond
	m.clock.every(offset, pollEvery, func() {
		load := m.engines[upstream].load()
		m.control.polled()
		m.clock.after(pollLag, func() {
			r := m.routers[m.dispatchers[upstream]]
			r.slots.Reported(m.clock.now(), fleet.Number(upstream), load)
			r.grant()
		})
	})
}

// ranked returns the routers that dispatch upstreams of a service, in the
// order in which an account asks them.
func (m *model) ranked(key queueKey) []int {
	if known := m.rankings[key]; known != nil {
		return known
	}
	var upstreams []string
	for i := range m.engines {
		if m.serviceOf(uint32(i)) == key.service {
			upstreams = append(upstreams, strconv.Itoa(i))
		}
	}
	var ranked []int
	for _, name := range rendezvous.Rank(rendezvous.KeyOfNumber("ask", uint64(key.account)), upstreams) {
		router := m.dispatchers[numberOf(name)]
		if !slices.Contains(ranked, router) {
			ranked = append(ranked, router)
		}
	}
	m.rankings[key] = ranked
	return ranked
}

func (m *model) keeperOf(service int, account fleet.Number) int {
	key := queueKey{int(account), service}
	keeper, ok := m.keepers[key]
	if !ok {
		id := rendezvous.Pick(rendezvous.KeyOfNumber("keeper", uint64(service)<<32|uint64(account)), m.ids)
		keeper = slices.Index(m.ids, id)
		m.keepers[key] = keeper
	}
	return keeper
}

// call sends one request of a client and calls ended when it is over.
func (m *model) call(c client, random *rand.Rand, ended func(reason refusal.Reason)) {
	request := m.draw(c, random)
	request.ended = func(reason refusal.Reason) {
		m.measure.ended(request, reason)
		ended(reason)
	}
	m.send(request)
}

func (m *model) draw(c client, random *rand.Rand) *request {
	request := &request{account: c.account, arrived: m.clock.elapsed, deadline: m.clock.elapsed + c.deadline}
	request.router = c.router
	if request.router < 0 {
		request.router = random.IntN(len(m.routers))
	}
	if c.plain {
		request.service = plainService
		request.job.plain = time.Duration(float64(plainMean) * (0.5 + random.ExpFloat64()/2))
		return request
	}
	request.job.input = c.input.draw(random)
	request.job.output = c.output.draw(random)
	if c.prefixes > 0 {
		request.job.prefix = uint64(c.account*c.prefixes + random.IntN(c.prefixes) + 1)
		request.job.prefixTokens = c.prefixTokens
	}
	return request
}

// send hands a request to its router.
func (m *model) send(request *request) {
	request.estimate = plainCost
	if request.service == modelService {
		output := m.estimators[request.router].Output(request.key(), 0)
		request.estimate = estimate.Weights{}.Cost(int64(request.job.input), output)
		request.preferred = m.prefer(request.job.prefix)
	}
	m.measure.arrived(request)
	m.routers[request.router].arrive(request)
}

// play starts what a client does. Each client draws from a source of its own,
// so that a policy does not change what the others ask for.
func (m *model) play(c client, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(c.account)))
	for range c.callers {
		m.clock.after(c.begin+time.Duration(random.Int64N(int64(time.Second))), func() { m.repeat(c, random) })
	}
	if c.rate > 0 {
		m.arrivals(c, random)
	}
	if c.burst > 0 {
		m.clock.after(c.burstAt, func() {
			for range c.burst {
				m.call(c, random, func(refusal.Reason) {})
			}
		})
	}
}

// repeat sends a request, and the next when it has ended. A caller that was
// refused comes back after a while.
func (m *model) repeat(c client, random *rand.Rand) {
	const comeBack = 2 * time.Second
	m.call(c, random, func(reason refusal.Reason) {
		pause := c.think
		if reason != "" {
			pause = comeBack
		}
		m.clock.after(pause, func() { m.repeat(c, random) })
	})
}

// arrivals sends requests at a rate, whatever comes back.
func (m *model) arrivals(c client, random *rand.Rand) {
	pause := time.Duration(random.ExpFloat64() / c.rate * float64(time.Second))
	m.clock.after(pause, func() {
		m.call(c, random, func(refusal.Reason) {})
		m.arrivals(c, random)
	})
}
