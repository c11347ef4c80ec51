// Package peer exchanges control messages between the routers of a fleet over
// TCP. Each pair of routers shares one connection, on which both sides prove that
// they hold the fleet key. Frequent messages are sent as binary batches, all
// others as JSON-RPC 2.0 calls.
//
// The package handles routers that are slow, frozen or cut off. Each connection
// has its own bounded send queue and goroutines, so that a router that reads
// nothing blocks neither the sender nor the connections to other routers. When
// its queue is full or its heartbeats stop, the connection is closed and the
// router counts as lost. A router that was itself paused drops the messages that
// arrived during the pause, since the others count it as lost by then.
//
// The fleet key is verified once for each connection. Frames after the handshake
// are neither signed nor encrypted: the network between routers is assumed to be
// private to the fleet.
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
	// Address is the address at which other routers reach this one.
	Address string
	// Key is the fleet key, a secret shared by all routers.
	Key []byte
	// Listener accepts the other routers' connections; Run closes it.
	Listener net.Listener
	// Seeds are addresses to dial in addition to those set by SetTargets.
	Seeds   []string
	Timer   timer.Service
	Metrics *metric.Set
	Logger  *slog.Logger
	// Guard recovers panics; with nil they are not recovered.
	Guard *recovery.Guard
	// Heartbeat is the minimum heartbeat interval; zero means 1 s. A router from
	// which nothing arrives for three intervals counts as lost.
	Heartbeat time.Duration
	// MaxBackoff bounds the delay between attempts at an address that doesn't
	// answer; zero means 5 s.
	MaxBackoff time.Duration
	// MaxHandshakes is the number of accepted connections that may be open before their routers have proved that they hold
	// the key; zero means 128.
	MaxHandshakes int
}

// Handler handles calls of one JSON-RPC method.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Change reports that a connection to another router was opened or closed.
type Change struct {
	Router      fleet.RouterID
	DataCenter  fleet.DataCenterID
	Address     string
	Incarnation fleet.Incarnation
	Connected   bool
}

// Peers manages the connections to the other routers. It is safe for concurrent use.
type Peers struct {
	options Options

	mu           sync.Mutex
	links        map[fleet.RouterID]*link
	incarnations map[fleet.RouterID]fleet.Incarnation
	targets      map[fleet.RouterID]string
	dialStates   map[string]*dialState
	handlers     map[string]Handler
	onBatch      []func(from fleet.RouterID, batch *schema.Batch)
	onChange     []func(change Change)
	closed       bool
	counters     faultCounters
	group        sync.WaitGroup
	pending      pendingHandshakes
	// failureLoggedAt is when a failed handshake was last logged, and unloggedFailures how many failed since then.
	failureLoggedAt  time.Time
	unloggedFailures int

	// changeMu makes the onChange calls run in the order of the changes.
	changeMu sync.Mutex
}

// New returns a Peers. Run opens the connections.
func New(options Options) *Peers {
	if options.Timer == nil {
		options.Timer = timer.System{}
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Heartbeat <= 0 {
		options.Heartbeat = defaultHeartbeat
	}
	if options.MaxBackoff <= 0 {
		options.MaxBackoff = defaultMaxBackoff
	}
	if options.MaxHandshakes <= 0 {
		options.MaxHandshakes = defaultMaxHandshakes
	}
	return &Peers{
		options:      options,
		links:        make(map[fleet.RouterID]*link),
		incarnations: make(map[fleet.RouterID]fleet.Incarnation),
		dialStates:   make(map[string]*dialState),
		handlers:     make(map[string]Handler),
	}
}

// Handle registers fn as the handler of a method. It must be called before Run.
func (p *Peers) Handle(method string, fn func(ctx context.Context, params json.RawMessage) (any, error)) {
	p.handlers[method] = fn
}

// OnBatch registers fn to be called with each received batch, in order for each
// router. It must be called before Run.
func (p *Peers) OnBatch(fn func(from fleet.RouterID, batch *schema.Batch)) {
	p.onBatch = append(p.onBatch, fn)
}

// OnChange registers fn to be called when a connection opens, before its first
// batch, and when it closes, after its last. It must be called before Run.
func (p *Peers) OnChange(fn func(change Change)) { p.onChange = append(p.onChange, fn) }

// Routers returns the ids of the connected routers in ascending order.
func (p *Peers) Routers() []fleet.RouterID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.links))
}

