// Package daemon assembles a router from its parts and runs it until its
// graceful shutdown is complete.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/timer"
)

// Options configures a Daemon.
type Options struct {
	// Settings must have been validated, as settings.Parse does.
	Settings *schema.RouterSettings
	// Timer defaults to the system clock.
	Timer timer.Service
	// Log defaults to a logger that discards everything.
	Log *slog.Logger
	// Platform defaults to an HTTP client for the URL in the settings.
	Platform Platform
	// Extensions are added to the built-in extensions.
	Extensions []Extension
}

// Platform provides the table service, the object store and the VM list.
type Platform interface {
	store.Table
	store.ObjectStore
	store.VMLister
}

// Daemon runs one router.
type Daemon struct {
	parts *Parts
}

// New returns a Daemon that already listens: connections are accepted by the
// kernel, but requests are served only once Run is called. It fails if an
// address can't be opened or an extension returns an error.
func New(ctx context.Context, options Options) (*Daemon, error) {
	if options.Timer == nil {
		options.Timer = timer.System{}
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	registry := prometheus.NewRegistry()
	parts := &Parts{
		Settings:    options.Settings,
		Timer:       options.Timer,
		Log:         options.Log.With("router", options.Settings.GetId()),
		Registry:    registry,
		Metrics:     metric.New(registry),
		Self:        fleet.RouterID(options.Settings.GetId()),
		Incarnation: fleet.IncarnationAt(options.Timer.Now()),
		Platform:    options.Platform,
	}
	if err := parts.listen(ctx); err != nil {
		return nil, err
	}
	if err := parts.applyExtensions(append(builtInExtensions(), options.Extensions...)); err != nil {
		parts.closeListeners()
		return nil, err
	}
	return &Daemon{parts: parts}, nil
}

// Addresses holds the addresses that a Daemon listens on. Peers is for other
// routers; Admin is for operators, metrics and health checks.
type Addresses struct {
	Callers net.Addr
	Peers   net.Addr
	Admin   net.Addr
}

// Addresses returns the addresses in use, with the actual port where the
// settings have port 0.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Callers: d.parts.Listeners.Callers.Addr(),
		Peers:   d.parts.Listeners.Peers.Addr(),
		Admin:   d.parts.Listeners.Admin.Addr(),
	}
}

// PartEndedError is returned by Run when a part of the router ended unexpectedly.
type PartEndedError struct {
	Part string
	// Cause is the error of the part. It is nil if the part returned none.
	Cause error
}

// Error implements error.
func (e *PartEndedError) Error() string {
	return fmt.Sprintf("part %s ended unexpectedly: %v", e.Part, e.Cause)
}

// Unwrap returns the cause.
func (e *PartEndedError) Unwrap() error { return e.Cause }

// Run serves until ctx ends, then shuts down gracefully and returns nil. It
// returns a *PartEndedError if a part ended unexpectedly; requests in flight
// are then aborted, because they can't finish without that part.
func (d *Daemon) Run(ctx context.Context) error {
	var group run.Group
	group.Add(d.shutdownActor(ctx))
	for _, actor := range d.parts.actors {
		group.Add(d.groupActor(actor))
	}
	err := group.Run()
	if eris.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends the group of actors after a completed shutdown.
var errStopped = eris.New("the router has stopped")

// shutdownActor returns an actor that waits for the end of ctx and then runs the
// stop steps. The other actors keep running meanwhile, because requests in
// flight need them. If another actor ends first, it skips the steps: they would
// wait for requests that can no longer finish.
func (d *Daemon) shutdownActor(ctx context.Context) (execute func() error, interrupt func(error)) {
	interrupted := make(chan struct{})
	execute = func() error {
		select {
		case <-ctx.Done():
			d.runStopSteps(context.WithoutCancel(ctx))
		case <-interrupted:
		}
		return errStopped
	}
	return execute, func(error) { close(interrupted) }
}

func (d *Daemon) runStopSteps(ctx context.Context) {
	slices.SortStableFunc(d.parts.stopSteps, func(a, b stopStep) int { return int(a.priority) - int(b.priority) })
	for _, step := range d.parts.stopSteps {
		d.parts.Log.Info("stopping", "part", step.name)
		step.run(ctx)
	}
}

// groupActor adapts an actor to run.Group. An actor that ends before it is
// interrupted returns a PartEndedError.
func (d *Daemon) groupActor(a actor) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute = func() error {
		err := a.run(ctx)
		if ctx.Err() == nil {
			return &PartEndedError{Part: a.name, Cause: err}
		}
		return ctx.Err()
	}
	return execute, func(error) { cancel() }
}
