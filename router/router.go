// Package router is the callers' side of a router: it tells who calls, checks
// what is asked, and gives each caller either an upstream's whole answer or a
// typed refusal that says whether the request was run.
package router

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/timer"
)

// Limits bound what one caller may send. The zero value allows nothing.
type Limits struct {
	// BodyBytes and HeaderBytes bound a request; names and values count.
	BodyBytes   int64
	HeaderBytes int
	// BodyTimeout is how long a caller may take to send its body.
	BodyTimeout time.Duration
	// DefaultDeadline holds for a caller that names none, and MaxDeadline
	// bounds what it may name.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Runner runs accepted requests.
type Runner interface {
	// Run writes the answer to w. It returns nil when the answer is out whole,
	// *refusal.Error when nothing was written, and *call.BrokenError when the
	// answer broke off. ctx ends when the caller is gone.
	Run(ctx context.Context, w http.ResponseWriter, request call.Request) error
	// Resume writes the rest of a stream to w. It fails as Run does.
	Resume(ctx context.Context, w http.ResponseWriter, resumption call.Resumption) error
}

// Options are the parts that a Router is made of. All but the observers are required.
type Options struct {
	Notes     note.Source
	Runner    Runner
	Observers call.Observers
	Estimator Estimator
	Limits    Limits
	Metrics   *metric.Set
	Timer     timer.Service
	Log       *slog.Logger
}

// Router serves callers over HTTP.
type Router struct {
	Options
	handler http.Handler
	held    held
}

// New returns a Router that is ready to serve as soon as its note source
// holds a version.
func New(options Options) *Router {
	r := &Router{Options: options}
	r.handler = r.routes()
	return r
}

// ServeHTTP serves one caller's request.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.handler.ServeHTTP(w, req) }

func (r *Router) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = r.handleError
	e.Use(r.identify, r.count, r.admit)
	e.POST("/v1/chat/completions", r.chat)
	e.GET("/v1/streams/:token", r.resume)
	e.Any("/v1/services/:service", r.plain)
	e.Any("/v1/services/:service/*", r.plain)
	return e
}

// admit refuses what can be refused before anyone looks at the request itself.
func (r *Router) admit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !r.held.enter() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
			return refusal.New(refusal.Stopping, "this router is shutting down; come back through the balancer", stoppingRetry)
		}
		defer r.held.leave()
		if r.Notes.Current() == nil {
			return refusal.New(refusal.NotReady, "this router holds no release note yet", notReadyRetry)
		}
		if size := headerSize(c.Request().Header); size > r.Limits.HeaderBytes {
			return refusal.New(refusal.HeaderTooLarge, "the request header is longer than this router allows", 0)
		}
		return next(c)
	}
}

const (
	// stoppingRetry is short: the balancer leads the caller to another router.
	stoppingRetry = time.Second
	// notReadyRetry is about the time that a router needs to learn the release
	// note in force from the table or a peer.
	notReadyRetry = 2 * time.Second
)

func headerSize(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}
