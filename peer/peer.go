// Package peer carries control messages between the routers of a fleet over
// TCP: one connection for each pair, both sides proved to hold the fleet key,
// with binary batches for the frequent messages and JSON-RPC 2.0 for the rest.
//
// It answers the faults of routers that are slow, frozen or cut off. Each
// connection has its own bounded queue and its own goroutines, so that one
// router that reads nothing holds up no other and never the sender: when its
// queue is full or its answers stop, the connection is closed and the router
// counts as lost. A router that was itself paused drops what waited for it to
// be read, since the others gave it up meanwhile.
//
// The proof is made once for each connection. Frames after it are neither
// signed nor encrypted: the fleet's network is taken to be its own.
package peer

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/timer"
)

// Options configure a Peers.
type Options struct {
	Self        fleet.RouterID
	DataCenter  fleet.DataCenterID
	Incarnation fleet.Incarnation
	// Address is where other routers reach this one.
	Address string
	// Key is the secret of the fleet.
	Key []byte
	// Listener accepts the other routers' connections; Run closes it.
	Listener net.Listener
	// Seeds are addresses to try besides those that Target names.
	Seeds   []string
	Timer   timer.Service
	Metrics *metric.Set
	Logger  *slog.Logger
	// Guard contains panics; nil lets them pass.
	Guard *recovery.Guard
	// Heartbeat is the least time between two heartbeats, zero means 1 s. A
	// router that is not heard for three times as long is lost.
	Heartbeat time.Duration
	// MaxBackoff bounds the time between two attempts at an address that doesn't
	// answer; zero means 5 s.
	MaxBackoff time.Duration
}

// Handler answers one method of JSON-RPC.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Change says that a connection to another router came or went.
type Change struct {
	Router      fleet.RouterID
	DataCenter  fleet.DataCenterID
	Address     string
	Incarnation fleet.Incarnation
	Connected   bool
}

// Peers holds the connections to the other routers. It is safe for concurrent use.
type Peers struct {
	options Options

	mu       sync.Mutex
	links    map[fleet.RouterID]*link
	latest   map[fleet.RouterID]fleet.Incarnation
	targets  map[fleet.RouterID]string
	dialers  map[string]*dialer
	handlers map[string]Handler
	onBatch  []func(from fleet.RouterID, batch *schema.Batch)
	onChange []func(change Change)
	closed   bool
	faults   faults
	group    sync.WaitGroup

	// changes keeps the calls of onChange in the order of the changes.
	changes sync.Mutex
}

// New returns a Peers that connects once it is run.
func New(options Options) *Peers {
	if options.Timer == nil {
		options.Timer = timer.System{}
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Heartbeat <= 0 {
		options.Heartbeat = leastHeartbeat
	}
	if options.MaxBackoff <= 0 {
		options.MaxBackoff = mostBackoff
	}
	return &Peers{
		options:  options,
		links:    make(map[fleet.RouterID]*link),
		latest:   make(map[fleet.RouterID]fleet.Incarnation),
		dialers:  make(map[string]*dialer),
		handlers: make(map[string]Handler),
	}
}

// Handle answers calls of a method. It must be called before Run.
func (p *Peers) Handle(method string, fn func(ctx context.Context, params json.RawMessage) (any, error)) {
	p.handlers[method] = fn
}

// OnBatch calls fn with each batch that arrives, one after the other for each
// router. It must be called before Run.
func (p *Peers) OnBatch(fn func(from fleet.RouterID, batch *schema.Batch)) {
	p.onBatch = append(p.onBatch, fn)
}

// OnChange calls fn when a connection comes, before its first batch, and when
// it goes, after its last. It must be called before Run.
func (p *Peers) OnChange(fn func(change Change)) { p.onChange = append(p.onChange, fn) }

// Routers returns the other routers that are connected, in order.
func (p *Peers) Routers() []fleet.RouterID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.links))
}

// NotConnectedError is the error of a call to a router without a connection.
// Nothing was sent.
type NotConnectedError struct{ Router fleet.RouterID }

