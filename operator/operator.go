// Package operator provides the HTTP administration API of a router, and the
// client that the operators' commands use.
package operator

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
)

// State provides the state of the router that the administration API reports.
type State interface {
	// Ready returns why the router does not accept requests, or "" when it does.
	Ready() (reason string)
	// Router returns the state of this router.
	Router() *schema.RouterState
	// Routers returns the fleet as this router sees it, itself included.
	Routers() []*schema.RouterState
	// Accounts returns the load of accounts at this router. Accounts without load
	// may be omitted.
	Accounts() map[fleet.AccountID]*schema.AccountLoad
	// Upstreams returns the load of the upstreams that this router knows.
	Upstreams() map[fleet.UpstreamID]*schema.UpstreamLoad
}

// Options are the dependencies of the API. All but the last three are required.
type Options struct {
	Keys      []*schema.OperatorKey
	Store     *note.Store
	Publisher *note.Publisher
	Replica   *note.Replica
	State     State
	// Metrics serves /metrics.
	Metrics http.Handler
	// Registry receives the counter of errors by reason.
	Registry prometheus.Registerer
	// Log is the default logger when nil.
	Log *slog.Logger
}

const (
	// PublishIDHeader identifies one publish over all its retries.
	PublishIDHeader = "nutmeglock-publish-id"
	// BasedOnHeader is the base version of a note that names none itself: the
	// current version when the operator's command began.
	BasedOnHeader = "nutmeglock-based-on"
)

const (
	// publishTimeout bounds a publish. The waits between its attempts add up to
	// 3.5 s.
	publishTimeout = 10 * time.Second
	// bodyTimeout bounds the time for an operator's command to send a note of up
	// to 8 MB.
	bodyTimeout = 30 * time.Second
)

type api struct {
	Options
	keys           keyring
	errorsByReason *prometheus.CounterVec
}

// New returns the HTTP handler of the administration API.
func New(options Options) http.Handler {
	a := &api{Options: options, keys: newKeyring(options.Keys), errorsByReason: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "nutmeglock", Name: "operator_errors_total", Help: "Answers of the administration API that were no success, by reason.",
	}, []string{"reason"})}
	if a.Log == nil {
		a.Log = slog.Default()
	}
	for _, reason := range Reasons() {
		a.errorsByReason.WithLabelValues(string(reason))
	}
	if options.Registry != nil {
		options.Registry.MustRegister(a.errorsByReason)
	}
	e := echo.New()
	e.HTTPErrorHandler = a.handleError
	e.GET("/healthz", a.health)
	e.GET("/readyz", a.ready)
	if options.Metrics != nil {
		e.GET("/metrics", echo.WrapHandler(options.Metrics))
	}
	a.route(e.Group("/v1"))
	return e
}

func (a *api) route(v1 *echo.Group) {
	v1.POST("/notes", a.publish, a.authenticate)
	v1.POST("/notes/check", a.check, a.authenticate)
	v1.GET("/notes", a.history, a.authenticate)
	v1.GET("/notes/:version", a.record, a.authenticate)
	v1.GET("/accounts", a.accounts, a.authenticate)
	v1.GET("/services", a.services, a.authenticate)
	v1.GET("/upstreams", a.upstreams, a.authenticate)
	v1.GET("/routers", a.routers, a.authenticate)
	v1.GET("/state", a.state, a.authenticate)
}

func (a *api) health(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

func (a *api) ready(c echo.Context) error {
	if reason := a.State.Ready(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
