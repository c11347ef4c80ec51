// Package experiment simulates a fleet in virtual time under fixed, seeded
// loads, and measures the service that each client account gets.
//
// Scheduling runs the production code: packages share, inflight, placement,
// admission, estimate, fanout, dispatcher and keeper, and the control messages of
// package schema, whose encoded size is counted. The rest is modelled: router
// queues, message batching with the delays of package scheduler, network delay,
// engines whose token rate falls as their batch grows, plain upstreams and
// callers. A run of two minutes takes a few hundred milliseconds and is
// deterministic. Sockets, CPU time and message loss are not modelled, so the
// figures have to be confirmed on real routers.
package experiment

import (
	"maps"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nutmeglock.example/nutmeglock/fleet"
)

// Options selects the runs. The zero value selects every load and policy at the
// users' deployments.
type Options struct {
	// Deployments, Loads and Policies are run in every combination. Empty lists
	// mean the users' deployments, all loads, and the policies of Policies.
	Deployments []Deployment
	Loads       []Load
	Policies    []Policy
	// Seeds are the random seeds of each combination; empty means three fixed ones.
	Seeds []uint64
	// Duration is the virtual time of each run; zero means two minutes.
	Duration time.Duration
}

const (
	defaultDuration = 2 * time.Minute
	defaultSeed     = 20261202
)

// RunDefault runs the users' deployments with all loads and policies, and larger
// fleets with the loads that are hardest for them.
func RunDefault() Report {
	report := Run(Options{})
	report.Results = append(report.Results, Run(Options{
		Deployments: []Deployment{Scaled(6), Scaled(12), Scaled(24), Scaled(60)},
		Loads:       []Load{fewLarge(), oneRouter(), flood(), burst()},
		Policies:    Policies()[:1],
		Seeds:       []uint64{defaultSeed},
	}).Results...)
	return report
}

// Report holds the results of all runs. Duration is in virtual seconds.
type Report struct {
	Seeds    []uint64 `json:"seeds"`
	Duration float64  `json:"duration-seconds"`
	Results  []Result `json:"results"`
}

// Result holds the measurements of one run. Times are in milliseconds unless
// stated otherwise.
type Result struct {
	Deployment Deployment `json:"deployment"`
	Load       string     `json:"load"`
	Policy     string     `json:"policy"`
	Seed       uint64     `json:"seed"`
	// Gap is the fairness gap: the largest difference in service between two
	// accounts over any interval in which both were backlogged, after the first
	// ten seconds. Service is weighted tokens divided by the account's weight.
	Gap float64 `json:"gap-tokens"`
	// LargestRequest is the cost of the most expensive request.
	LargestRequest float64 `json:"largest-request-tokens"`
	// GapMultiple is Gap divided by LargestRequest.
	GapMultiple float64 `json:"gap-multiple"`
	// LaterGapMultiple is GapMultiple over intervals after thirty seconds, when
	// the slots taken at the start have been released.
	LaterGapMultiple float64 `json:"later-gap-multiple"`
	// Utilisation is the fraction of the model upstreams' batch slots in use
	// while some request had waited for over 10 ms; StrictUtilisation is the
	// same while any request waited. Both are 1 if none did.
	Utilisation       float64 `json:"utilisation"`
	StrictUtilisation float64 `json:"strict-utilisation"`
	// QueuedFraction is the fraction of the time in which some request had
	// waited for over 10 ms.
	QueuedFraction float64         `json:"queued-time"`
	Queue          Percentiles     `json:"queue-ms"`
	FirstToken     Percentiles     `json:"first-token-ms"`
	PlainQueue     Percentiles     `json:"plain-queue-ms"`
	Accounts       []AccountResult `json:"accounts"`
	// Answers counts final answers by refusal reason, or "answered".
	Answers map[string]int `json:"answers"`
	// FalseRefusals counts requests refused because of their deadline that would
	// have been started before it; FalseRefusalsByHalf counts those that would
	// have been started within half of the time to the deadline.
	FalseRefusals       int           `json:"false-refusals"`
	FalseRefusalsByHalf int           `json:"false-refusals-by-half"`
	Control             ControlResult `json:"control"`
	TokensPerSecond     float64       `json:"tokens-per-second"`
	// CacheHits is the fraction of prefix cache look-ups that hit.
	CacheHits float64 `json:"cache-hits"`
}

// Percentiles describe a distribution of times in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// AccountResult holds the measurements of one account at the model service.
type AccountResult struct {
	// Name is the account's ID; it is set only for a replayed trace.
	Name     fleet.AccountID `json:"name,omitempty"`
	Account  int             `json:"account"`
	Requests int             `json:"requests"`
	Answered int             `json:"answered"`
	// Service is the cost of the answered requests in weighted tokens.
	Service float64     `json:"service-tokens"`
	Queue   Percentiles `json:"queue-ms"`
	// Residence is the time from start to end of a request.
	Residence Percentiles `json:"residence-ms"`
	// LongestPause is the longest time, in seconds, in which requests waited and
	// none was started.
	LongestPause float64 `json:"longest-pause-seconds"`
}

// ControlResult measures the traffic between routers and that of load reports.
// Each byte is counted once, at its sender.
type ControlResult struct {
	// MessageBytes counts frames without packet headers.
	MessageBytes float64 `json:"message-bytes-per-second-per-router"`
	// HeaderBytes counts TCP and IP headers, with one packet per frame.
	HeaderBytes float64 `json:"header-bytes-per-second-per-router"`
	// ReportBytes counts the upstreams' load reports over HTTP.
	ReportBytes float64 `json:"report-bytes-per-second-per-router"`
	Total       float64 `json:"bytes-per-second-per-router"`
	PerRequest  float64 `json:"bytes-per-request"`
	Messages    float64 `json:"messages-per-second-per-router"`
}

