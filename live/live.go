// Package live measures real routers on loopback under a closed load: each
// account keeps a number of callers busy, each with one request at a time.
//
// It shows what the model in package experiment can't: the cost of real
// connections, of the control protocol with all its headers, and of many
// goroutines. Its figures depend on the machine; those of the model don't.
package live

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nutmeglock.example/nutmeglock/local"
	"nutmeglock.example/nutmeglock/standin/engine"
)

// Options size a measurement. Zeros mean the defaults.
type Options struct {
	Routers int
	Engines int
	// Batch is how many requests an engine runs at once; it is sent up to twice
	// as many, unless the limit finds that they would queue there.
	Batch int
	// Warmup and Duration are real time; TimeScale is how much faster than
	// real engines the stand-ins run.
	Warmup    time.Duration
	Duration  time.Duration
	TimeScale float64
	Loads     []Load
	Policies  []Policy
}

// Defaults: Halonen's deployment, with 12 s of engine time before 20 s of
// measurement, twice as fast as real; six runs take under two minutes. The
// limits learn from load reports, which come each real second: a faster engine
// would be judged by its start (utilisation 0.96 and gaps of 4 to 6 times the
// largest request at four times real speed, in the first 30 s of engine time).
const (
	defaultRouters   = 6
	defaultEngines   = 10
	defaultBatch     = 16
	defaultWarmup    = 6 * time.Second
	defaultDuration  = 10 * time.Second
	defaultTimeScale = 0.5
	defaultLoads     = 2
	// slotsPerBatch leaves it to the limit to find the batch.
	slotsPerBatch = 2
)

func (o Options) withDefaults() Options {
	o.Routers = orElse(o.Routers, defaultRouters)
	o.Engines = orElse(o.Engines, defaultEngines)
	o.Batch = orElse(o.Batch, defaultBatch)
	o.Warmup = orElse(o.Warmup, defaultWarmup)
	o.Duration = orElse(o.Duration, defaultDuration)
	o.TimeScale = orElse(o.TimeScale, defaultTimeScale)
	if len(o.Loads) == 0 {
		o.Loads = Loads()[:defaultLoads]
	}
	if len(o.Policies) == 0 {
		o.Policies = Policies()
	}
	return o
}

func orElse[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

// Report is the result of all runs.
type Report struct {
	Routers   int      `json:"routers"`
	Engines   int      `json:"engines"`
	Batch     int      `json:"batch"`
	TimeScale float64  `json:"time-scale"`
	Seconds   float64  `json:"seconds"`
	Results   []Result `json:"results"`
}

// Result is one load under one policy. Times are real milliseconds.
type Result struct {
	Load   string `json:"load"`
	Policy Policy `json:"policy"`
	// Gap is the largest difference in service between two accounts over any
	// interval in which both had work waiting, in weighted tokens; GapMultiple
	// is the same in costs of the largest request.
	Gap         float64 `json:"gap-tokens"`
	GapMultiple float64 `json:"gap-multiple"`
	// LaterGapMultiple is that of intervals in the second half of the run.
	LaterGapMultiple float64 `json:"later-gap-multiple"`
	LargestRequest   float64 `json:"largest-request-tokens"`
	// Utilisation is the used part of the engines' batches, 0 to 1, over the
	// samples in which a request waited.
	Utilisation     float64 `json:"utilisation"`
	FirstByteP50    float64 `json:"first-byte-ms-p50"`
	FirstByteP99    float64 `json:"first-byte-ms-p99"`
	SmallP99        float64 `json:"small-account-first-byte-ms-p99"`
	TokensPerSecond float64 `json:"tokens-per-second"`
	// Answers counts whole answers as "answered" and refusals by reason.
	Answers map[string]int64 `json:"answers"`
	// Control is bytes sent a second and router, by other side.
	Control map[string]float64 `json:"control-bytes-per-second-per-router"`
	// ControlPerRequest is bytes sent to peers for each answered request.
	ControlPerRequest float64 `json:"peer-bytes-per-request"`
}

// Run measures each load under each policy, one after the other. It stops
// early, with an error, when ctx ends or a fleet can't be started.
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

func runOne(ctx context.Context, options Options, load Load, policy Policy) (Result, error) {
	clients := load.clients(options)
	fleet, err := local.Start(ctx, local.Options{
		Routers: options.Routers, Engines: options.Engines, Accounts: len(clients), Sharing: string(policy),
		EngineSlots: slotsPerBatch * options.Batch,
		SlowEngines: load.slow(options.Engines),
		Engine:      engine.Options{TimeScale: options.TimeScale, MaxBatch: options.Batch},
	})
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	m := newMeasure(options, fleet, len(clients))
	running, stop := context.WithCancel(ctx)
	defer stop()
	for account, client := range clients {
		for n := range client.callers {
			m.callers.Go(func() { m.call(running, account, n, client) })
		}
	}
	err = m.watch(ctx)
	stop()
	m.callers.Wait()
	if err != nil {
		return Result{}, err
	}
	return m.result(load.Name, policy), nil
}

const (
	histogramMost   = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMost, histogramDigits)
}
