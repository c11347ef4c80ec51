package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"

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
	"nutmeglock.example/nutmeglock/socket"
	"nutmeglock.example/nutmeglock/timer"
)

// socketBuffer is the size in bytes of the buffers that the kernel keeps for a connection in each direction. It doubles
// them.
const socketBuffer = 32 << 10

// Priority orders extensions. Those with lower values are set up first, and
// stopped first.
type Priority int

// Priorities of the built-in extensions, with gaps for others in between.
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

// Extension adds a feature to a router. The built-in features are implemented
// as extensions too.
type Extension interface {
	// Priority determines when Extend is called.
	Priority() Priority
	// Extend sets or replaces parts, and adds actors and stop steps.
	Extend(parts *Parts) error
}

// Parts holds the components that extensions share. When Extend is called, the
// extensions with a lower priority have already set theirs.
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
	Notes     *note.Replica
	NoteStore *note.Store
	// SlotSource assigns slots at upstreams to requests. An extension can
	// replace it to share capacity by another policy.
	SlotSource dispatch.Source
	Estimator  *estimate.Estimator
	// Runner runs requests. Observers added to it get the refusals of
	// CallerHandler too if their extension has a priority below PriorityCallers.
	Runner *call.Runner
	// State provides the router's state to the administration API.
	State operator.State
	// CallerHandler serves the HTTP API for callers.
	CallerHandler http.Handler
	// Stopping is set when the graceful shutdown begins.
	Stopping atomic.Bool

	actors    []actor
	stopSteps []stopStep
}

// Listeners holds the open listeners of a router.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// actor is a part that runs until ctx ends.
type actor struct {
	name string
	run  func(ctx context.Context) error
}

// stopStep is a step of the graceful shutdown.
type stopStep struct {
	priority Priority
	name     string
	run      func(ctx context.Context)
}

// AddActor adds a part that runs until ctx ends. If it ends earlier, the whole
// router ends, because it would otherwise accept requests that it can't serve.
func (p *Parts) AddActor(name string, run func(ctx context.Context) error) {
	p.actors = append(p.actors, actor{name, run})
}

// OnStop adds a step of the graceful shutdown. Steps run one after the other, in
// ascending order of priority, while all actors still run.
func (p *Parts) OnStop(priority Priority, name string, fn func(ctx context.Context)) {
	p.stopSteps = append(p.stopSteps, stopStep{priority, name, fn})
}

func (p *Parts) applyExtensions(extensions []Extension) error {
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
		target  *net.Listener
	}{
		{p.Settings.GetCallerAddress(), &p.Listeners.Callers},
		{p.Settings.GetPeerAddress(), &p.Listeners.Peers},
		{p.Settings.GetAdminAddress(), &p.Listeners.Admin},
	} {
		config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
			return socket.SetBuffers(raw, socketBuffer, socketBuffer)
		}}
		listener, err := config.Listen(ctx, "tcp", l.address)
		if err != nil {
			p.closeListeners()
			return eris.Wrapf(err, "listening on %s", l.address)
		}
		*l.target = listener
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
