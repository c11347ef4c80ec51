package deployment

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/logging"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/overload"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/upstream"
)

const (
	// headerTimeout bounds the arrival of a caller's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's idle connection stays open. Callers may
	// use one again after nearly as long as the configuration lets it idle, and
	// a request that crosses the close is lost, so this is well above that.
	idleTimeout = 2 * time.Minute
	// noProbes spares four system calls for each connection of a caller. One whose
	// caller has gone without a word ends with its idle time, or when an answer
	// isn't acknowledged.
	noProbes = -1
	// sweepInterval is how often idle connections to upstreams are looked over.
	sweepInterval = time.Second
	// summaryInterval is how often refusals beyond the bound on lines are noted together.
	summaryInterval = time.Second
	// maxCallerHeader bounds a caller's header, in bytes.
	maxCallerHeader = 64 << 10
	// startCalm is how long after its start a router that can serve relies on what it
	// has read. Routers connect to each other within about a second, and may then be
	// told by others; the users' strictest bound on news is 2 s.
	startCalm = 1500 * time.Millisecond
	// peerBackoff bounds the time between two attempts to connect to a router, and
	// so how long after the end of a cut the two hear each other again.
	peerBackoff = time.Second
)

// Options are what a Router is made of. All are needed but Recovery.
type Options struct {
	Self       fleet.RouterID
	DataCenter fleet.DataCenterID
	// CallerAddress, ReadyAddress and MetricsAddress are where the router listens.
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	// ReadyPath is what the balancer asks for.
	ReadyPath      string
	Dialect        forward.Dialect
	Echoed         func(http.Header) fleet.RequestID
	Configurations follow.Feed[route.Configuration, registry.Revision]
	Upstreams      follow.Feed[registry.Change, registry.Revision]
	Members        Members
	Quarantines    Quarantines
	// PeerAddress is where the other routers connect to, FleetKey what they
	// prove to each other that they are of one fleet by.
	PeerAddress string
	FleetKey    []byte
	// RetryRatio bounds the retries of a service in relation to its requests, and
	// RetryBurst those of the whole fleet beyond that.
	RetryRatio float64
	RetryBurst float64
	// Recovery is how soon after a disturbance of the store what it tells has to be in
	// force, zero means follow.DefaultRecovery.
	Recovery time.Duration
	// MaxConnections is how many connections of callers are kept; answers beyond
	// it close theirs.
	MaxConnections int
	// Grace is the time between the request to stop and the end of the process.
	Grace time.Duration
	Log   *slog.Logger
}

// Router serves the callers of a deployment. Make it by New.
type Router struct {
	options Options
	state   *State
	mesh    *mesh
	handler *forward.Handler
	client  *upstream.Client
	metrics *metric.Set
	// guard contains panics, and failed gets those after which the router has to stop.
	guard  *recovery.Guard
	failed chan error
	// figures serves the metrics.
	figures  http.Handler
	stopping atomic.Bool
	stopOnce sync.Once
	// started is when the router was made.
	started time.Time
	// registered is closed once the own entry is in the list of routers.
	registered chan struct{}
	// connections is how many connections of callers are open.
	connections atomic.Int64
	actors      []actor
}

type actor struct {
	name string
	run  func(ctx context.Context) error
}

// New returns a Router whose addresses are open.
func New(ctx context.Context, options Options) (*Router, error) {
	own, process := prometheus.NewRegistry(), prometheus.NewRegistry()
	process.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r := &Router{options: options, figures: metric.Handler(own, process), metrics: metric.New(own), started: time.Now(), registered: make(chan struct{})}
	r.failed = make(chan error, 1)
	r.guard = &recovery.Guard{Log: logging.WithPriority(options.Log, logging.Panic), Count: r.metrics.Panics.Inc, End: r.fail}
	r.state = NewState(StateOptions{
		DataCenter: options.DataCenter, RetryRatio: options.RetryRatio, RetryBurst: options.RetryBurst, Log: options.Log,
		Guard: r.guard, OnChange: r.changed,
	})
	r.client = &upstream.Client{Echoed: options.Echoed, Opened: r.metrics.Connections.Inc}
	r.handler = &forward.Handler{
		Dialect: options.Dialect, State: r.state, Client: r.client, Metrics: r.metrics,
		Log: logging.WithPriority(options.Log, logging.Failure), Routine: logging.WithPriority(options.Log, logging.Request),
		Crowded: r.isCrowded, Guard: r.guard,
	}
	if err := r.connect(ctx); err != nil {
		return nil, err
	}
	r.mesh.inHand = r.handler.InHand
	r.handler.Takes = r.mesh.shedder.Takes
	r.handler.Shed = r.mesh.homes.Shed
	r.handler.Latency = r.mesh.schedulingLatency
	r.handler.Quarantine = &r.mesh.crashes
	r.follow()
	return r, r.listen(ctx)
}

