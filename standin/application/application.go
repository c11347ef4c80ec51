// Package application is a stand-in for a plain service, such as work orders
// or bookings. It counts how often each request runs, so that a test can detect
// a request that ran twice.
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

// Options configures a service. The zero value is valid.
type Options struct {
	// Clock defaults to the system clock.
	Clock timer.Service
	// ServiceTime is how long one call runs.
	ServiceTime time.Duration
	// Slots is the maximum number of calls that run at once; zero means 64. Calls
	// beyond it are queued.
	Slots int
	// MaxQueued is the maximum number of queued calls; zero means unlimited. Calls
	// beyond it are refused as full.
	MaxQueued int
	// ReportLag is the delay after which a load report becomes visible.
	ReportLag time.Duration
}

const defaultSlots = 64

// OperationCall is the operation into which faults can be injected. Its key is the path.
const OperationCall = "call"

// The headers exchanged between a router and a service.
const (
	headerRequestID      = "nutmeglock-request-id"
	headerRefused        = "nutmeglock-refused"
	headerIdempotencyKey = "Idempotency-Key"
)

// Application is an http.Handler. Create it with New. It is safe for concurrent use.
type Application struct {
	// Faults are the active faults. Supported kinds: down, slow, request-lost,
	// reply-lost, refuse-full and refuse-draining.
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

// Load is a load report.
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
	a.load.Delay = options.ReportLag
	a.update(func() {})
	a.routes = a.newRoutes()
	return a
}

// ServeHTTP serves routers and the control requests of tests.
func (a *Application) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.routes.ServeHTTP(w, r) }

// Drain makes the service refuse new calls and finish the queued and running ones.
func (a *Application) Drain() { a.update(func() { a.draining = true }) }

// Runs returns the number of times that each call ran, by idempotency key, or
// by request id for a call without a key.
func (a *Application) Runs() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	runs := make(map[string]int, len(a.runs))
	for key, n := range a.runs {
		runs[key] = n
	}
	return runs
}

// InFlight returns the number of queued and running calls.
func (a *Application) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queued + a.running
}

// update runs fn under the lock and records a new load report.
func (a *Application) update(fn func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fn()
	a.load.Set(a.options.Clock.Now(), Load{Running: a.running, Queued: a.queued, Draining: a.draining})
}

func (a *Application) newRoutes() *echo.Echo {
	routes := echo.New()
	routes.GET("/load", a.handleLoad)
	routes.GET("/runs", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]map[string]int{"runs": a.Runs()})
	})
	routes.POST("/drain", func(c echo.Context) error {
		a.Drain()
		return c.NoContent(http.StatusNoContent)
	})
	routes.PUT("/faults", a.handleFaults)
	routes.Any("/*", a.handleCall)
	return routes
}

func (a *Application) handleLoad(c echo.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock.Now()
	load, at := a.load.Get(now)
	load.AtUnixMs = lag.AsOf(now, at, a.options.ReportLag).UnixMilli()
	return c.JSON(http.StatusOK, load)
}

func (a *Application) handleFaults(c echo.Context) error {
	var request fault.SetRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	a.Faults.Set(request.Faults...)
	return c.NoContent(http.StatusNoContent)
}

type errorBody struct {
	Error string `json:"error"`
}

func refuse(c echo.Context, reason string) error {
	c.Response().Header().Set(headerRefused, reason)
	return c.JSON(http.StatusServiceUnavailable, errorBody{reason})
}

// handleCall applies the active fault, if any, and runs the request.
func (a *Application) handleCall(c echo.Context) error {
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
	return a.serveCall(c, f)
}

// Answer is the body of each response. It depends only on the request, except
// for RunNumber, which is 1 unless the request ran before.
type Answer struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Query      string `json:"query,omitempty"`
	BodySHA256 string `json:"body-sha256"`
	BodyLength int    `json:"body-length"`
	RunNumber  int    `json:"run"`
}

// maxBodyBytes is the size at which the body of a call is truncated.
const maxBodyBytes = 64 << 20

func (a *Application) serveCall(c echo.Context, f fault.Fault) error {
	request := c.Request()
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	if !a.enqueue() {
		return refuse(c, a.refusalReason())
	}
	n := a.execute(c, f)
	if f.Kind == fault.ReplyLost {
		panic(http.ErrAbortHandler)
	}
	sum := sha256.Sum256(body)
	return c.JSON(http.StatusOK, Answer{
		Method: request.Method, Path: request.URL.Path, Query: request.URL.RawQuery,
		BodySHA256: hex.EncodeToString(sum[:]), BodyLength: len(body), RunNumber: n,
	})
}

// enqueue queues a call and reports whether it was accepted.
func (a *Application) enqueue() bool {
	accepted := false
	a.update(func() {
		full := a.options.MaxQueued > 0 && a.queued >= a.options.MaxQueued
		accepted = !a.draining && !full
		if accepted {
			a.queued++
		}
	})
	return accepted
}

func (a *Application) refusalReason() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return "draining"
	}
	return "full"
}

// execute waits for a slot, runs the call and returns the number of its run. It
// continues after the caller has disconnected, which a service does not notice.
func (a *Application) execute(c echo.Context, f fault.Fault) int {
	a.slots <- struct{}{}
	defer func() { <-a.slots }()
	key := c.Request().Header.Get(headerIdempotencyKey)
	if key == "" {
		key = c.Request().Header.Get(headerRequestID)
	}
	n := 0
	a.update(func() {
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
	a.update(func() { a.running-- })
	return n
}
