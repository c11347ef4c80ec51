// Package daemon puts the parts of a router together and runs them until a
// graceful shutdown has ended.
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

// Options are what a Daemon is made of.
type Options struct {
	// Settings are those of a checked document.
	Settings *schema.RouterSettings
	// Timer is the machine's clock when nil.
	Timer timer.Service
	// Log discards when nil.
	Log *slog.Logger
	// Platform is reached over HTTP at the settings' address when nil.
	Platform Platform
	// Extensions are added to the built-in ones.
	Extensions []Extension
}

// Platform is all of what the platform gives.
type Platform interface {
	store.Table
	store.Objects
	store.VMs
}

// Daemon is one router with all its parts.
type Daemon struct {
	parts *Parts
}

// New returns a Daemon whose addresses are open, so that callers may connect
// and wait, but that serves nobody until it is run. It fails when an address
// can't be opened or an extension refuses.
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
	if err := parts.extend(append(builtIn(), options.Extensions...)); err != nil {
		parts.closeListeners()
		return nil, err
	}
	return &Daemon{parts: parts}, nil
}

// Addresses are where a Daemon listens: for callers, for other routers, and for
// operators, metrics and health checks.
type Addresses struct {
	Callers net.Addr
	Peers   net.Addr
	Admin   net.Addr
}

// Addresses returns where the daemon listens, with the ports that the machine chose.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Callers: d.parts.Listeners.Callers.Addr(),
		Peers:   d.parts.Listeners.Peers.Addr(),
		Admin:   d.parts.Listeners.Admin.Addr(),
	}
}

// EndedError is the error of a router of which a part ended by itself.
type EndedError struct {
	Part string
	// Cause is nil when the part gave none.
	Cause error
}

// Error names the part and the cause.
func (e *EndedError) Error() string {
	return fmt.Sprintf("part %s ended by itself: %v", e.Part, e.Cause)
}

// Unwrap returns the cause.
func (e *EndedError) Unwrap() error { return e.Cause }

// Run serves until ctx ends, then shuts down gracefully and returns nil. It
// returns an *EndedError when a part ended by itself; requests in flight are
// then cut off, because half a router can't finish them.
func (d *Daemon) Run(ctx context.Context) error {
	var group run.Group
	group.Add(d.untilStopped(ctx))
	for _, actor := range d.parts.actors {
		group.Add(d.act(actor))
	}
	err := group.Run()
	if eris.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends the group of actors once the shutdown is over.
var errStopped = eris.New("the router has stopped")

// untilStopped is the actor that waits for the end of ctx and then stops one
// part after the other, while the other actors go on: requests in flight need
// all of them. It takes none of the steps when another part ended by itself:
// nothing is left that they could wait for.
func (d *Daemon) untilStopped(ctx context.Context) (execute func() error, interrupt func(error)) {
	interrupted := make(chan struct{})
	execute = func() error {
		select {
		case <-ctx.Done():
			d.stop(context.WithoutCancel(ctx))
		case <-interrupted:
		}
		return errStopped
	}
	return execute, func(error) { close(interrupted) }
}

func (d *Daemon) stop(ctx context.Context) {
	slices.SortStableFunc(d.parts.stops, func(a, b stop) int { return int(a.priority) - int(b.priority) })
	for _, s := range d.parts.stops {
		d.parts.Log.Info("stopping", "part", s.name)
		s.fn(ctx)
	}
}

func (d *Daemon) act(a actor) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute = func() error {
		err := a.run(ctx)
		if ctx.Err() == nil {
			return &EndedError{Part: a.name, Cause: err}
		}
		return ctx.Err()
	}
	return execute, func(error) { cancel() }
}
