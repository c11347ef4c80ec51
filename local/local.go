// Package local runs a whole fleet on loopback in one process: a platform,
// engines, a plain service, routers, and a release note that configures them.
// It is meant for trying out the software and for measuring real routers.
package local

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"nutmeglock.example/nutmeglock/daemon"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/operator"
	"nutmeglock.example/nutmeglock/platform/standin"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/standin/application"
	"nutmeglock.example/nutmeglock/standin/engine"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/timer"
)

// The services of a Fleet.
const (
	ModelService fleet.ServiceID = "findings"
	PlainService fleet.ServiceID = "orders"
)

// Options configures a Fleet. Zero counts mean one.
type Options struct {
	Routers      int
	Engines      int
	Applications int
	Accounts     int
	Engine       engine.Options
	// SlowEngines is the number of engines that take four times as long.
	SlowEngines int
	Application application.Options
	// EngineSlots and ApplicationSlots limit the requests in flight at one
	// upstream; zero means 32.
	EngineSlots      int
	ApplicationSlots int
	// Sharing names the sharing policy, as in a router's settings.
	Sharing string
	// StopNotice is the stop notice in the routers' settings. Zero means 1 ms,
	// since there is no load balancer that has to notice the stop.
	StopNotice time.Duration
	Log        *slog.Logger
	// Settings, if set, may change the settings of router n, from 0, before it
	// starts.
	Settings func(n int, s *schema.RouterSettings)
	// Extensions are added to each router.
	Extensions []daemon.Extension
}

// Fleet is a running fleet.
type Fleet struct {
	// Platform is the in-memory platform that the routers use.
	Platform *memory.Platform
	// RouterAddresses holds the addresses of the routers.
	RouterAddresses []daemon.Addresses
	// EngineAddresses and ApplicationAddresses hold the addresses of the upstreams.
	EngineAddresses      []string
	ApplicationAddresses []string

	options Options
	// operatorKey is also the fleet key.
	operatorKey  string
	engines      []*engine.Engine
	applications []*application.Application
	routers      []*router
	standInGroup sync.WaitGroup
	servers      []*http.Server
	stop         context.CancelFunc
}

// AccountKey returns the key of account n, from 0.
func AccountKey(n int) string { return fmt.Sprintf("account-%d-key", n+1) }

// Start starts a fleet and waits until its routers are ready. It fails if ctx
// ends before. The fleet runs until Close.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	options = options.withDefaults()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{options: options, operatorKey: rand.Text(), stop: stop, Platform: memory.New(timer.System{})}
	if err := f.start(ctx, running); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (o Options) withDefaults() Options {
	for _, count := range []*int{&o.Routers, &o.Engines, &o.Applications, &o.Accounts} {
		*count = max(*count, 1)
	}
	if o.EngineSlots == 0 {
		o.EngineSlots = defaultSlots
	}
	if o.ApplicationSlots == 0 {
		o.ApplicationSlots = defaultSlots
	}
	if o.StopNotice == 0 {
		o.StopNotice = time.Millisecond
	}
	return o
}

// defaultSlots is the default batch size of an engine stand-in.
const defaultSlots = 32

