package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"nutmeglock.example/nutmeglock/router"
	"nutmeglock.example/nutmeglock/settings"
)

const (
	// headerTimeout bounds the time that a connection takes to send a header.
	// Without it, connections that send nothing would use up the router.
	headerTimeout = 10 * time.Second
	// idleTimeout is above the usual 60 s of a balancer, so that it is the
	// balancer that closes an idle connection and never sends on a closed one.
	idleTimeout = 90 * time.Second
	// headerSlack lets a header that is too long be refused by the router, with
	// a reason, and not by net/http.
	headerSlack = 4
)

// callersExtension serves callers.
type callersExtension struct{}

func (callersExtension) Priority() Priority { return PriorityCallers }

func (callersExtension) Extend(p *Parts) error {
	callers := router.New(router.Options{
		Notes: p.Notes, Runner: p.Runner, Observers: p.Runner.Observers,
		Estimator: estimator{p.Estimates}, Timer: p.Timer, Metrics: p.Metrics, Log: p.Log,
		Limits: router.Limits{
			BodyBytes:       settings.MaxBody(p.Settings),
			HeaderBytes:     settings.MaxHeader(p.Settings),
			BodyTimeout:     settings.BodyTimeout(p.Settings),
			DefaultDeadline: settings.DefaultDeadline(p.Settings),
			MaxDeadline:     settings.MaxDeadline(p.Settings),
		},
	})
	p.Callers = callers
	server := newServer(p, callers)
	p.Actor("callers", serve(server, p.Listeners.Callers))
	p.OnStop(0, "tell the balancer", func(ctx context.Context) {
		p.Stopping.Store(true)
		p.sleep(ctx, settings.StopNotice(p.Settings))
	})
	p.OnStop(PriorityCallers, "finish requests", func(ctx context.Context) {
		shutDown(ctx, p, callers, server)
	})
	return nil
}

func newServer(p *Parts, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerSlack * settings.MaxHeader(p.Settings),
		ErrorLog:          slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug),
	}
}

// serve returns an actor. Shutdown makes Serve return at once, while requests
// are still in flight; the actor goes on until its context ends, so that it
// does not end the router under them.
func serve(server *http.Server, listener net.Listener) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		end := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer end()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ctx.Done()
		return nil
	}
}

// shutDown waits until no request is in flight, at most as long as the
// settings allow.
func shutDown(ctx context.Context, p *Parts, callers *router.Router, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, settings.StopGrace(p.Settings))
	defer cancel()
	err := callers.Stop(ctx)
	if err == nil {
		err = server.Shutdown(ctx)
	}
	if err != nil {
		p.Log.Error("the graceful shutdown took too long; requests in flight are cut off", "error", err)
	}
	p.Runner.Wait()
}

func (p *Parts) sleep(ctx context.Context, d time.Duration) {
	over := make(chan struct{})
	subscription := p.Timer.After(d, func(time.Time) { close(over) })
	defer subscription.Cancel()
	select {
	case <-over:
	case <-ctx.Done():
	}
}
