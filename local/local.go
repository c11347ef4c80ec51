// Package local runs a whole fleet on loopback in one process: the platform,
// engines, a plain service and routers, with a release note that puts them in
// force. It serves a first look, and measurements of real routers.
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

// Options size a Fleet. Zeros mean one of each, and one account.
type Options struct {
	Routers      int
	Engines      int
	Applications int
	Accounts     int
	Engine       engine.Options
	// SlowEngines is how many of the engines take four times as long.
	SlowEngines int
	Application application.Options
	// EngineSlots and ApplicationSlots bound what one upstream is sent.
	EngineSlots      int
	ApplicationSlots int
	// Sharing names the way that capacity is shared, as in the settings.
	Sharing string
	// StopNotice is that of the routers' settings; zero means 1 ms, since no
	// balancer has to notice.
	StopNotice time.Duration
	Log        *slog.Logger
	// Settings may change those of the nth router, from 0, before it starts.
	Settings func(n int, s *schema.RouterSettings)
	// Extensions are added to each router's own.
	Extensions []daemon.Extension
}

// Fleet is a running fleet.
type Fleet struct {
	// Platform is the memory behind the platform's address.
	Platform *memory.Platform
	Routers  []daemon.Addresses
	// Engines and Applications are the addresses of the upstreams.
	Engines      []string
	Applications []string

	options      Options
	operator     string
	engines      []*engine.Engine
	applications []*application.Application
	routers      []*router
	standIns     sync.WaitGroup
	servers      []*http.Server
	stop         context.CancelFunc
}

// AccountKey returns the key of the nth account, from 0.
func AccountKey(n int) string { return fmt.Sprintf("account-%d-key", n+1) }

// Start returns a fleet whose routers are ready. It fails when it can't be
// put in force before ctx ends. Close ends it.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	options = options.withDefaults()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{options: options, operator: rand.Text(), stop: stop, Platform: memory.New(timer.System{})}
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

// defaultSlots is the batch of a default engine stand-in.
const defaultSlots = 32

func (f *Fleet) start(ctx, running context.Context) error {
	url, err := f.serve(ctx, standin.New(f.Platform))
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
	f.listVMs()
	if _, err := f.Publish(ctx, 0, f.note()); err != nil {
		return err
	}
	return f.untilReady(ctx)
}

// slowdown is how many times as long a slow engine takes for a token.
const slowdown = 4

// engine returns the options of an engine, numbered from 0.
func (o Options) engine(n int) engine.Options {
	options := o.Engine
	if n >= o.SlowEngines {
		return options
	}
	if options.TimeScale == 0 {
		options.TimeScale = 1
	}
	options.TimeScale *= slowdown
	return options
}

func (f *Fleet) startUpstreams(ctx context.Context) error {
	for n := range f.options.Engines {
		e := engine.New(f.options.engine(n))
		address, err := f.serve(ctx, e)
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
		f.Engines = append(f.Engines, address)
	}
	for range f.options.Applications {
		a := application.New(f.options.Application)
		address, err := f.serve(ctx, a)
		if err != nil {
			return err
		}
		f.applications = append(f.applications, a)
		f.Applications = append(f.Applications, address)
	}
	return nil
}

// serve returns the address at which it serves handler.
func (f *Fleet) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", anyPort)
	if err != nil {
		return "", eris.Wrap(err, "listening on loopback")
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	f.standIns.Go(func() { _ = s.Serve(listener) })
	return listener.Addr().String(), nil
}

const (
	anyPort      = "127.0.0.1:0"
	dataCenter   = "local"
	operatorName = "local-operator"
)

func (f *Fleet) log() *slog.Logger {
	if f.options.Log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return f.options.Log
}

func (f *Fleet) listVMs() {
	vms := make([]store.VM, 0, len(f.Routers))
	for n, r := range f.Routers {
		vms = append(vms, store.VM{
			Name: routerID(n), Role: store.RouterVM, Address: r.Peers.String(), DataCenter: dataCenter,
		})
	}
	f.Platform.SetVMs(vms...)
}

// Publish publishes a release note at a router, numbered from 0, and returns
// its version.
func (f *Fleet) Publish(ctx context.Context, router int, n *schema.ReleaseNote) (fleet.Version, error) {
	text, err := protojson.Marshal(n)
	if err != nil {
		return 0, eris.Wrap(err, "writing a release note")
	}
	answer, err := f.Operator(router).Publish(ctx, text, note.NewPublishID())
	if err != nil {
		return 0, eris.Wrap(err, "publishing a release note")
	}
	return fleet.Version(answer.GetVersion()), nil
}

// Operator returns a client of a router's administration API.
func (f *Fleet) Operator(router int) *operator.Client {
	return operator.NewClient(f.operator, "http://"+f.Routers[router].Admin.String())
}

func (f *Fleet) note() *schema.ReleaseNote {
	added := &schema.Entries{Services: []*schema.Service{
		{Id: string(ModelService), Kind: "model"},
		{Id: string(PlainService), Kind: "plain"},
	}}
	for n := range f.options.Accounts {
		added.Accounts = append(added.Accounts, &schema.Account{
			Id: fmt.Sprintf("account-%d", n+1), KeySha256: []string{note.HashKey(AccountKey(n))},
		})
	}
	for n, address := range f.Engines {
		added.Upstreams = append(added.Upstreams, &schema.Upstream{
			Id: fmt.Sprintf("engine-%d", n+1), Service: string(ModelService), Address: address,
			DataCenter: dataCenter, Slots: uint32(f.options.EngineSlots),
		})
	}
	for n, address := range f.Applications {
		added.Upstreams = append(added.Upstreams, &schema.Upstream{
			Id: fmt.Sprintf("application-%d", n+1), Service: string(PlainService), Address: address,
			DataCenter: dataCenter, Slots: uint32(f.options.ApplicationSlots),
		})
	}
	return &schema.ReleaseNote{Summary: "the services of a first look", Added: added}
}

const readyPoll = 10 * time.Millisecond

// untilReady waits until every router holds the release note and is connected
// to the others.
func (f *Fleet) untilReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		if f.ready(ctx) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "waiting for the routers")
		}
	}
}

// ready reports whether all routers count each other among the dispatchers.
// Before, two may both hold the slots of an upstream, and it is sent too much.
func (f *Fleet) ready(ctx context.Context) bool {
	for n := range f.Routers {
		list, err := f.Operator(n).Routers(ctx)
		if err != nil || len(list.GetRouters()) != len(f.Routers) {
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

// Running returns how many requests are in the batches of the engines.
func (f *Fleet) Running() int {
	running := 0
	for _, e := range f.engines {
		running += e.Running()
	}
	return running
}

// Engine returns the nth engine, from 0.
func (f *Fleet) Engine(n int) *engine.Engine { return f.engines[n] }

// Application returns the nth plain service, from 0.
func (f *Fleet) Application(n int) *application.Application { return f.applications[n] }

// Close stops the routers gracefully, then the rest.
func (f *Fleet) Close() {
	f.stop()
	for n := range f.routers {
		_ = f.Wait(n)
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.standIns.Wait()
}
