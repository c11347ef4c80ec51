package deployment

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/coldstart"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/logging"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/overload"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

const (
	// headerTimeout bounds the time in which a request's header has to arrive.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's idle connection stays open. It is well above the
	// idle timeout of the configuration: callers may reuse a connection until shortly before
	// that, and a request sent while the router closes the connection is lost.
	idleTimeout = 2 * time.Minute
	// keepAliveDisabled turns TCP keep-alive off, which saves four system calls per connection
	// of a caller. The connection of a caller that vanished ends at its idle timeout, or when
	// an answer isn't acknowledged.
	keepAliveDisabled = -1
	// sweepInterval is how often idle connections to upstreams are checked for expiry.
	sweepInterval = time.Second
	// summaryInterval is how often the refusals that had no log line of their own are logged
	// as a summary.
	summaryInterval = time.Second
	// maxCallerHeaderBytes bounds a caller's header, in bytes.
	maxCallerHeaderBytes = 64 << 10
	// maxPeerBackoff bounds the time between two attempts to connect to a router, and so the
	// time to reconnect after a network partition.
	maxPeerBackoff = time.Second
)

// Options configure a Router. All are required but RecoveryTime, History, ColdTolerance, MaxHandshakes,
// HandoverAddress and MixedServiceStore.
type Options struct {
	Self       fleet.RouterID
	DataCenter fleet.DataCenterID
	// Regions has the region of each data centre. It may be nil if no route or account is bound to regions.
	Regions map[fleet.DataCenterID]fleet.RegionID
	// CallerAddress, ReadyAddress and MetricsAddress are the addresses that the router listens on.
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	// ReadyPath is the path of the balancer's readiness check.
	ReadyPath string
	Codec     forward.HeaderCodec
	// EchoedID returns the request ID that an upstream's answer carries, empty if it has none.
	EchoedID func(http.Header) fleet.RequestID
	// Identity defines how upstreams tell when they started; it may be nil.
	Identity        *upstream.Identity
	OperatorFeed    follow.Feed[OperatorChange, registry.Revision]
	UpstreamFeed    follow.Feed[registry.Change, registry.Revision]
	MemberStore     MemberStore
	QuarantineStore QuarantineStore
	// MixedServiceStore may be nil: then nothing is known of the versions before the router started.
	MixedServiceStore MixedServiceStore
	// PeerAddress is the address that other routers connect to. FleetKey is the shared key by
	// which routers authenticate each other as members of one fleet.
	PeerAddress string
	FleetKey    []byte
	// MaxHandshakes is the number of connections of other routers that may be open before they have proved that they hold the
	// key; zero means the default of package peer.
	MaxHandshakes int
	// HandoverAddress is the address at which other routers hand over requests; empty if none are
	// handed over.
	HandoverAddress string
	// RetryRatio bounds the retries of a service relative to its requests, and RetryBurst the
	// retries of the whole fleet beyond that.
	RetryRatio float64
	RetryBurst float64
	// ColdTolerance is what cold upstreams tolerate beyond the rate of their service.
	ColdTolerance coldstart.Tolerance
	// RecoveryTime is the time after an outage of the store within which its updates have to be in
	// force; zero means follow.DefaultRecovery.
	RecoveryTime time.Duration
	// History is how long the store keeps the changes of a table, zero for ever.
	History time.Duration
	// MaxConnections is the number of callers' connections above which each answer closes its
	// connection.
	MaxConnections int
	// CallerLimits limit what callers' connections take. The zero value has the defaults of a budget.Pool.
	CallerLimits CallerLimits
	// StopGrace is the time from the request to stop until the process has to end.
	StopGrace time.Duration
	Log       *slog.Logger
}

// Router serves the callers of a deployment. Create it with New.
type Router struct {
	options Options
	state   *State
	mesh    *mesh
	handler *forward.Handler
	client  *upstream.Client
	metrics *metric.Set
	// guard recovers from panics, and failures receives those after which the router has to stop.
	guard          *recovery.Guard
	failures       chan error
	metricsHandler http.Handler
	stopping       atomic.Bool
	stopOnce       sync.Once
	// startedAt is when the router was created.
	startedAt    time.Time
	registration *registration
	// openConnections is the number of open connections of callers.
	openConnections atomic.Int64
	// callers is the budget of callers' connections.
	callers        caller.Monitor
	callerListener *caller.Listener
	actors         []actor
}