// fail makes the router stop in order, because its state can't be relied on.
func (r *Router) fail(err error) {
	select {
	case r.failed <- err:
	default: // it stops already
	}
}

// awaitFailure returns the first error after which the router has to stop.
func (r *Router) awaitFailure(ctx context.Context) error {
	select {
	case err := <-r.failed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// changed tells the other routers that something has taken effect here.
func (r *Router) changed(from string) {
	r.metrics.NoteVersion.Set(float64(r.state.Table().Version()))
	r.mesh.learned(from)
}

// connect makes the connections to the other routers.
func (r *Router) connect(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", r.options.PeerAddress)
	if err != nil {
		return eris.Wrapf(err, "listening for routers on %s", r.options.PeerAddress)
	}
	r.mesh = newMesh(r.state, peer.Options{
		Self: r.options.Self, DataCenter: r.options.DataCenter, Incarnation: fleet.IncarnationAt(time.Now()),
		Address: r.options.PeerAddress, Key: r.options.FleetKey, Listener: listener,
		Metrics: r.metrics, Logger: r.options.Log, Guard: r.guard, MaxBackoff: peerBackoff,
	}, r.client.Check)
	r.mesh.quarantines.open(r.options.Quarantines, &r.mesh.crashes.watch, r.options.Log)
	members := &memberSink{self: r.options.Self, peers: r.mesh.peers, state: r.state}
	r.mesh.peers.OnChange(members.heard)
	list := &memberList{started: r.started, isLarge: r.mesh.homes.Decide, registered: r.registered}
	list.Follower = follow.Follower[Member, registry.Revision]{
		Name: "routers", Feed: r.options.Members, Sink: members, Log: r.options.Log,
		Wait: memberWait, Rest: list.rest,
	}
	r.actors = append(r.actors,
		actor{"router connections", r.mesh.peers.Run}, actor{"reports", r.mesh.Run},
		actor{"router list", list.run}, actor{"registration", r.register}, actor{"quarantine", r.mesh.quarantines.run})
	return nil
}

// follow adds the actors that keep the state up to date.
func (r *Router) follow() {
	configurations := &follow.Follower[route.Configuration, registry.Revision]{
		Name: "configuration", Feed: r.options.Configurations, Sink: configurationSink{r.state}, Log: r.options.Log,
		Wait: follow.WaitFor(r.options.Recovery), Rest: r.rest,
	}
	upstreams := &follow.Follower[registry.Change, registry.Revision]{
		Name: "upstreams", Feed: r.options.Upstreams, Sink: upstreamSink{r.state, r.mesh}, Log: r.options.Log,
		Wait: follow.WaitFor(r.options.Recovery), Rest: r.rest,
	}
	r.actors = append(r.actors,
		actor{"configuration follower", configurations.Run},
		actor{"upstream follower", upstreams.Run},
		actor{"connection sweep", r.sweep}, actor{"refusal summaries", r.logRefusals})
}

// rest returns how long the store's tables need not be looked at.
//
// A fleet starts together with its upstreams, and each router would be told of each
// that comes until it is connected to those that follow the store for all: 430 calls of
// 91 routers in three seconds. So one that can serve doesn't look for a moment.
func (r *Router) rest() time.Duration {
	if r.state.Ready() && time.Since(r.started) < startCalm {
		return startCalm
	}
	return r.mesh.group.Rest()
}

func (r *Router) listen(ctx context.Context) error {
	ready := echo.New()
	ready.GET(r.options.ReadyPath, r.ready)
	metrics := echo.New()
	metrics.GET("/metrics", echo.WrapHandler(r.figures))
	callers := r.newServer(r.handler)
	callers.ConnState = r.countConnection
	callers.ConnContext = forward.WithCaller
	for _, l := range []struct {
		name, address string
		server        *http.Server
		queue         *overload.Standing
	}{
		{"callers", r.options.CallerAddress, callers, &r.mesh.queue},
		{"readiness", r.options.ReadyAddress, r.newServer(ready), nil},
		{"metrics", r.options.MetricsAddress, r.newServer(metrics), nil},
	} {
		opened, err := open(ctx, l.address, l.queue)
		if err != nil {
			return eris.Wrapf(err, "listening for %s on %s", l.name, l.address)
		}
		r.actors = append(r.actors, actor{l.name, serve(l.server, opened)})
	}
	return nil
}

// open listens on an address. Connections give way to what is in hand if queue isn't nil.
func open(ctx context.Context, address string, queue *overload.Standing) (net.Listener, error) {
	opened, err := (&net.ListenConfig{KeepAlive: noProbes}).Listen(ctx, "tcp", address)
	if err != nil || queue == nil {
		return opened, err
	}
	return newListener(opened, queue)
}

func (r *Router) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxCallerHeader,
		ErrorLog: slog.NewLogLogger(r.options.Log.Handler(), slog.LevelWarn),
	}
}

