// Package experiment plays fixed, seeded loads through the decisions of the
// fleet in virtual time, and measures what client accounts get.
//
// The decisions are those of the product: the orders of package share, the
// limits of inflight, placement, admission, estimates, the dispatcher and the
// keeper, and the control messages of package schema, which are counted byte
// by byte. What is modelled is around them: routers' queues and batching of
// messages with the values of package scheduler, the network's delay, engines
// with a batch and a token rate that falls as the batch grows, plain upstreams,
// and callers. A run of two minutes takes a few hundred milliseconds, is the
// same each time, and knows nothing of sockets, processors or lost messages:
// its figures say what the decisions do, and the real routers have to confirm
// them.
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

// Options say what to run. Their zero value is the full default run.
type Options struct {
	// Deployments, Loads and Policies are combined with each other; empty
	// ones mean the users' deployments, all loads, and the chosen policy with
	// its baselines.
	Deployments []Deployment
	Loads       []Load
	Policies    []Policy
	// Seeds are run each; empty means three fixed ones.
	Seeds []uint64
	// Duration is the virtual time of each run; zero means two minutes.
	Duration time.Duration
}

const (
	defaultDuration = 2 * time.Minute
	defaultSeed     = 20261202
)

// Default returns the report of the full run: the users' deployments with all
// loads and policies, and larger fleets with the loads that weigh most there.
func Default() Report {
	report := Run(Options{})
	report.Results = append(report.Results, Run(Options{
		Deployments: []Deployment{Scaled(6), Scaled(12), Scaled(24), Scaled(60)},
		Loads:       []Load{fewLarge(), oneRouter(), flood(), burst()},
		Policies:    Policies()[:1],
		Seeds:       []uint64{defaultSeed},
	}).Results...)
	return report
}

// Report is the outcome of all runs.
type Report struct {
	Seeds    []uint64 `json:"seeds"`
	Duration float64  `json:"duration-seconds"`
	Results  []Result `json:"results"`
}

// Result is the outcome of one run. Times are in milliseconds.
type Result struct {
	Deployment Deployment `json:"deployment"`
	Load       string     `json:"load"`
	Policy     string     `json:"policy"`
	Seed       uint64     `json:"seed"`
	// Gap is the largest difference in weighted tokens over weight between two
	// accounts over any interval in which both had work waiting, after ten seconds.
	Gap float64 `json:"gap-tokens"`
	// LargestRequest is the cost of the largest request that was sent.
	LargestRequest float64 `json:"largest-request-tokens"`
	// GapMultiple is Gap over LargestRequest.
	GapMultiple float64 `json:"gap-multiple"`
	// LaterGapMultiple is the same over intervals after thirty seconds, when
	// the slots that were taken at the start have been given back.
	LaterGapMultiple float64 `json:"later-gap-multiple"`
	// Utilisation is the used part of the model upstreams' batches while a
	// request had waited for over 10 ms; StrictUtilisation is the same while
	// any request waited at all. Both are 1 when none did.
	Utilisation       float64 `json:"utilisation"`
	StrictUtilisation float64 `json:"strict-utilisation"`
	// QueuedTime is the part of the time in which a request had waited for
	// over 10 ms.
	QueuedTime float64         `json:"queued-time"`
	Queue      Percentiles     `json:"queue-ms"`
	FirstToken Percentiles     `json:"first-token-ms"`
	PlainQueue Percentiles     `json:"plain-queue-ms"`
	Accounts   []AccountResult `json:"accounts"`
	Answers    map[string]int  `json:"answers"`
	// FalseRefusals are requests refused for their deadline whose turn came
	// before it after all, FalseByHalf those whose turn came in half of the time.
	FalseRefusals   int           `json:"false-refusals"`
	FalseByHalf     int           `json:"false-refusals-by-half"`
	Control         ControlResult `json:"control"`
	TokensPerSecond float64       `json:"tokens-per-second"`
	CacheHits       float64       `json:"cache-hits"`
}

// Percentiles are of a distribution of times in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// AccountResult is what one account got of the model service.
type AccountResult struct {
	// Name is the account's id in a replayed trace.
	Name      fleet.AccountID `json:"name,omitempty"`
	Account   int             `json:"account"`
	Requests  int             `json:"requests"`
	Answered  int             `json:"answered"`
	Service   float64         `json:"service-tokens"`
	Queue     Percentiles     `json:"queue-ms"`
	Residence Percentiles     `json:"residence-ms"`
	// Pause is the longest time in seconds in which requests waited and none
	// was started.
	Pause float64 `json:"longest-pause-seconds"`
}