// actor is a part of the router that runs until its context ends.
type actor struct {
	name string
	run  func(ctx context.Context) error
}

// New returns a Router that listens on its addresses.
func New(ctx context.Context, options Options) (*Router, error) {
	routerMetrics, processMetrics := prometheus.NewRegistry(), prometheus.NewRegistry()
	processMetrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r := &Router{options: options, metricsHandler: metric.Handler(routerMetrics, processMetrics), metrics: metric.New(routerMetrics), startedAt: time.Now(), registration: newRegistration()}
	r.failures = make(chan error, 1)
	r.guard = &recovery.Guard{Log: logging.WithPriority(options.Log, logging.Panic), OnPanic: r.metrics.Panics.Inc, Shutdown: r.fail}
	r.state = NewState(StateOptions{
		Self: options.Self, DataCenter: options.DataCenter, ColdTolerance: options.ColdTolerance,
		OnColdSkipped: func(reason turn.ColdReason) { r.metrics.ColdSkipped.WithLabelValues(string(reason)).Inc() },
		OnAvoided:     r.metrics.AvoidedSends.WithLabelValues(string(avoidance.Backoff)).Inc,
		CacheEvents:   CacheEvents{OnUse: r.metrics.CountCacheUse, OnLoss: r.metrics.CacheLosses.Inc},
		Reservations:  r.metrics.ReservationHooks(),
		RetryRatio:    options.RetryRatio, RetryBurst: options.RetryBurst, RecoveryTime: options.RecoveryTime, Log: options.Log,
		Guard: r.guard, OnChange: r.handleStateChange,
		OnRestore: r.handleRestore,
		OnKept:    func(kept []*schema.UpstreamChange) { r.mesh.announceKept(kept) },
		OnLeaving: func(age time.Duration) { r.metrics.LeavingSeconds.Observe(age.Seconds()) },
	})
	r.callers.SetUp(options.CallerLimits.Bytes, options.CallerLimits.Connections, r.metrics, options.Log)
	r.client = &upstream.Client{EchoedID: options.EchoedID, Identity: options.Identity, OnOpen: r.metrics.UpstreamConnections.Inc}
	r.handler = &forward.Handler{
		Codec: options.Codec, State: r.state, Client: r.client, Metrics: r.metrics,
		Log: logging.WithPriority(options.Log, logging.Failure), RoutineLog: logging.WithPriority(options.Log, logging.Request),
		Regions: options.Regions, TooManyConnections: r.shouldCloseConnections, LeavingSince: r.state.LeavingSince, Avoidance: r.state, Guard: r.guard,
	}
	if err := r.connectPeers(ctx); err != nil {
		return nil, err
	}
	r.mesh.requestsInFlight = r.handler.InFlight
	r.handler.HasCapacity = r.mesh.shedder.Admit
	r.handler.IsOverloaded = r.mesh.isShortOfTime
	if err := r.setUpHandovers(); err != nil {
		return nil, err
	}
	r.handler.OnShed = r.mesh.coordinator.AddShed
	r.handler.SchedulingLatency = r.mesh.schedulingLatency
	r.handler.Quarantine = &r.mesh.crashMonitor
	r.handler.Origins = &r.mesh.origins
	r.addFollowers()
	return r, r.listen(ctx)
}

// fail makes the router shut down in order because its state may be corrupt.
func (r *Router) fail(err error) {
	select {
	case r.failures <- err:
	default: // it is stopping already
	}
}

