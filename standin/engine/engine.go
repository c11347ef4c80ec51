// Package engine is a stand-in for a model engine: chat completions over HTTP
// with continuous batching, a bounded prefix cache, delayed load reports and
// cache events, and streams that can be resumed and cancelled. Its answers
// depend only on the request, so that a test can compare them byte by byte.
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

// Options configures an engine. The zero value is valid.
type Options struct {
	// Clock defaults to the system clock.
	Clock timer.Service
	// TimeScale multiplies every duration below; zero means 1.
	TimeScale float64
	// StepBase and StepPerRequest determine the duration of a batch step: StepBase +
	// StepPerRequest × requests in the batch. Zero means 20 ms and 0.5 ms.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// MaxBatch is the maximum number of requests that run at once; zero means 32.
	// Requests beyond it are queued inside the engine.
	MaxBatch int
	// PrefillChunk is the number of prompt tokens processed per request and step;
	// zero means 512.
	PrefillChunk int
	// CacheBlocks is the size of the prefix cache; zero means 4096 blocks.
	CacheBlocks int
	// ReportLag is the delay after which a load report becomes visible; zero means 1 s.
	ReportLag time.Duration
	// EventLag is the delay after which a cache event becomes visible; zero means 2 s.
	EventLag time.Duration
	// DropEveryNthEvent is n if every nth cache event is dropped; zero drops none.
	DropEveryNthEvent int
	// Retention is how long a stream without a reader is kept; zero means 10 s.
	Retention time.Duration
	// CheckFencing makes the engine refuse orders with an old fencing number.
	CheckFencing bool
}

// The defaults of Options.
const (
	defaultStepBase       = 20 * time.Millisecond
	defaultStepPerRequest = 500 * time.Microsecond
	defaultMaxBatch       = 32
	defaultPrefillChunk   = 512
	defaultCacheBlocks    = 4096
	defaultReportLag      = time.Second
	defaultEventLag       = 2 * time.Second
	defaultRetention      = 10 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = timer.System{}
	}
	if o.TimeScale == 0 {
		o.TimeScale = 1
	}
	o.MaxBatch = valueOr(o.MaxBatch, defaultMaxBatch)
	o.PrefillChunk = valueOr(o.PrefillChunk, defaultPrefillChunk)
	o.CacheBlocks = valueOr(o.CacheBlocks, defaultCacheBlocks)
	o.StepBase = o.scaled(o.StepBase, defaultStepBase)
	o.StepPerRequest = o.scaled(o.StepPerRequest, defaultStepPerRequest)
	o.ReportLag = o.scaled(o.ReportLag, defaultReportLag)
	o.EventLag = o.scaled(o.EventLag, defaultEventLag)
	o.Retention = o.scaled(o.Retention, defaultRetention)
	return o
}

func (o Options) scaled(value, fallback time.Duration) time.Duration {
	return time.Duration(float64(valueOr(value, fallback)) * o.TimeScale)
}

func valueOr[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// The operations into which faults can be injected.
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
	// Faults are the active faults. Supported kinds: down, slow, request-lost,
	// reply-lost, refuse-full, refuse-draining and break-after-events.
	Faults fault.List

	options Options
	routes  *echo.Echo

	mu            sync.Mutex
	stepScheduled bool
	crashed       bool
	draining      bool
	batch         []*stream
	queue         []*stream
	streams       map[string]*stream
	cache         *cache
	load          lag.Value[Load]
	runCounts     map[string]int
	orders        []Order
	maxFencing    uint64
}

// New returns an idle engine.
func New(options Options) *Engine {
	e := &Engine{options: options.withDefaults(), streams: map[string]*stream{}, runCounts: map[string]int{}}
	e.cache = newCache(e.options)
	e.load.Delay = e.options.ReportLag
	e.updateLoad()
	e.routes = e.newRoutes()
	return e
}

// ServeHTTP serves routers and the control requests of tests.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.routes.ServeHTTP(w, r) }

// Drain makes the engine refuse new requests and finish the queued and running ones.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.updateLoad()
}

// Crash aborts all connections and drops all streams. New connections are
// aborted until Restore.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	for _, s := range e.streams {
		s.end(lost)
	}
	for _, s := range slices.Concat(e.batch, e.queue) {
		s.end(lost)
	}
	e.streams, e.batch, e.queue = map[string]*stream{}, nil, nil
	e.cache = newCache(e.options)
	e.updateLoad()
}

// Restore ends a crash or a drain. After a crash the engine has no streams and an
// empty cache, as after a restart.
func (e *Engine) Restore() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
	e.draining = false
	e.updateLoad()
}

// Runs returns the number of times that each request was accepted, by request id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runCounts))
	for id, n := range e.runCounts {
		runs[id] = n
	}
	return runs
}

// EventCount returns the number of events produced for a stream so far.
func (e *Engine) EventCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[id]; ok {
		return len(s.events)
	}
	return 0
}

// Load is a load report.
type Load struct {
	Running   int     `json:"running"`
	Queued    int     `json:"queued"`
	CacheUsed float64 `json:"cache-used"`
	AtUnixMs  int64   `json:"at-unix-ms"`
	Draining  bool    `json:"draining"`
}

// updateLoad records a new load report, which readers see after the lag.
func (e *Engine) updateLoad() {
	e.load.Set(e.options.Clock.Now(), Load{
		Running:   len(e.batch),
		Queued:    len(e.queue),
		CacheUsed: e.cache.utilisation(),
		Draining:  e.draining,
	})
}

// Order is a command to the engine, such as to load a model.
type Order struct {
	Kind    string `json:"kind"`
	Fencing uint64 `json:"fencing"`
	Target  string `json:"target,omitempty"`
}

// acceptOrder records an order and reports whether its fencing number was accepted.
func (e *Engine) acceptOrder(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.CheckFencing && order.Fencing < e.maxFencing {
		return false
	}
	e.maxFencing = max(e.maxFencing, order.Fencing)
	e.orders = append(e.orders, order)
	return true
}

// Running returns the current number of requests in the batch, without the lag
// of load reports.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch)
}
