// Package application is a stand-in for a plain service, such as work orders
// or bookings. It counts the runs of each request, so that a test sees a
// second one.
package application

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/standin/lag"
	"nutmeglock.example/nutmeglock/timer"
)

// Options says how a service behaves. Its zero value works.
type Options struct {
	// Clock is the machine's clock when it is nil.
	Clock timer.Service
	// ServiceTime is how long one call runs.
	ServiceTime time.Duration
	// Slots is how many calls run at once; zero means 64. More are admitted and wait.
	Slots int
	// MaxQueued is how many calls wait before further ones are refused as full; zero means any number.
	MaxQueued int
	// ReportLag is the age of a load report.
	ReportLag time.Duration
}

const defaultSlots = 64

// OperationCall is the operation that a fault can name. Its key is the path.
const OperationCall = "call"

// The headers between a router and a service.
const (
	headerRequestID      = "nutmeglock-request-id"
	headerRefused        = "nutmeglock-refused"
	headerIdempotencyKey = "Idempotency-Key"
)

// Application is an http.Handler. Create it with New. It is safe for concurrent use.
type Application struct {
	// Faults are the faults in force: down, slow, request-lost, reply-lost,
	// refuse-full and refuse-draining.
	Faults fault.List

	options Options
	routes  *echo.Echo
	slots   chan struct{}

	mu       sync.Mutex
	draining bool
	running  int
	queued   int
	load     lag.Value[Load]
	runs     map[string]int
}

// Load is a service's report of its load.
type Load struct {
	Running  int   `json:"running"`
	Queued   int   `json:"queued"`
	AtUnixMs int64 `json:"at-unix-ms"`
	Draining bool  `json:"draining"`
}

// New returns an idle service.
func New(options Options) *Application {
	if options.Clock == nil {
		options.Clock = timer.System{}
	}
	if options.Slots == 0 {
		options.Slots = defaultSlots
	}
	a := &Application{options: options, slots: make(chan struct{}, options.Slots), runs: map[string]int{}}
	a.load.By = options.ReportLag
	a.change(func() {})
	a.routes = a.newRoutes()
	return a
}

// ServeHTTP answers a request of a router or an order of a test.
func (a *Application) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.routes.ServeHTTP(w, r) }

// Drain makes the service refuse new calls and finish those that it has.
func (a *Application) Drain() { a.change(func() { a.draining = true }) }

// Runs returns how many times each call was run, by idempotency key, or by
// request id for a call without one.
func (a *Application) Runs() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	runs := make(map[string]int, len(a.runs))
	for key, n := range a.runs {
		runs[key] = n
	}
	return runs
}

// Taken returns how many calls wait or run.
func (a *Application) Taken() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queued + a.running
}

// change applies fn under the lock and takes a new load report.
func (a *Application) change(fn func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fn()
	a.load.Set(a.options.Clock.Now(), Load{Running: a.running, Queued: a.queued, Draining: a.draining})
}

func (a *Application) newRoutes() *echo.Echo {
	routes := echo.New()
	routes.GET("/load", a.answerLoad)
	routes.GET("/runs", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]map[string]int{"runs": a.Runs()})
	})
	routes.POST("/drain", func(c echo.Context) error {
		a.Drain()
		return c.NoContent(http.StatusNoContent)
	})
	routes.PUT("/faults", a.setFaults)
	routes.Any("/*", a.call)
	return routes
}

func (a *Application) answerLoad(c echo.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock.Now()
	load, at := a.load.Get(now)
	load.AtUnixMs = lag.TakenAt(now, at, a.options.ReportLag).UnixMilli()
	return c.JSON(http.StatusOK, load)
}

func (a *Application) setFaults(c echo.Context) error {
	var request fault.Orders
	if err := c.Bind(&request); err != nil {
		return err
	}
	a.Faults.Set(request.Faults...)
	return c.NoContent(http.StatusNoContent)
}

type errorBody struct {
	Error string `json:"error"`
}

func refuse(c echo.Context, why string) error {
	c.Response().Header().Set(headerRefused, why)
	return c.JSON(http.StatusServiceUnavailable, errorBody{why})
}

// call plays the fault in force and runs the request.
func (a *Application) call(c echo.Context) error {
	f, _ := a.Faults.Take(OperationCall, c.Request().URL.Path)
	switch f.Kind {
	case fault.RequestLost:
		panic(http.ErrAbortHandler)
	case fault.Down:
		return c.JSON(http.StatusInternalServerError, errorBody{"out of order"})
	case fault.RefuseFull:
		return refuse(c, "full")
	case fault.RefuseDraining:
		return refuse(c, "draining")
	default:
	}
	return a.run(c, f)
}

// Answer is the body of each answer. It depends on the request alone, but for
// the run, which is 1 unless the request was run before.
type Answer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query,omitempty"`
	Body   string `json:"body-sha256"`
	Length int    `json:"body-length"`
	Run    int    `json:"run"`
}

// maxBody bounds the body of a call, in bytes.
const maxBody = 64 << 20

func (a *Application) run(c echo.Context, f fault.Fault) error {
	request := c.Request()
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBody))
	if err != nil {
		return err
	}
	if !a.start() {
		return refuse(c, a.refusal())
	}
	n := a.work(c, f)
	if f.Kind == fault.ReplyLost {
		panic(http.ErrAbortHandler)
	}
	sum := sha256.Sum256(body)
	return c.JSON(http.StatusOK, Answer{
		Method: request.Method, Path: request.URL.Path, Query: request.URL.RawQuery,
		Body: hex.EncodeToString(sum[:]), Length: len(body), Run: n,
	})
}

// start queues a call, and returns false when it is refused.
func (a *Application) start() bool {
	taken := false
	a.change(func() {
		full := a.options.MaxQueued > 0 && a.queued >= a.options.MaxQueued
		taken = !a.draining && !full
		if taken {
			a.queued++
		}
	})
	return taken
}

func (a *Application) refusal() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return "draining"
	}
	return "full"
}

// work waits for a slot, counts the run and returns its number once it is
// done, also when the caller has gone by then, of which a service knows nothing.
func (a *Application) work(c echo.Context, f fault.Fault) int {
	a.slots <- struct{}{}
	defer func() { <-a.slots }()
	key := c.Request().Header.Get(headerIdempotencyKey)
	if key == "" {
		key = c.Request().Header.Get(headerRequestID)
	}
	n := 0
	a.change(func() {
		a.queued--
		a.running++
		a.runs[key]++
		n = a.runs[key]
	})
	duration := a.options.ServiceTime
	if f.Kind == fault.Slow {
		duration += f.Delay()
	}
	_ = fault.Wait(context.WithoutCancel(c.Request().Context()), a.options.Clock, duration)
	a.change(func() { a.running-- })
	return n
}