// ControlResult is the traffic between routers, and of load reports. Each byte
// is counted once, at its sender.
type ControlResult struct {
	// MessageBytes are frames without packet headers.
	MessageBytes float64 `json:"message-bytes-per-second-per-router"`
	// HeaderBytes are the TCP and IP headers of one packet for each frame.
	HeaderBytes float64 `json:"header-bytes-per-second-per-router"`
	// ReportBytes are the upstreams' load reports over HTTP.
	ReportBytes float64 `json:"report-bytes-per-second-per-router"`
	Total       float64 `json:"bytes-per-second-per-router"`
	PerRequest  float64 `json:"bytes-per-request"`
	Messages    float64 `json:"messages-per-second-per-router"`
}

// Run plays all combinations and returns their results in a fixed order. It
// runs as many at once as there are processors, up to four.
func Run(options Options) Report {
	options = withDefaults(options)
	var runs []func() Result
	for _, d := range options.Deployments {
		for _, load := range options.Loads {
			for _, policy := range options.Policies {
				for _, seed := range options.Seeds {
					runs = append(runs, func() Result { return play(d, load, policy, seed, options.Duration) })
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

func inParallel(runs []func() Result) []Result {
	const most = 4
	results := make([]Result, len(runs))
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(most, runtime.GOMAXPROCS(0)) {
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

// play runs one combination.
func play(d Deployment, load Load, policy Policy, seed uint64, duration time.Duration) Result {
	m := newModel(d, policy, load.weight, seed)
	m.begin()
	m.measure.begin()
	for i, c := range load.clients(d) {
		m.play(c, seed+uint64(i)<<32)
	}
	if load.slowFrom > 0 {
		m.clock.after(load.slowFrom, m.slow)
	}
	m.clock.runUntil(duration)
	result := m.result(duration)
	result.Load, result.Seed = load.Name, seed
	return result
}

// slow makes one model upstream in five run at a quarter of its speed.
func (m *model) slow() {
	for i := 0; i < m.deployment.Models; i += 5 {
		m.engines[i].setSpeed(0.25)
	}
}

func (m *model) result(duration time.Duration) Result {
	x := m.measure
	result := Result{
		Deployment: m.deployment, Policy: m.policy.Name,
		Gap: x.gap.Widest(), LargestRequest: x.largest, GapMultiple: part(x.gap.Widest(), x.largest, 0),
		LaterGapMultiple: part(x.later.Widest(), x.largest, 0),
		Utilisation:      part(x.busy, x.room, 1), StrictUtilisation: part(x.strictBusy, x.strictRoom, 1),
		QueuedTime: part(float64(x.queuedSamples), float64(x.samples), 0),
		Queue:      percentiles(x.queue), FirstToken: percentiles(x.first), PlainQueue: percentiles(x.plain),
		Answers: x.answers, FalseRefusals: x.falseRefusals, FalseByHalf: x.falseByHalf, Control: m.control.result(duration, len(m.routers), x.requests),
	}
	hits, misses := 0, 0
	for _, e := range m.engines {
		hits += e.hits
		misses += e.misses
	}
	result.CacheHits = part(float64(hits), float64(hits+misses), 0)
	for i, a := range x.accounts {
		result.TokensPerSecond += a.service / duration.Seconds()
		result.Accounts = append(result.Accounts, AccountResult{
			Account: i, Requests: a.requests, Answered: a.answered, Service: a.service,
			Queue: percentiles(a.queue), Residence: percentiles(a.residence), Pause: a.pause.Seconds(),
		})
	}
	return result
}

func part(value, whole, otherwise float64) float64 {
	if whole == 0 {
		return otherwise
	}
	return value / whole
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

func (c *control) result(duration time.Duration, routers, requests int) ControlResult {
	each := duration.Seconds() * float64(routers)
	total := float64(c.bytes + c.packets + c.polls)
	return ControlResult{
		MessageBytes: float64(c.bytes) / each, HeaderBytes: float64(c.packets) / each,
		ReportBytes: float64(c.polls) / each, Total: total / each,
		PerRequest: part(total, float64(requests), 0), Messages: float64(c.messages) / each,
	}
}

// Find returns the first result of a load and policy at a deployment, and
// false when there is none.
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
