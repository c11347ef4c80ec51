// Package engine is a stand-in for a model engine: chat completions over HTTP
// with continuous batching, a limited prefix cache, late load reports and
// cache events, and streams that can be resumed and cancelled. Its answers
// depend on the request alone, so that a test can compare every byte.
package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/standin/lag"
	"nutmeglock.example/nutmeglock/timer"
)

// Options says how an engine behaves. Its zero value works.
type Options struct {
	// Clock is the machine's clock when it is nil.
	Clock timer.Service
	// TimeScale multiplies every duration below; zero means 1.
	TimeScale float64
	// StepBase and StepSlope give the time of one step of the batch: base +
	// slope × requests in the batch. Zero means 20 ms and 0.5 ms.
	StepBase  time.Duration
	StepSlope time.Duration
	// MaxBatch is the number of requests that run at once; zero means 32. More
	// are admitted and queue inside the engine.
	MaxBatch int
	// PrefillChunk is the prompt tokens that a request takes in one step; zero means 512.
	PrefillChunk int
	// CacheBlocks is the size of the prefix cache; zero means 4096 blocks.
	CacheBlocks int
	// ReportLag is the age of a load report; zero means 1 s.
	ReportLag time.Duration
	// EventLag is the age of a cache event when it appears; zero means 2 s.
	EventLag time.Duration
	// EventGap loses each EventGap-th cache event; zero loses none.
	EventGap int
	// Retention is how long a stream is kept without a reader; zero means 10 s.
	Retention time.Duration
	// CheckFencing makes the engine refuse an order with an old fencing number.
	CheckFencing bool
}

// The defaults of Options.
const (
	defaultStepBase     = 20 * time.Millisecond
	defaultStepSlope    = 500 * time.Microsecond
	defaultMaxBatch     = 32
	defaultPrefillChunk = 512
	defaultCacheBlocks  = 4096
	defaultReportLag    = time.Second
	defaultEventLag     = 2 * time.Second
	defaultRetention    = 10 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = timer.System{}
	}
	if o.TimeScale == 0 {
		o.TimeScale = 1
	}
	o.MaxBatch = orElse(o.MaxBatch, defaultMaxBatch)
	o.PrefillChunk = orElse(o.PrefillChunk, defaultPrefillChunk)
	o.CacheBlocks = orElse(o.CacheBlocks, defaultCacheBlocks)
	o.StepBase = o.scaled(o.StepBase, defaultStepBase)
	o.StepSlope = o.scaled(o.StepSlope, defaultStepSlope)
	o.ReportLag = o.scaled(o.ReportLag, defaultReportLag)
	o.EventLag = o.scaled(o.EventLag, defaultEventLag)
	o.Retention = o.scaled(o.Retention, defaultRetention)
	return o
}

func (o Options) scaled(value, standard time.Duration) time.Duration {
	return time.Duration(float64(orElse(value, standard)) * o.TimeScale)
}

func orElse[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
	}
	return value
}

// The operations that a fault can name.
const (
	OperationChat   = "chat"
	OperationResume = "resume"
	OperationCancel = "cancel"
	OperationLoad   = "load"
	OperationEvents = "cache-events"
	OperationOrder  = "order"
)

// Engine is an http.Handler. Create it with New. It is safe for concurrent use.
type Engine struct {
	// Faults are the faults in force: down, slow, request-lost, reply-lost,
	// refuse-full, refuse-draining and break-after-events.
	Faults fault.List

	options Options
	routes  *echo.Echo

	mu       sync.Mutex
	stepping bool
	crashed  bool
	draining bool
	running  []*stream
	queued   []*stream
	streams  map[string]*stream
	cache    *cache
	load     lag.Value[Load]
	runs     map[string]int
	orders   []Order
	fencing  uint64
}

// New returns an idle engine.
func New(options Options) *Engine {
	e := &Engine{options: options.withDefaults(), streams: map[string]*stream{}, runs: map[string]int{}}
	e.cache = newCache(e.options)
	e.load.By = e.options.ReportLag
	e.report()
	e.routes = e.newRoutes()
	return e
}

// ServeHTTP answers a request of a router or an order of a test.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.routes.ServeHTTP(w, r) }

// Drain makes the engine refuse new requests and finish those that it has.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.report()
}

// Crash breaks every connection and loses every stream, and breaks new
// connections until Restore.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	for _, s := range e.streams {
		s.end(lost)
	}
	for _, s := range slices.Concat(e.running, e.queued) {
		s.end(lost)
	}
	e.streams, e.running, e.queued = map[string]*stream{}, nil, nil
	e.cache = newCache(e.options)
	e.report()
}

// Restore ends a crash, as a restart with nothing remembered.
func (e *Engine) Restore() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
	e.draining = false
	e.report()
}

// Runs returns how many times each request was taken to be run, by request id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		runs[id] = n
	}
	return runs
}

// Events returns how many events of a stream the engine has produced so far.
func (e *Engine) Events(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[id]; ok {
		return len(s.events)
	}
	return 0
}

// Load is an engine's report of its load.
type Load struct {
	Running   int     `json:"running"`
	Queued    int     `json:"queued"`
	CacheUsed float64 `json:"cache-used"`
	AtUnixMs  int64   `json:"at-unix-ms"`
	Draining  bool    `json:"draining"`
}

// report takes the figures that readers see after the lag.
func (e *Engine) report() {
	e.load.Set(e.options.Clock.Now(), Load{
		Running:   len(e.running),
		Queued:    len(e.queued),
		CacheUsed: e.cache.used(),
		Draining:  e.draining,
	})
}

// Order is an order to the engine, such as to load a model.
type Order struct {
	Kind    string `json:"kind"`
	Fencing uint64 `json:"fencing"`
	Target  string `json:"target,omitempty"`
}

// take applies an order and reports whether its fencing number was accepted.
func (e *Engine) take(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.CheckFencing && order.Fencing < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, order.Fencing)
	e.orders = append(e.orders, order)
	return true
}

// Running returns how many requests the batch holds now, without the lag of
// the load report.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}
