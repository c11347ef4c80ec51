// Package operator is the administration API of a router over HTTP, and the
// client of it that the operators' commands use.
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

// State is what the administration API tells of the router that it runs in.
type State interface {
	// Ready returns why the router takes no requests, or nothing when it does.
	Ready() (reason string)
	// Router returns the state of this router.
	Router() *schema.RouterState
	// Routers returns the fleet as this router sees it, itself included.
	Routers() []*schema.RouterState
	// Accounts returns the work of accounts at this router. An account without
	// any may be left out.
	Accounts() map[fleet.AccountID]*schema.AccountLoad
	// Upstreams returns what this router knows of upstreams.
	Upstreams() map[fleet.UpstreamID]*schema.UpstreamLoad
}

// Options are the parts that the API works with. All but the last three are needed.
type Options struct {
	Keys      []*schema.OperatorKey
	Store     *note.Store
	Publisher *note.Publisher
	Holder    *note.Holder
	State     State
	// Metrics answers /metrics.
	Metrics http.Handler
	// Registry takes the counter of answers by reason.
	Registry prometheus.Registerer
	// Log is the default logger when nil.
	Log *slog.Logger
}

const (
	// PublishIDHeader names one wish to publish over all its repeats.
	PublishIDHeader = "nutmeglock-publish-id"
	// BasedOnHeader is the version that a note is compared with when it names
	// none itself: the one in force when the operator's command began.
	BasedOnHeader = "nutmeglock-based-on"
)

const (
	// publishTimeout bounds a publish. The tries of one wait 3.5 s between them at most.
	publishTimeout = 10 * time.Second
	// bodyTimeout bounds the time that an operator's command takes to send a note of up to 8 MB.
	bodyTimeout = 30 * time.Second
)

type api struct {
	Options
	keys    keyring
	answers *prometheus.CounterVec
}

// New returns the handler of the administration address.
func New(options Options) http.Handler {
	a := &api{Options: options, keys: newKeyring(options.Keys), answers: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "nutmeglock", Name: "operator_errors_total", Help: "Answers of the administration API that were no success, by reason.",
	}, []string{"reason"})}
	if a.Log == nil {
		a.Log = slog.Default()
	}
	for _, reason := range Reasons() {
		a.answers.WithLabelValues(string(reason))
	}
	if options.Registry != nil {
		options.Registry.MustRegister(a.answers)
	}
	e := echo.New()
	e.HTTPErrorHandler = a.fail
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
