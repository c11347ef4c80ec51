package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/operator"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/timer"
)

// Priority orders extensions: a lower one is extended, and stopped, first.
type Priority int

// The priorities of the built-in extensions. They leave room between them.
const (
	PriorityPlatform       Priority = 100
	PriorityPeers          Priority = 200
	PriorityNotes          Priority = 300
	PrioritySharing        Priority = 400
	PriorityCalls          Priority = 500
	PriorityTrace          Priority = 550
	PriorityCallers        Priority = 600
	PriorityAdministration Priority = 700
)

// Extension adds a feature to a router. The built-in features are extensions
// too and use nothing else.
type Extension interface {
	// Priority places the extension among the others.
	Priority() Priority
	// Extend sets or replaces parts, and registers actors and stops.
	Extend(parts *Parts) error
}

// Parts is what extensions share. Those of a lower priority have set theirs
// when an extension is called.
type Parts struct {
	Settings    *schema.RouterSettings
	Timer       timer.Service
	Log         *slog.Logger
	Registry    *prometheus.Registry
	Metrics     *metric.Set
	Self        fleet.RouterID
	Incarnation fleet.Incarnation
	Listeners   Listeners

	Platform  Platform
	Peers     *peer.Peers
	Notes     *note.Holder
	NoteStore *note.Store
	// Source hands out slots. Another way to share capacity replaces it.
	Source    dispatch.Source
	Estimates *estimate.Estimator
	// Runner runs requests. Observers that see the refusals of Callers too are
	// added to it before that is extended.
	Runner *call.Runner
	// State is what the administration API tells of this router.
	State operator.State
	// Callers serves callers.
	Callers http.Handler
	// Stopping is true from the beginning of the graceful shutdown.
	Stopping atomic.Bool

	actors []actor
	stops  []stop
}

// Listeners are the open addresses of a router.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

type actor struct {
	name string
	run  func(ctx context.Context) error
}

type stop struct {
	priority Priority
	name     string
	fn       func(ctx context.Context)
}

// Actor adds a part that runs until ctx ends. When one ends earlier, the
// router ends: half a router would take requests that it can't serve.
func (p *Parts) Actor(name string, run func(ctx context.Context) error) {
	p.actors = append(p.actors, actor{name, run})
}

// OnStop adds a step of the graceful shutdown. Steps are taken one after the
// other, of a lower priority first, while all actors still run.
func (p *Parts) OnStop(priority Priority, name string, fn func(ctx context.Context)) {
	p.stops = append(p.stops, stop{priority, name, fn})
}

func (p *Parts) extend(extensions []Extension) error {
	slices.SortStableFunc(extensions, func(a, b Extension) int { return int(a.Priority()) - int(b.Priority()) })
	for _, extension := range extensions {
		if err := extension.Extend(p); err != nil {
			return err
		}
	}
	return nil
}

func (p *Parts) listen(ctx context.Context) error {
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{
		{p.Settings.GetCallerAddress(), &p.Listeners.Callers},
		{p.Settings.GetPeerAddress(), &p.Listeners.Peers},
		{p.Settings.GetAdminAddress(), &p.Listeners.Admin},
	} {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", l.address)
		if err != nil {
			p.closeListeners()
			return eris.Wrapf(err, "listening on %s", l.address)
		}
		*l.to = listener
	}
	return nil
}

func (p *Parts) closeListeners() {
	for _, listener := range []net.Listener{p.Listeners.Callers, p.Listeners.Peers, p.Listeners.Admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