// Error names the router.
func (e *NotConnectedError) Error() string { return "router " + string(e.Router) + " is not connected" }

// Call calls a method of another router and waits for its result. It fails
// with *NotConnectedError when nothing was sent.
func (p *Peers) Call(ctx context.Context, to fleet.RouterID, method string, params, result any) error {
	p.mu.Lock()
	l := p.links[to]
	p.mu.Unlock()
	if l == nil {
		return &NotConnectedError{Router: to}
	}
	return eris.Wrapf(l.rpc.Call(ctx, method, params, result), "call %s at %s", method, to)
}

// Send hands a batch to a router and returns at once. It is dropped when the
// router is not connected, and the connection is closed when its queue is full.
func (p *Peers) Send(to fleet.RouterID, batch *schema.Batch) {
	p.mu.Lock()
	l := p.links[to]
	p.mu.Unlock()
	if l == nil {
		return
	}
	data, err := proto.Marshal(batch)
	if err != nil {
		p.options.Logger.Error("batch could not be encoded", "error", err)
		return
	}
	l.enqueue(frame{batchFrame, data})
}

// Run keeps the connections until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.group.Go(func() { p.options.Guard.RunControl(func() { p.accept(ctx) }) })
	p.group.Go(func() { p.options.Guard.RunControl(func() { p.dial(ctx) }) })
	<-ctx.Done()
	p.close()
	p.group.Wait()
	return context.Cause(ctx)
}

func (p *Peers) close() {
	p.mu.Lock()
	p.closed = true
	links := slices.Collect(maps.Values(p.links))
	p.mu.Unlock()
	if p.options.Listener != nil {
		_ = p.options.Listener.Close()
	}
	for _, l := range links {
		l.close()
	}
}

// heartbeat returns the time between two heartbeats now.
func (p *Peers) heartbeat() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.options.Heartbeat, time.Duration(len(p.links))*heartbeatPerLink)
}

// add makes a connection the one to its router, or refuses it.
//
// When both routers dial at once there are two connections, and each side
// must keep the same one: that which the router with the lesser id dialled.
// A newer connection in the same direction replaces the older, which its
// dialler has given up. An older life of a router is never let in.
func (p *Peers) add(l *link) bool {
	p.changes.Lock()
	defer p.changes.Unlock()
	id := fleet.RouterID(l.hello.GetRouter())
	life := fleet.Incarnation(l.hello.GetIncarnation())
	p.mu.Lock()
	before := p.links[id]
	if p.closed || !p.mayReplace(before, l) {
		p.mu.Unlock()
		return false
	}
	p.latest[id] = life
	p.links[id] = l
	p.mu.Unlock()
	if before != nil {
		before.close()
		p.notify(Change{Router: id})
	}
	p.notify(Change{
		Router: id, DataCenter: fleet.DataCenterID(l.hello.GetDataCenter()), Address: l.hello.GetAddress(),
		Incarnation: life, Connected: true,
	})
	return true
}

// mayReplace reports whether a new connection to a router stands, and counts
// why not. The lock must be held.
func (p *Peers) mayReplace(before, l *link) bool {
	switch {
	case l.life() < p.latest[fleet.RouterID(l.hello.GetRouter())]:
		p.faults.rejected.Add(1)
		return false
	case before != nil && before.life() == l.life() && before.preferred() && !l.preferred():
		p.faults.duplicate.Add(1)
		return false
	}
	return true
}

// remove takes note that a connection ended.
func (p *Peers) remove(l *link) {
	p.changes.Lock()
	defer p.changes.Unlock()
	id := fleet.RouterID(l.hello.GetRouter())
	p.mu.Lock()
	current := p.links[id] == l
	if current {
		delete(p.links, id)
	}
	p.mu.Unlock()
	if current {
		p.notify(Change{Router: id})
	}
}

func (p *Peers) notify(change Change) {
	for _, fn := range p.onChange {
		fn(change)
	}
}

func (p *Peers) count(direction string, size int) {
	if p.options.Metrics != nil {
		p.options.Metrics.Control(direction, metric.Peer, size)
	}
}