func (r *Router) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		r.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		r.connections.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// isCrowded reports whether more connections of callers are open than are kept.
//
// It answers callers that repeat at once and often, each time on a new
// connection, and leave the former open. A process that runs out of descriptors
// accepts nobody for seconds; callers wait, leave, and their requests are read
// and passed on when nobody waits for them any more.
func (r *Router) isCrowded() bool {
	return r.connections.Load() > int64(r.options.MaxConnections) || r.mesh.overload.IsOverloaded()
}

// serve returns an actor that ends once the server was closed.
func serve(server *http.Server, listener net.Listener) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return ctx.Err()
		}
		return err
	}
}

// ready answers the balancer.
func (r *Router) ready(c echo.Context) error {
	if r.stopping.Load() || !r.state.Ready() || r.mesh.overload.IsOverloaded() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// sweep closes idle connections whose time is over until ctx ends.
func (r *Router) sweep(ctx context.Context) error {
	defer r.client.Close()
	return every(ctx, sweepInterval, func(now time.Time) { r.client.Sweep(now, r.state.HasAddress) })
}

// logRefusals notes each second what was refused beyond the bound on lines until ctx ends.
func (r *Router) logRefusals(ctx context.Context) error {
	defer r.handler.LogRefusals()
	return every(ctx, summaryInterval, func(time.Time) { r.handler.LogRefusals() })
}

// every calls fn once in each interval until ctx ends, and returns its error.
func every(ctx context.Context, interval time.Duration, fn func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			fn(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Run serves until ctx ends, then shuts down gracefully and returns nil. It
// returns an error when a part ended by itself.
func (r *Router) Run(ctx context.Context) error {
	r.options.Log.Info("started", "router", r.options.Self, "data-centre", r.options.DataCenter,
		"callers", r.options.CallerAddress, "readiness", r.options.ReadyAddress, "metrics", r.options.MetricsAddress)
	var group run.Group
	interrupted := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
			r.stopOnce.Do(r.stop)
		case <-interrupted:
		}
		return nil
	}, func(error) { close(interrupted) })
	for _, a := range append(r.actors, actor{"failure", r.awaitFailure}) {
		group.Add(r.runActor(a))
	}
	err := group.Run()
	r.awaitHandlers()
	r.options.Log.Info("stopped", "error", err)
	return err
}

// awaitHandlers waits until the requests that the end of a stop cut off are in the log.
func (r *Router) awaitHandlers() {
	ctx, cancel := context.WithTimeout(context.Background(), cutOffTime)
	defer cancel()
	if err := r.handler.Wait(ctx); err != nil {
		r.options.Log.Warn("requests still in hand", "in-hand", r.handler.InHand(), "error", err)
	}
}

// stopAfter stops the router in order after an actor has ended by itself, and returns why.
func (r *Router) stopAfter(a actor, err error) error {
	err = eris.Wrapf(err, "part %s ended by itself", a.name)
	r.options.Log.Error("stopping after a failure", "actor", a.name, "error", err)
	r.stopOnce.Do(r.stop)
	return err
}

// runActor returns an actor of a run group. One that ends by itself stops the router in order
// before the others end, so that callers get their answers.
func (r *Router) runActor(a actor) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute = func() error {
		err := r.guard.Do(recovery.Control, func() error { return a.run(ctx) }, "actor", a.name)
		if ctx.Err() == nil {
			return r.stopAfter(a, err)
		}
		return nil
	}
	return execute, func(error) { cancel() }
}