// start starts everything and waits for the routers. They run until running ends.
func (f *Fleet) start(ctx, running context.Context) error {
	url, err := f.serveHandler(ctx, standin.New(f.Platform))
	if err != nil {
		return err
	}
	if err := f.startUpstreams(ctx); err != nil {
		return err
	}
	for n := range f.options.Routers {
		if err := f.startRouter(running, n, url); err != nil {
			return err
		}
	}
	f.setVMs()
	if _, err := f.Publish(ctx, 0, f.releaseNote()); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

// slowEngineFactor is the ratio of a slow engine's times to normal ones.
const slowEngineFactor = 4

// engineOptions returns the options of engine n, from 0.
func (o Options) engineOptions(n int) engine.Options {
	options := o.Engine
	if n >= o.SlowEngines {
		return options
	}
	if options.TimeScale == 0 {
		options.TimeScale = 1
	}
	options.TimeScale *= slowEngineFactor
	return options
}

func (f *Fleet) startUpstreams(ctx context.Context) error {
	for n := range f.options.Engines {
		e := engine.New(f.options.engineOptions(n))
		address, err := f.serveHandler(ctx, e)
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
		f.EngineAddresses = append(f.EngineAddresses, address)
	}
	for range f.options.Applications {
		a := application.New(f.options.Application)
		address, err := f.serveHandler(ctx, a)
		if err != nil {
			return err
		}
		f.applications = append(f.applications, a)
		f.ApplicationAddresses = append(f.ApplicationAddresses, address)
	}
	return nil
}

// serveHandler serves handler on a free port and returns the address.
func (f *Fleet) serveHandler(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", anyLoopbackPort)
	if err != nil {
		return "", eris.Wrap(err, "listening on loopback")
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	f.standInGroup.Go(func() { _ = s.Serve(listener) })
	return listener.Addr().String(), nil
}

const (
	anyLoopbackPort = "127.0.0.1:0"
	dataCenter      = "local"
	operatorName    = "local-operator"
)

// logger returns the log of the options, or one that discards everything.
func (f *Fleet) logger() *slog.Logger {
	if f.options.Log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return f.options.Log
}

// setVMs lists the routers as VMs at the platform.
func (f *Fleet) setVMs() {
	vms := make([]store.VM, 0, len(f.RouterAddresses))
	for n, r := range f.RouterAddresses {
		vms = append(vms, store.VM{
			Name: routerID(n), Role: store.RouterVM, Address: r.Peers.String(), DataCenter: dataCenter,
		})
	}
	f.Platform.SetVMs(vms...)
}

// Publish publishes a release note through a router, from 0, and returns its
// version.
func (f *Fleet) Publish(ctx context.Context, router int, n *schema.ReleaseNote) (fleet.Version, error) {
	text, err := protojson.Marshal(n)
	if err != nil {
		return 0, eris.Wrap(err, "encoding a release note")
	}
	answer, err := f.OperatorClient(router).Publish(ctx, text, note.NewPublishID())
	if err != nil {
		return 0, eris.Wrap(err, "publishing a release note")
	}
	return fleet.Version(answer.GetVersion()), nil
}

// OperatorClient returns a client for the administration API of a router, from 0.
func (f *Fleet) OperatorClient(router int) *operator.Client {
	return operator.NewClient(f.operatorKey, "http://"+f.RouterAddresses[router].Admin.String())
}

// releaseNote returns the note with the services, accounts and upstreams.
func (f *Fleet) releaseNote() *schema.ReleaseNote {
	added := &schema.Entries{Services: []*schema.Service{
		{Id: string(ModelService), Kind: "model"},
		{Id: string(PlainService), Kind: "plain"},
	}}
	for n := range f.options.Accounts {
		added.Accounts = append(added.Accounts, &schema.Account{
			Id: fmt.Sprintf("account-%d", n+1), KeySha256: []string{note.HashKey(AccountKey(n))},
		})
	}
	for n, address := range f.EngineAddresses {
		added.Upstreams = append(added.Upstreams, &schema.Upstream{
			Id: fmt.Sprintf("engine-%d", n+1), Service: string(ModelService), Address: address,
			DataCenter: dataCenter, Slots: uint32(f.options.EngineSlots),
		})
	}
	for n, address := range f.ApplicationAddresses {
		added.Upstreams = append(added.Upstreams, &schema.Upstream{
			Id: fmt.Sprintf("application-%d", n+1), Service: string(PlainService), Address: address,
			DataCenter: dataCenter, Slots: uint32(f.options.ApplicationSlots),
		})
	}
	return &schema.ReleaseNote{Summary: "the services of a first look", Added: added}
}

const readyPollInterval = 10 * time.Millisecond

// waitReady waits until every router has the release note and is connected to
// the others.
func (f *Fleet) waitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		if f.allReady(ctx) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "waiting for the routers")
		}
	}
}

// allReady reports whether every router lists all routers as ready dispatchers.
// Until then, two routers may both dispatch an upstream and overload it.
func (f *Fleet) allReady(ctx context.Context) bool {
	for n := range f.RouterAddresses {
		list, err := f.OperatorClient(n).Routers(ctx)
		if err != nil || len(list.GetRouters()) != len(f.RouterAddresses) {
			return false
		}
		for _, other := range list.GetRouters() {
			if other.GetState() != "ready" || !other.GetDispatches() {
				return false
			}
		}
	}
	return true
}

// RunningRequests returns the number of requests in the batches of all engines.
func (f *Fleet) RunningRequests() int {
	running := 0
	for _, e := range f.engines {
		running += e.Running()
	}
	return running
}

// Engine returns engine n, from 0.
func (f *Fleet) Engine(n int) *engine.Engine { return f.engines[n] }

// Application returns the nth upstream of the plain service, from 0.
func (f *Fleet) Application(n int) *application.Application { return f.applications[n] }

// Close stops the routers gracefully, and then the platform and the upstreams.
func (f *Fleet) Close() {
	f.stop()
	for n := range f.routers {
		_ = f.WaitRouter(n)
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.standInGroup.Wait()
}
