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

// The services of a simulated fleet.
const (
	modelService = iota
	plainService
	serviceCount
)

var serviceNames = [serviceCount]string{"model", "plain"}

const (
	// inputWeight is the default weight of an input token.
	inputWeight = 0.25
	// plainCost is the cost of a plain call.
	plainCost = fleet.Tokens(100)
	// upstreamDelay is the one-way network delay between a router and an upstream.
	upstreamDelay = time.Millisecond
	// noteSlots is the number of slots that release notes state for an upstream.
	// It is above the real batch size, as an operator's guess would be.
	noteSlots = 24
	// plainMean is the mean duration of a plain call at an upstream.
	plainMean = 60 * time.Millisecond
)

// simulation is the state of one run. Routers and upstreams are identified by
// their index.
type simulation struct {
	deployment Deployment
	policy     Policy
	weight     func(account int) uint32
	admission  admission.Policy
	clock      clock
	random     *rand.Rand
	routerIDs  []fleet.RouterID
	routers    []*router
	engines    []*engine
	// dispatchers holds the router that dispatches each upstream.
	dispatchers []int
	// rankings caches the results of rankDispatchers, keepers those of keeperOf,
	// and preferredByPrefix those of preferredUpstreams.
	rankings          map[queueKey][]int
	keepers           map[queueKey]int
	preferredByPrefix map[uint64][]uint32
	estimators        []*estimate.Estimator
	metrics           *metrics
	control           controlTraffic
}

func newSimulation(d Deployment, p Policy, weight func(account int) uint32, seed uint64) *simulation {
	if weight == nil {
		weight = func(int) uint32 { return 1 }
	}
	sim := &simulation{
		weight:     weight,
		deployment: d, policy: p, admission: admission.Bounded{},
		random:   rand.New(rand.NewPCG(seed, uint64(d.Routers))),
		rankings: make(map[queueKey][]int), keepers: make(map[queueKey]int),
		preferredByPrefix: make(map[uint64][]uint32),
	}
	for i := range d.Routers {
		sim.routerIDs = append(sim.routerIDs, fleet.RouterID(fmt.Sprintf("router-%d", i)))
		sim.estimators = append(sim.estimators, &estimate.Estimator{})
	}
	for i := range d.Models + d.Plain {
		batch := engineBatch
		if i >= d.Models {
			batch = plainBatch
		}
		sim.engines = append(sim.engines, newEngine(&sim.clock, batch))
		owner := rendezvous.Pick(rendezvous.KeyOfNumber("dispatcher", uint64(i)), sim.routerIDs)
		sim.dispatchers = append(sim.dispatchers, slices.Index(sim.routerIDs, owner))
	}
	sim.metrics = newMetrics(sim)
	for i := range d.Routers {
		sim.routers = append(sim.routers, newRouter(sim, i))
	}
	return sim
}

// start assigns the upstreams to the routers' dispatchers and starts the
// periodic work.
func (sim *simulation) start() {
	for _, r := range sim.routers {
		r.dispatcher.SetUpstreams(sim.clock.now(), sim.ownedUpstreams(r.index), sim.serviceNumbers(), false)
		r.start()
	}
	for i := range sim.engines {
		sim.pollLoad(i)
	}
}

func (sim *simulation) serviceNumbers() map[fleet.ServiceID]fleet.ShortID {
	numbers := make(map[fleet.ServiceID]fleet.ShortID)
	for number, name := range serviceNames {
		numbers[fleet.ServiceID(name)] = fleet.ShortID(number)
	}
	return numbers
}

// ownedUpstreams returns the upstreams that a router dispatches, with their slots.
func (sim *simulation) ownedUpstreams(router int) []*schema.Upstream {
	var owned []*schema.Upstream
	for i, e := range sim.engines {
		slots := noteSlots
		if sim.policy.static {
			slots = sim.slotShare(e.batch, router, i)
		} else if sim.dispatchers[i] != router {
			continue
		}
		if slots == 0 {
			continue
		}
		owned = append(owned, &schema.Upstream{Service: serviceNames[sim.serviceOf(uint32(i))], Slots: uint32(slots), Number: uint32(i)})
	}
	return owned
}

// slotShare returns a router's part of an upstream's slots under a static
// policy. The routers that get the remainder differ from upstream to upstream.
func (sim *simulation) slotShare(slots, router, upstream int) int {
	n := len(sim.routerIDs)
	i := (router + upstream) % n
	return slots*(i+1)/n - slots*i/n
}

func (sim *simulation) serviceOf(upstream uint32) int {
	if int(upstream) < sim.deployment.Models {
		return modelService
	}
	return plainService
}