// awaitFailure returns the first error after which the router has to stop.
func (r *Router) awaitFailure(ctx context.Context) error {
	select {
	case err := <-r.failures:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleStateChange announces to the other routers an update that has taken effect here.
func (r *Router) handleStateChange(source string) {
	r.metrics.NoteVersion.Set(float64(r.state.Table().Version()))
	r.mesh.announceUpdate(source)
}

// handleRestore writes again what this router has stored and the restored store may lack.
func (r *Router) handleRestore() {
	r.metrics.StoreRestores.Inc()
	r.registration.renew()
	r.mesh.quarantinePersister.storeAgain()
	r.mesh.origins.mixedServices.storeAgain()
}

// connectPeers sets up the mesh with the other routers, and adds its actors.
func (r *Router) connectPeers(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", r.options.PeerAddress)
	if err != nil {
		return eris.Wrapf(err, "listening for routers on %s", r.options.PeerAddress)
	}
	r.mesh = newMesh(r.state, peer.Options{
		Self: r.options.Self, DataCenter: r.options.DataCenter, Incarnation: fleet.IncarnationAt(time.Now()),
		Address: r.options.PeerAddress, Key: r.options.FleetKey, Listener: listener,
		Metrics: r.metrics, Logger: r.options.Log, Guard: r.guard, MaxBackoff: maxPeerBackoff,
		MaxHandshakes: r.options.MaxHandshakes,
	}, r.client.CheckReachable)
	r.mesh.crashMonitor.checkProcess = r.client.CheckProcess
	r.mesh.quarantinePersister.setUp(r.options.QuarantineStore, &r.mesh.crashMonitor, r.options.Log)
	r.mesh.origins.mixedServices.setUp(r.options.MixedServiceStore)
	r.mesh.origins.listCheck.feed = r.options.UpstreamFeed
	members := &memberSink{self: r.options.Self, peers: r.mesh.peers, state: r.state}
	r.mesh.peers.OnChange(members.handleConnectionChange)
	r.mesh.crashMonitor.trials.knownRouters = members.otherRouters
	memberList := &memberFollower{startedAt: r.startedAt, knownRouters: members.knownRouters, registration: r.registration}
	memberList.Follower = follow.Follower[Member, registry.Revision]{
		Name: "routers", Feed: r.options.MemberStore, Sink: members, Log: r.options.Log,
		Wait: memberPollWait, PollInterval: memberList.pollInterval, History: r.options.History,
	}
	r.actors = append(r.actors,
		actor{"router connections", r.mesh.peers.Run}, actor{"reports", r.mesh.Run},
		actor{"router list", memberList.run}, actor{"registration", r.register}, actor{"quarantine", r.mesh.quarantinePersister.run})
	if r.options.MixedServiceStore != nil {
		r.actors = append(r.actors, actor{"software versions", r.mesh.origins.mixedServices.run})
	}
	return nil
}

func (r *Router) listen(ctx context.Context) error {
	readiness := echo.New()
	readiness.GET(r.options.ReadyPath, r.serveReadiness)
	metrics := echo.New()
	metrics.GET("/metrics", echo.WrapHandler(r.withSlowdowns(r.metricsHandler)))
	callers := r.newServer(r.handler)
	callers.ConnState = r.countConnection
	for _, l := range []struct {
		name, address string
		server        *http.Server
		pool          *caller.Pool
		acceptQueue   *overload.StandingQueue
	}{
		{"callers", r.options.CallerAddress, callers, &r.callers.Pool, &r.mesh.acceptQueue},
		{"readiness", r.options.ReadyAddress, r.newStatusServer(readiness), r.options.CallerLimits.newStatusPool(), nil},
		{"metrics", r.options.MetricsAddress, r.newStatusServer(metrics), r.options.CallerLimits.newStatusPool(), nil},
	} {
		listener, err := r.openListener(ctx, l.address, l.pool, l.acceptQueue)
		if err != nil {
			return eris.Wrapf(err, "listening for %s on %s", l.name, l.address)
		}
		counted := &caller.Listener{Listener: listener, Pool: l.pool}
		if l.server == callers {
			counted.IsOverloaded = r.mesh.isShortOfTime
			r.callerListener = counted
		}
		r.actors = append(r.actors, actor{l.name, serve(l.server, counted)})
	}
	r.listenForRelays(ctx) // last, as it can do without its port
	return nil
}

// openListener listens on an address, for as many connections as a pool has room for. If acceptQueue isn't nil,
// requests in flight take precedence over new connections.
func (r *Router) openListener(ctx context.Context, address string, pool *caller.Pool, acceptQueue *overload.StandingQueue) (net.Listener, error) {
	limits := r.options.CallerLimits
	config := net.ListenConfig{KeepAlive: keepAliveDisabled, Control: func(_, _ string, raw syscall.RawConn) error {
		r.reportLimit("socket buffers", address, limits.setBuffers(raw))
		return nil
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	r.reportLimit("backlog", address, limitBacklog(listener, pool))
	if acceptQueue == nil {
		return listener, nil
	}
	return newYieldingListener(listener, acceptQueue, pool.IsFull)
}

// reportLimit logs a limit that can't be set. The router serves without it.
func (r *Router) reportLimit(limit, address string, err error) {
	if err != nil {
		r.options.Log.Warn("limit not set", "limit", limit, "address", address, "error", err)
	}
}

func (r *Router) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxCallerHeaderBytes,
		ConnState: caller.ConnState, ConnContext: caller.ConnContext,
		ErrorLog: slog.NewLogLogger(r.options.Log.Handler(), slog.LevelWarn),
	}
}

// newStatusServer returns a server for readiness checks or metrics.
func (r *Router) newStatusServer(handler http.Handler) *http.Server {
	server := r.newServer(handler)
	server.ReadTimeout, server.WriteTimeout = headerTimeout, statusWriteTimeout
	return server
}

func (r *Router) countConnection(conn net.Conn, state http.ConnState) {
	caller.ConnState(conn, state)
	switch state {
	case http.StateNew:
		r.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		r.openConnections.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// shouldCloseConnections reports whether too many connections of callers are open, or the
// router is overloaded.
//
// Some callers repeat requests at once and often, each time on a new connection, and leave
// the previous one open. A process that runs out of file descriptors accepts no connection
// for seconds; callers give up meanwhile, and their requests are read and forwarded though
// nobody waits for the answers any more.
func (r *Router) shouldCloseConnections() bool {
	open := r.openConnections.Load() + r.mesh.handovers.takenConnections()
	return open > int64(r.options.MaxConnections) || r.mesh.isOverloaded()
}

// serve returns an actor that serves on a listener and closes the server when its context ends.
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

// serveReadiness answers the balancer's readiness check.
func (r *Router) serveReadiness(c echo.Context) error {
	if r.stopping.Load() || !r.state.Ready() || r.mesh.isOverloaded() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// sweepConnections closes expired idle connections to upstreams until ctx ends.
func (r *Router) sweepConnections(ctx context.Context) error {
	defer r.client.Close()
	return callEvery(ctx, sweepInterval, func(now time.Time) {
		r.state.expireAvoided(now)
		r.checkCallers(now)
		r.client.Sweep(now, r.state.HasAddress)
	})
}

// logRefusals logs a summary of the refusals without a line of their own each second until ctx
// ends.
func (r *Router) logRefusals(ctx context.Context) error {
	defer r.handler.LogRefusals()
	return callEvery(ctx, summaryInterval, func(time.Time) { r.handler.LogRefusals() })
}

// callEvery calls fn once per interval until ctx ends, and returns the error of ctx.
func callEvery(ctx context.Context, interval time.Duration, fn func(now time.Time)) error {
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

// Run serves until ctx ends, then shuts down gracefully and returns nil. It returns an error
// if a part of the router ended before that.
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
		group.Add(r.guardActor(a))
	}
	err := group.Run()
	r.awaitHandlers()
	r.options.Log.Info("stopped", "error", err)
	return err
}

// awaitHandlers waits until the requests that the shutdown cut off are in the log.
func (r *Router) awaitHandlers() {
	ctx, cancel := context.WithTimeout(context.Background(), cutOffTime)
	defer cancel()
	if err := r.handler.Wait(ctx); err != nil {
		r.options.Log.Warn("requests still in flight", "in-hand", r.handler.InFlight(), "error", err)
	}
}

// stopAfterFailure shuts the router down in order after an actor ended unexpectedly, and
// returns the cause.
func (r *Router) stopAfterFailure(a actor, err error) error {
	err = eris.Wrapf(err, "actor %s ended unexpectedly", a.name)
	r.options.Log.Error("stopping after a failure", "actor", a.name, "error", err)
	r.stopOnce.Do(r.stop)
	return err
}

// guardActor returns the functions of an actor for a run group. If the actor ends unexpectedly,
// the router shuts down in order before the other actors end, so that callers get their answers.
func (r *Router) guardActor(a actor) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute = func() error {
		err := r.guard.Do(recovery.Control, func() error { return a.run(ctx) }, "actor", a.name)
		if ctx.Err() == nil {
			return r.stopAfterFailure(a, err)
		}
		return nil
	}
	return execute, func(error) { cancel() }
}