// Run simulates all combinations and returns their results in a fixed order.
// It runs as many in parallel as there are CPUs, up to four.
func Run(options Options) Report {
	options = withDefaults(options)
	var runs []func() Result
	for _, d := range options.Deployments {
		for _, load := range options.Loads {
			for _, policy := range options.Policies {
				for _, seed := range options.Seeds {
					runs = append(runs, func() Result { return simulate(d, load, policy, seed, options.Duration) })
				}
			}
		}
	}
	return Report{Seeds: options.Seeds, Duration: options.Duration.Seconds(), Results: inParallel(runs)}
}

func withDefaults(options Options) Options {
	if len(options.Deployments) == 0 {
		options.Deployments = []Deployment{Halonen(), Kilimanjaro()}
	}
	if len(options.Loads) == 0 {
		options.Loads = Loads()
	}
	if len(options.Policies) == 0 {
		options.Policies = Policies()
	}
	if len(options.Seeds) == 0 {
		options.Seeds = []uint64{defaultSeed, defaultSeed + 1, defaultSeed + 2}
	}
	if options.Duration <= 0 {
		options.Duration = defaultDuration
	}
	return options
}

// inParallel calls the functions on up to four goroutines and returns their
// results in order.
func inParallel(runs []func() Result) []Result {
	const maxWorkers = 4
	results := make([]Result, len(runs))
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(maxWorkers, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for i := range next {
				results[i] = runs[i]()
			}
		})
	}
	for i := range runs {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}

// simulate runs one combination of deployment, load, policy and seed.
func simulate(d Deployment, load Load, policy Policy, seed uint64, duration time.Duration) Result {
	sim := newSimulation(d, policy, load.weight, seed)
	sim.start()
	sim.metrics.start()
	for i, c := range load.clients(d) {
		sim.startClient(c, seed+uint64(i)<<32)
	}
	if load.slowAfter > 0 {
		sim.clock.runAfter(load.slowAfter, sim.slowUpstreams)
	}
	sim.clock.runUntil(duration)
	result := sim.result(duration)
	result.Load, result.Seed = load.Name, seed
	return result
}

// slowUpstreams reduces every fifth model upstream to a quarter of its speed.
func (sim *simulation) slowUpstreams() {
	for i := 0; i < sim.deployment.Models; i += 5 {
		sim.engines[i].setSpeed(0.25)
	}
}

func (sim *simulation) result(duration time.Duration) Result {
	m := sim.metrics
	result := Result{
		Deployment: sim.deployment, Policy: sim.policy.Name,
		Gap: m.gap.Widest(), LargestRequest: m.largestRequest, GapMultiple: ratio(m.gap.Widest(), m.largestRequest, 0),
		LaterGapMultiple: ratio(m.laterGap.Widest(), m.largestRequest, 0),
		Utilisation:      ratio(m.usedSlots, m.totalSlots, 1), StrictUtilisation: ratio(m.strictUsedSlots, m.strictTotalSlots, 1),
		QueuedFraction: ratio(float64(m.queuedSamples), float64(m.samples), 0),
		Queue:          percentiles(m.queue), FirstToken: percentiles(m.firstToken), PlainQueue: percentiles(m.plainQueue),
		Answers: m.answers, FalseRefusals: m.falseRefusals, FalseRefusalsByHalf: m.falseRefusalsByHalf, Control: sim.control.result(duration, len(sim.routers), m.requests),
	}
	hits, misses := 0, 0
	for _, e := range sim.engines {
		hits += e.cacheHits
		misses += e.cacheMisses
	}
	result.CacheHits = ratio(float64(hits), float64(hits+misses), 0)
	for i, a := range m.accounts {
		result.TokensPerSecond += a.service / duration.Seconds()
		result.Accounts = append(result.Accounts, AccountResult{
			Account: i, Requests: a.requests, Answered: a.answered, Service: a.service,
			Queue: percentiles(a.queue), Residence: percentiles(a.residence), LongestPause: a.longestPause.Seconds(),
		})
	}
	return result
}

// ratio returns value divided by whole, or fallback if whole is zero.
func ratio(value, whole, fallback float64) float64 {
	if whole == 0 {
		return fallback
	}
	return value / whole
}

// percentiles converts a histogram of microseconds to milliseconds.
func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

func (c *controlTraffic) result(duration time.Duration, routers, requests int) ControlResult {
	routerSeconds := duration.Seconds() * float64(routers)
	total := float64(c.messageBytes + c.headerBytes + c.reportBytes)
	return ControlResult{
		MessageBytes: float64(c.messageBytes) / routerSeconds, HeaderBytes: float64(c.headerBytes) / routerSeconds,
		ReportBytes: float64(c.reportBytes) / routerSeconds, Total: total / routerSeconds,
		PerRequest: ratio(total, float64(requests), 0), Messages: float64(c.messages) / routerSeconds,
	}
}

// Find returns the first result of a load and policy at a deployment, and
// whether there is one.
func (r Report) Find(deployment, load, policy string) (Result, bool) {
	i := slices.IndexFunc(r.Results, func(result Result) bool {
		return result.Deployment.Name == deployment && result.Load == load && result.Policy == policy
	})
	if i < 0 {
		return Result{}, false
	}
	return r.Results[i], true
}

func sortedKeys(counts map[string]int) []string {
	return slices.Sorted(maps.Keys(counts))
}