// pollLoad delivers an upstream's load report to its dispatcher once a second.
func (sim *simulation) pollLoad(upstream int) {
	if sim.policy.static {
		return
	}
	// The offset spreads the reports of the upstreams over the second.
	offset := time.Duration(upstream) * 83 * time.Millisecond
	sim.clock.runEvery(offset, pollInterval, func() {
		load := sim.engines[upstream].loadReport()
		sim.control.countLoadReport()
		sim.clock.runAfter(loadReportLag, func() {
			r := sim.routers[sim.dispatchers[upstream]]
			r.dispatcher.UpdateLoad(sim.clock.now(), fleet.ShortID(upstream), load)
			r.grantSlots()
		})
	})
}

// rankDispatchers returns the routers that dispatch upstreams of a service, in
// the order in which an account's requests are sent to them.
func (sim *simulation) rankDispatchers(key queueKey) []int {
	if cached := sim.rankings[key]; cached != nil {
		return cached
	}
	var upstreams []string
	for i := range sim.engines {
		if sim.serviceOf(uint32(i)) == key.service {
			upstreams = append(upstreams, strconv.Itoa(i))
		}
	}
	var ranked []int
	for _, name := range rendezvous.Rank(rendezvous.KeyOfNumber("ask", uint64(key.account)), upstreams) {
		router := sim.dispatchers[upstreamIndex(name)]
		if !slices.Contains(ranked, router) {
			ranked = append(ranked, router)
		}
	}
	sim.rankings[key] = ranked
	return ranked
}

// keeperOf returns the router that sums up an account's service.
func (sim *simulation) keeperOf(service int, account fleet.ShortID) int {
	key := queueKey{int(account), service}
	keeper, ok := sim.keepers[key]
	if !ok {
		id := rendezvous.Pick(rendezvous.KeyOfNumber("keeper", uint64(service)<<32|uint64(account)), sim.routerIDs)
		keeper = slices.Index(sim.routerIDs, id)
		sim.keepers[key] = keeper
	}
	return keeper
}

// call sends one request of a client and calls ended when it has ended.
func (sim *simulation) call(c client, random *rand.Rand, ended func(reason refusal.Reason)) {
	request := sim.drawRequest(c, random)
	request.onEnd = func(reason refusal.Reason) {
		sim.metrics.recordEnd(request, reason)
		ended(reason)
	}
	sim.send(request)
}

// drawRequest returns a client's next request, with random size and router.
func (sim *simulation) drawRequest(c client, random *rand.Rand) *request {
	request := &request{account: c.account, arrived: sim.clock.elapsed, deadline: sim.clock.elapsed + c.deadline}
	request.router = c.router
	if request.router < 0 {
		request.router = random.IntN(len(sim.routers))
	}
	if c.plain {
		request.service = plainService
		request.job.plainDuration = time.Duration(float64(plainMean) * (0.5 + random.ExpFloat64()/2))
		return request
	}
	request.job.inputTokens = c.input.draw(random)
	request.job.outputTokens = c.output.draw(random)
	if c.prefixes > 0 {
		request.job.prefix = uint64(c.account*c.prefixes + random.IntN(c.prefixes) + 1)
		request.job.prefixTokens = c.prefixTokens
	}
	return request
}

// send estimates the cost of a request and passes it to its router.
func (sim *simulation) send(request *request) {
	request.estimatedCost = plainCost
	if request.service == modelService {
		output := sim.estimators[request.router].PredictOutput(request.estimateKey(), 0)
		request.estimatedCost = estimate.Weights{}.Cost(int64(request.job.inputTokens), output)
		request.preferred = sim.preferredUpstreams(request.job.prefix)
	}
	sim.metrics.recordArrival(request)
	sim.routers[request.router].enqueue(request)
}

// startClient schedules a client's requests. Each client has its own random
// source, so that its requests do not depend on the policy's effect on others.
func (sim *simulation) startClient(c client, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(c.account)))
	for range c.callers {
		sim.clock.runAfter(c.startAt+time.Duration(random.Int64N(int64(time.Second))), func() { sim.runCaller(c, random) })
	}
	if c.rate > 0 {
		sim.sendAtRate(c, random)
	}
	if c.burst > 0 {
		sim.clock.runAfter(c.burstAt, func() {
			for range c.burst {
				sim.call(c, random, func(refusal.Reason) {})
			}
		})
	}
}

// runCaller sends requests one after the other. After a refusal the caller
// waits for two seconds.
func (sim *simulation) runCaller(c client, random *rand.Rand) {
	const pauseAfterRefusal = 2 * time.Second
	sim.call(c, random, func(reason refusal.Reason) {
		pause := c.thinkTime
		if reason != "" {
			pause = pauseAfterRefusal
		}
		sim.clock.runAfter(pause, func() { sim.runCaller(c, random) })
	})
}

// sendAtRate sends requests at the client's rate, regardless of answers.
func (sim *simulation) sendAtRate(c client, random *rand.Rand) {
	pause := time.Duration(random.ExpFloat64() / c.rate * float64(time.Second))
	sim.clock.runAfter(pause, func() {
		sim.call(c, random, func(refusal.Reason) {})
		sim.sendAtRate(c, random)
	})
}
