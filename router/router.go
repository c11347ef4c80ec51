// Package router serves the HTTP API for callers. It authenticates and
// validates requests, and returns either the upstream's complete response or a
// typed refusal that states whether the request was run.
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

// Limits bounds the requests of a caller. The zero value allows nothing.
type Limits struct {
	// MaxBodyBytes limits the size of the body, and MaxHeaderBytes that of the
	// header as headerSize computes it.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// BodyTimeout limits the time to read a body.
	BodyTimeout time.Duration
	// DefaultDeadline applies to requests without a timeout header, and
	// MaxDeadline limits the values of that header.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Runner runs validated requests.
type Runner interface {
	// Run writes the response to w. It returns nil after a complete response,
	// *refusal.Error if nothing was written, and *call.BrokenError if the
	// response was cut off. ctx is cancelled when the caller disconnects.
	Run(ctx context.Context, w http.ResponseWriter, request call.Request) error
	// Resume writes the rest of a stream to w. It returns the same errors as Run.
	Resume(ctx context.Context, w http.ResponseWriter, request call.ResumeRequest) error
}

// Options holds the dependencies of a Router. All except Observers are required.
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

// Router serves the HTTP API for callers.
type Router struct {
	Options
	handler http.Handler
	active  activeRequests
}

// New returns a Router. It refuses requests as not-ready until its note source
// has a version.
func New(options Options) *Router {
	r := &Router{Options: options}
	r.handler = r.routes()
	return r
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.handler.ServeHTTP(w, req) }

func (r *Router) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = r.handleError
	e.Use(r.assignRequestID, r.countRequests, r.precheck)
	e.POST("/v1/chat/completions", r.handleChat)
	e.GET("/v1/streams/:token", r.handleResume)
	e.Any("/v1/services/:service", r.handlePlainCall)
	e.Any("/v1/services/:service/*", r.handlePlainCall)
	return e
}

// precheck refuses requests while the router is stopping or has no release
// note, and requests with too large a header.
func (r *Router) precheck(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !r.active.begin() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
			return refusal.New(refusal.Stopping, "this router is shutting down; come back through the balancer", stoppingRetryAfter)
		}
		defer r.active.end()
		if r.Notes.Current() == nil {
			return refusal.New(refusal.NotReady, "this router holds no release note yet", notReadyRetryAfter)
		}
		if size := headerSize(c.Request().Header); size > r.Limits.MaxHeaderBytes {
			return refusal.New(refusal.HeaderTooLarge, "the request header is longer than this router allows", 0)
		}
		return next(c)
	}
}

const (
	// stoppingRetryAfter is short, because the load balancer routes the retry to
	// another router.
	stoppingRetryAfter = time.Second
	// notReadyRetryAfter is about the time a router needs to read the current
	// release note from the table or a peer.
	notReadyRetryAfter = 2 * time.Second
)

// headerSize returns the size of the header in HTTP/1.1 encoding, in bytes.
func headerSize(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}