// IsSilent reports whether nothing has arrived from a connected router for longer than a heartbeat takes, so that it
// may be frozen. Its connection is closed only later.
func (p *Peers) IsSilent(router fleet.RouterID) bool {
	p.mu.Lock()
	l := p.links[router]
	p.mu.Unlock()
	if l == nil {
		return false
	}
	silentAt := l.silentAt.Load()
	return silentAt != 0 && p.options.Timer.Now().UnixNano() > silentAt
}

// SetWatched sets the routers whose silence has to be noticed soon, however large the fleet is. They should watch this
// router, too. It holds for the connections that are open now.
func (p *Peers) SetWatched(routers []fleet.RouterID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.links {
		l.watched.Store(slices.Contains(routers, id))
	}
}

// NotConnectedError reports a call to a router that is not connected. Nothing
// was sent.
type NotConnectedError struct{ Router fleet.RouterID }

// Error returns a message with the router's id.
func (e *NotConnectedError) Error() string { return "router " + string(e.Router) + " is not connected" }

// Call calls a method of another router and waits for its result. It returns a
// *NotConnectedError if the router is not connected; then nothing was sent.
func (p *Peers) Call(ctx context.Context, to fleet.RouterID, method string, params, result any) error {
	p.mu.Lock()
	l := p.links[to]
	p.mu.Unlock()
	if l == nil {
		return &NotConnectedError{Router: to}
	}
	return eris.Wrapf(l.rpc.Call(ctx, method, params, result), "call %s at %s", method, to)
}

// Send queues a batch for a router without blocking. It drops the batch if the
// router is not connected, and closes the connection if the send queue is full.
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

// Run dials and accepts connections until ctx ends, then closes all of them.
func (p *Peers) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.group.Go(func() { p.options.Guard.RunControl(func() { p.acceptLoop(ctx) }) })
	p.group.Go(func() { p.options.Guard.RunControl(func() { p.dialLoop(ctx) }) })
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

// heartbeatInterval returns the current heartbeat interval, which grows with the
// number of connections.
func (p *Peers) heartbeatInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.options.Heartbeat, time.Duration(len(p.links))*heartbeatPerLink)
}

// register makes l the connection to its router, or rejects it.
//
// If two routers dial each other at once there are two connections, and both
// sides must keep the same one: the one dialled by the router with the lesser
// id. A newer connection in the same direction replaces the older one, which its
// dialler has closed. An older incarnation of a router is always rejected.
func (p *Peers) register(l *link) bool {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	id := fleet.RouterID(l.hello.GetRouter())
	incarnation := fleet.Incarnation(l.hello.GetIncarnation())
	p.mu.Lock()
	current := p.links[id]
	if p.closed || !p.acceptable(current, l) {
		p.mu.Unlock()
		return false
	}
	p.incarnations[id] = incarnation
	p.links[id] = l
	p.mu.Unlock()
	if current != nil {
		current.close()
		p.notify(Change{Router: id})
	}
	p.notify(Change{
		Router: id, DataCenter: fleet.DataCenterID(l.hello.GetDataCenter()), Address: l.hello.GetAddress(),
		Incarnation: incarnation, Connected: true,
	})
	return true
}

// acceptable reports whether l may become the connection to its router in place
// of current, which may be nil. It counts the reason if not. mu must be held.
func (p *Peers) acceptable(current, l *link) bool {
	switch {
	case l.incarnation() < p.incarnations[fleet.RouterID(l.hello.GetRouter())]:
		p.counters.rejected.Add(1)
		return false
	case current != nil && current.incarnation() == l.incarnation() && current.dialledByLesserID() && !l.dialledByLesserID():
		p.counters.duplicate.Add(1)
		return false
	}
	return true
}

// unregister removes a connection that has ended, unless it was replaced.
func (p *Peers) unregister(l *link) {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	id := fleet.RouterID(l.hello.GetRouter())
	p.mu.Lock()
	registered := p.links[id] == l
	if registered {
		delete(p.links, id)
	}
	p.mu.Unlock()
	if registered {
		p.notify(Change{Router: id})
	}
}

func (p *Peers) notify(change Change) {
	for _, fn := range p.onChange {
		fn(change)
	}
}

func (p *Peers) countBytes(direction string, size int) {
	if p.options.Metrics != nil {
		p.options.Metrics.CountControlMessage(direction, metric.Peer, size)
	}
}
