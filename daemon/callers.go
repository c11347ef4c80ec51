package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"nutmeglock.example/nutmeglock/budget"
	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/router"
	"nutmeglock.example/nutmeglock/settings"
)

const (
	// readHeaderTimeout limits the time to read a request header. Without it,
	// connections that send nothing would exhaust the router.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout exceeds the usual 60 s of load balancers, so that the balancer
	// closes idle connections first and never sends on a closed one.
	idleTimeout = 90 * time.Second
	// headerLimitFactor sets the limit of net/http above the router's own, so
	// that the router refuses most oversized headers itself, with a reason.
	headerLimitFactor = 4
	// unreadTimeout is how long a caller may read nothing of its answer.
	unreadTimeout = 15 * time.Second
	// checkInterval is the time between two checks of callers' connections.
	checkInterval = time.Second
	// administrationConnections and administrationBytes limit what operators' connections take.
	administrationConnections = 64
	administrationBytes       = 32 << 20
)

// callersExtension serves the HTTP API for callers.
type callersExtension struct{}

func (callersExtension) Priority() Priority { return PriorityCallers }

func (callersExtension) Extend(p *Parts) error {
	handler := router.New(router.Options{
		Notes: p.Notes, Runner: p.Runner, Observers: p.Runner.Observers,
		Estimator: estimator{p.Estimator}, Timer: p.Timer, Metrics: p.Metrics, Log: p.Log,
		Limits: router.Limits{
			MaxBodyBytes:    settings.MaxBodyBytes(p.Settings),
			MaxHeaderBytes:  settings.MaxHeaderBytes(p.Settings),
			BodyTimeout:     settings.BodyTimeout(p.Settings),
			DefaultDeadline: settings.DefaultDeadline(p.Settings),
			MaxDeadline:     settings.MaxDeadline(p.Settings),
		},
	})
	p.CallerHandler = handler
	server := newServer(p, handler)
	callers := &caller.Monitor{}
	callers.SetUp(settings.MaxHeldBytes(p.Settings), settings.MaxConnections(p.Settings), p.Metrics, p.Log)
	serve := serverActor(server, &caller.Listener{Listener: p.Listeners.Callers, Pool: &callers.Pool})
	p.AddActor("callers", func(ctx context.Context) error {
		checks := p.Timer.Every(checkInterval, func(now time.Time) {
			callers.Check(now, budget.Timeouts{Head: readHeaderTimeout, Sending: unreadTimeout})
		})
		defer checks.Cancel()
		return serve(ctx)
	})
	p.OnStop(0, "notify the load balancer", func(ctx context.Context) {
		p.Stopping.Store(true)
		p.sleep(ctx, settings.StopNotice(p.Settings))
	})
	p.OnStop(PriorityCallers, "finish requests", func(ctx context.Context) {
		finishRequests(ctx, p, handler, server)
	})
	return nil
}

func newServer(p *Parts, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ConnState:         caller.ConnState,
		ConnContext:       caller.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimitFactor * settings.MaxHeaderBytes(p.Settings),
		ErrorLog:          slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug),
	}
}

// serverActor returns an actor that runs the server until ctx ends. Shutdown
// makes Serve return while requests are still in flight; the actor then waits
// for ctx, because its return would end the router.
func serverActor(server *http.Server, listener net.Listener) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		unregister := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer unregister()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ctx.Done()
		return nil
	}
}

// finishRequests waits for the requests in flight, at most as long as the
// stop-grace-ms setting allows.
func finishRequests(ctx context.Context, p *Parts, handler *router.Router, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, settings.StopGrace(p.Settings))
	defer cancel()
	err := handler.Stop(ctx)
	if err == nil {
		err = server.Shutdown(ctx)
	}
	if err != nil {
		p.Log.Error("graceful shutdown timed out; requests in flight are aborted", "error", err)
	}
	p.Runner.Wait()
}

// sleep waits for d by the router's timer or until ctx ends.
func (p *Parts) sleep(ctx context.Context, d time.Duration) {
	elapsed := make(chan struct{})
	subscription := p.Timer.After(d, func(time.Time) { close(elapsed) })
	defer subscription.Cancel()
	select {
	case <-elapsed:
	case <-ctx.Done():
	}
}
