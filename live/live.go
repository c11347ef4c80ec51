// Package live measures real routers on loopback under a closed-loop load: each
// account has a number of callers, each with one request at a time.
//
// In contrast to the simulation in package experiment, it includes the cost of
// real connections, of the control protocol with all its headers, and of many
// goroutines. Its figures depend on the machine.
package live

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nutmeglock.example/nutmeglock/local"
	"nutmeglock.example/nutmeglock/standin/engine"
)

// Options configures a measurement. Zero values mean the defaults.
type Options struct {
	Routers int
	Engines int
	// Batch is the number of requests that an engine runs at once. Routers send
	// it up to twice as many, unless their adaptive limit detects queueing.
	Batch int
	// Warmup and Duration are real time. TimeScale multiplies the stand-in
	// engines' times: at 0.5 they run twice as fast as real engines.
	Warmup    time.Duration
	Duration  time.Duration
	TimeScale float64
	Loads     []Load
	Policies  []Policy
}

// Defaults: Halonen's deployment at twice the real speed, with 12 s of engine
// time as warm-up and 20 s of measurement; six runs take under two minutes.
// Limits adapt to load reports, which arrive every real second, so with faster
// engines the measurement would cover the adaptation: at four times the real
// speed, the first 30 s of engine time had a utilisation of 0.96 and gaps of 4
// to 6 times the largest request.
const (
	defaultRouters   = 6
	defaultEngines   = 10
	defaultBatch     = 16
	defaultWarmup    = 6 * time.Second
	defaultDuration  = 10 * time.Second
	defaultTimeScale = 0.5
	defaultLoads     = 2
	// slotsPerBatch is the ratio of an engine's slots to its batch. It is above 1
	// so that the adaptive limit has to find the batch size.
	slotsPerBatch = 2
)

func (o Options) withDefaults() Options {
	o.Routers = orDefault(o.Routers, defaultRouters)
	o.Engines = orDefault(o.Engines, defaultEngines)
	o.Batch = orDefault(o.Batch, defaultBatch)
	o.Warmup = orDefault(o.Warmup, defaultWarmup)
	o.Duration = orDefault(o.Duration, defaultDuration)
	o.TimeScale = orDefault(o.TimeScale, defaultTimeScale)
	if len(o.Loads) == 0 {
		o.Loads = Loads()[:defaultLoads]
	}
	if len(o.Policies) == 0 {
		o.Policies = Policies()
	}
	return o
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Report holds the results of all runs.
type Report struct {
	Routers   int      `json:"routers"`
	Engines   int      `json:"engines"`
	Batch     int      `json:"batch"`
	TimeScale float64  `json:"time-scale"`
	Seconds   float64  `json:"seconds"`
	Results   []Result `json:"results"`
}

// Result holds the measurements of a load under a policy. Times are real
// milliseconds.
type Result struct {
	Load   string `json:"load"`
	Policy Policy `json:"policy"`
	// Gap is the fairness gap in weighted tokens: the largest difference in
	// service between two accounts over any interval in which both were
	// backlogged. GapMultiple is Gap divided by LargestRequest.
	Gap         float64 `json:"gap-tokens"`
	GapMultiple float64 `json:"gap-multiple"`
	// LaterGapMultiple is GapMultiple over the second half of the run.
	LaterGapMultiple float64 `json:"later-gap-multiple"`
	// LargestRequest is the cost of the most expensive request.
	LargestRequest float64 `json:"largest-request-tokens"`
	// Utilisation is the fraction of the engines' batch slots in use, 0 to 1,
	// averaged over the samples in which a request waited.
	Utilisation     float64 `json:"utilisation"`
	FirstByteP50    float64 `json:"first-byte-ms-p50"`
	FirstByteP99    float64 `json:"first-byte-ms-p99"`
	SmallAccountP99 float64 `json:"small-account-first-byte-ms-p99"`
	TokensPerSecond float64 `json:"tokens-per-second"`
	// Answers counts complete answers as "answered", and refusals by reason.
	Answers map[string]int64 `json:"answers"`
	// Control is the control traffic sent, in bytes per second and router, by
	// kind of receiver.
	Control map[string]float64 `json:"control-bytes-per-second-per-router"`
	// PeerBytesPerRequest is the number of bytes sent to peers per answered
	// request.
	PeerBytesPerRequest float64 `json:"peer-bytes-per-request"`
}

// Run measures each load under each policy, one after the other. It returns
// early with an error if ctx ends or a fleet can't be started.
func Run(ctx context.Context, options Options) (Report, error) {
	options = options.withDefaults()
	report := Report{
		Routers: options.Routers, Engines: options.Engines, Batch: options.Batch,
		TimeScale: options.TimeScale, Seconds: options.Duration.Seconds(),
	}
	for _, load := range options.Loads {
		for _, policy := range options.Policies {
			result, err := runOne(ctx, options, load, policy)
			if err != nil {
				return report, err
			}
			report.Results = append(report.Results, result)
		}
	}
	return report, nil
}

// runOne measures one load under one policy.
func runOne(ctx context.Context, options Options, load Load, policy Policy) (Result, error) {
	clients := load.clients(options)
	fleet, err := local.Start(ctx, local.Options{
		Routers: options.Routers, Engines: options.Engines, Accounts: len(clients), Sharing: string(policy),
		EngineSlots: slotsPerBatch * options.Batch,
		SlowEngines: load.slowCount(options.Engines),
		Engine:      engine.Options{TimeScale: options.TimeScale, MaxBatch: options.Batch},
	})
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	m := newMeasurement(options, fleet, len(clients))
	running, stop := context.WithCancel(ctx)
	defer stop()
	for account, client := range clients {
		for n := range client.callers {
			m.callerGroup.Go(func() { m.runCaller(running, account, n, client) })
		}
	}
	err = m.sampleRun(ctx)
	stop()
	m.callerGroup.Wait()
	if err != nil {
		return Result{}, err
	}
	return m.result(load.Name, policy), nil
}

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}
