// Package nutmeglock is a fleet of routers that lets client accounts share
// model and application capacity fairly. This package is the façade: New
// returns one router from its settings.
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
	// Addresses returns where the router listens.
	Addresses() daemon.Addresses
}

// Option changes what a router is made of.
type Option func(*daemon.Options)

// WithLog makes a router write its log to log. Without it there is none.
func WithLog(log *slog.Logger) Option { return func(o *daemon.Options) { o.Log = log } }

// WithTimer makes a router tell the time by t.
func WithTimer(t timer.Service) Option { return func(o *daemon.Options) { o.Timer = t } }

// WithPlatform makes a router use p in place of the platform at the settings' URL.
func WithPlatform(p daemon.Platform) Option { return func(o *daemon.Options) { o.Platform = p } }

// WithExtensions adds extensions to the built-in ones.
func WithExtensions(extensions ...daemon.Extension) Option {
	return func(o *daemon.Options) { o.Extensions = append(o.Extensions, extensions...) }
}

// ReadSettings returns the checked settings in data, a JSON document with
// comments. name is its file's, for the faults of a *document.FaultsError.
func ReadSettings(name string, data []byte) (*schema.RouterSettings, error) {
	return settings.Read(name, data)
}

// New returns a router whose addresses are open. It fails when one can't be opened.
func New(ctx context.Context, s *schema.RouterSettings, options ...Option) (Router, error) {
	o := daemon.Options{Settings: s}
	for _, option := range options {
		option(&o)
	}
	return daemon.New(ctx, o)
}
