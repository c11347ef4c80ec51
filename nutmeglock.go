// Package nutmeglock runs routers that share model and application capacity
// fairly among client accounts. It is the entry point for embedding a router in
// another program.
package nutmeglock

import (
	"context"
	"log/slog"

	"nutmeglock.example/nutmeglock/daemon"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/settings"
	"nutmeglock.example/nutmeglock/timer"
)

// Router is one router of a fleet.
type Router interface {
	// Run serves until ctx ends, then shuts down gracefully and returns nil.
	Run(ctx context.Context) error
	// Addresses returns the addresses that the router listens on.
	Addresses() daemon.Addresses
}

// Option customises a router.
type Option func(*daemon.Options)

// WithLog sets the logger. By default nothing is logged.
func WithLog(log *slog.Logger) Option { return func(o *daemon.Options) { o.Log = log } }

// WithTimer sets the clock. The default is the system clock.
func WithTimer(t timer.Service) Option { return func(o *daemon.Options) { o.Timer = t } }

// WithPlatform sets the platform. The default is an HTTP client for the URL in
// the settings.
func WithPlatform(p daemon.Platform) Option { return func(o *daemon.Options) { o.Platform = p } }

// WithExtensions adds extensions to the built-in extensions.
func WithExtensions(extensions ...daemon.Extension) Option {
	return func(o *daemon.Options) { o.Extensions = append(o.Extensions, extensions...) }
}

// ReadSettings parses and validates settings in JSON with comments. name is the
// file name for the faults of a *document.FaultsError.
func ReadSettings(name string, data []byte) (*schema.RouterSettings, error) {
	return settings.Parse(name, data)
}

// New returns a router that already listens. It fails if an address can't be
// opened or an extension returns an error.
func New(ctx context.Context, s *schema.RouterSettings, options ...Option) (Router, error) {
	o := daemon.Options{Settings: s}
	for _, option := range options {
		option(&o)
	}
	return daemon.New(ctx, o)
}
