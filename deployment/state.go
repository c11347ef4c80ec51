// Package deployment holds what a router knows of the deployment that it
// serves: the configuration in force, the upstreams, and who waits for them. A
// Router puts these together with what callers connect to.
package deployment

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// unknownServiceRetryAfter is when a caller comes back to a service of which no
// upstream is known yet; a router learns the list within some 100 ms.
const unknownServiceRetryAfter = 250 * time.Millisecond

// usualRouters is how many routers a fleet is taken to have before its list is
// known. A router that believed to be alone would use the whole fleet's bound.
const usualRouters = 6

// State is what a router knows. Make it by NewState. It is safe for concurrent use.
type State struct {
	options StateOptions
	table   atomic.Pointer[route.Table]

	mu            sync.RWMutex
	configuration route.Configuration
	directory     registry.Directory
	pools         map[fleet.ServiceID]*turn.Pool
	// homes give the turns in a large fleet; nil until the mesh is made.
	homes *home.Homes
	// grouped is true while homes decide.
	grouped bool
	retries map[fleet.ServiceID]*retry.Budget
	// routers is how many the fleet has, as far as known.
	routers int
	// addresses are those of the upstreams that take requests.
	addresses map[string]bool
}

// StateOptions configure a State.
type StateOptions struct {
	DataCenter fleet.DataCenterID
	// RetryRatio bounds the retries of a service in relation to its requests, and
	// RetryBurst those of the whole fleet beyond that.
	RetryRatio float64
	RetryBurst float64
	Log        *slog.Logger
	// Guard contains panics; nil lets them pass.
	Guard *recovery.Guard
	// OnChange is called, unless it is nil, when a configuration or a change of
	// the list has taken effect here, with its source.
	OnChange func(from string)
}

// NewState returns a State that knows nothing yet.
func NewState(options StateOptions) *State {
	return &State{
		options: options,
		routers: usualRouters,
		pools:   make(map[fleet.ServiceID]*turn.Pool),
		retries: make(map[fleet.ServiceID]*retry.Budget),
	}
}

// Table returns the configuration in force, nil when none is known.
func (s *State) Table() *route.Table { return s.table.Load() }

// Pool returns the upstreams of a service, nil when it isn't known.
func (s *State) Pool(service fleet.ServiceID) *turn.Pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[service]
}

// Turn waits for a request's turn at a service. The error is *turn.RefusedError
// when the turn can't come in time, or that of ctx.
func (s *State) Turn(ctx context.Context, service fleet.ServiceID, demand turn.Demand) (home.Ticket, error) {
	pool := s.Pool(service)
	switch {
	case pool == nil:
		return nil, &turn.RefusedError{NoUpstream: true, RetryAfter: unknownServiceRetryAfter}
	case s.homes == nil:
		return home.Await(ctx, pool, demand)
	}
	return s.homes.Turn(ctx, service, pool, demand)
}

// setGrouped says whether homes decide.
func (s *State) setGrouped(grouped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grouped = grouped
	for _, pool := range s.pools {
		pool.SetGrouped(time.Now(), grouped)
	}
}

// Pools returns the upstreams of all services.
func (s *State) Pools() map[fleet.ServiceID]*turn.Pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make(map[fleet.ServiceID]*turn.Pool, len(s.pools))
	for id, pool := range s.pools {
		all[id] = pool
	}
	return all
}

// Retries returns the retry policy of a service.
func (s *State) Retries(service fleet.ServiceID) retry.Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.retries[service]
	if budget == nil {
		budget = &retry.Budget{Ratio: s.options.RetryRatio, Burst: s.options.RetryBurst / float64(s.routers)}
		s.retries[service] = budget
	}
	return budget
}

// SetRouters divides the fleet's bound on retries among so many routers.
func (s *State) SetRouters(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers = max(count, 1)
	for _, budget := range s.retries {
		budget.Resize(s.options.RetryBurst / float64(s.routers))
	}
}

// Ready reports whether the router can serve: it knows a configuration and the
// list of upstreams.
func (s *State) Ready() bool { return s.Table() != nil && s.directory.Known() }

// Configure puts a configuration in force if it is newer than the one before.
// An older one may come late from a slow reply or another router; to go back
// to it would bring withdrawn keys and routes to life again.
func (s *State) Configure(c route.Configuration, from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Table().Version()
	if c.Version <= before {
		return false
	}
	s.configuration = c
	s.table.Store(route.NewTable(c))
	s.options.Log.Info("configuration in force", "version", c.Version, "before", before, "from", from,
		"routes", len(c.Routes), "services", len(c.Services), "accounts", len(c.Accounts))
	s.refresh(time.Now())
	s.notify(from)
	return true
}

// ReplaceUpstreams takes a whole read of the list.
func (s *State) ReplaceUpstreams(list []registry.Change, as registry.Revision, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed(s.directory.Replace(time.Now(), list, as), from)
	s.settleWhenDue()
}

// ApplyUpstreams takes changes of the list.
func (s *State) ApplyUpstreams(changes []registry.Change, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed(s.directory.Apply(time.Now(), changes), from)
	s.settleWhenDue()
}

// ReceiveUpstreams takes changes from another router, and up to which revision they
// are complete.
func (s *State) ReceiveUpstreams(received []*schema.UpstreamChange, complete registry.Revision, from string) {
	changes := make([]registry.Change, 0, len(received))
	for _, c := range received {
		changes = append(changes, registry.Decode(c))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed(s.directory.Receive(time.Now(), changes, complete), from)
}

// Settled returns the revision up to which all changes took effect here.
func (s *State) Settled() registry.Revision { return s.directory.Settled() }

// LoseUpstreams says that the list can't be read.
func (s *State) LoseUpstreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.Lost()
}

// RegainUpstreams says that the list can be read again. Entries that lapsed
// meanwhile and don't come back are dropped later.
func (s *State) RegainUpstreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.Regained(time.Now())
	s.settleWhenDue()
}

// settleWhenDue looks again when the first lapsed entry is gone.
func (s *State) settleWhenDue() {
	if due, some := s.directory.Due(); some {
		time.AfterFunc(time.Until(due)+time.Millisecond, func() { s.options.Guard.RunControl(s.settle) })
	}
}

func (s *State) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed(s.directory.Settle(time.Now()), "lapsed in an outage")
	s.settleWhenDue()
}

// changed logs what changed, and makes it take effect.
func (s *State) changed(changes []registry.Change, from string) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		s.options.Log.Info("upstream changed", "upstream", c.Upstream.ID, "service", c.Upstream.Service,
			"address", c.Upstream.Address, "life", c.Upstream.Life, "draining", c.Upstream.Draining,
			"gone", c.Gone, "revision", c.Revision, "from", from)
	}
	s.refresh(time.Now())
	s.notify(from)
}

// notify calls OnChange without the lock: it reads the state.
func (s *State) notify(from string) {
	if s.options.OnChange != nil {
		go s.options.Guard.Run(recovery.Update, func() { s.options.OnChange(from) }, "from", from)
	}
}

// refresh gives each service's pool its upstreams.
func (s *State) refresh(now time.Time) {
	table := s.Table()
	ready := s.directory.Ready()
	s.addresses = make(map[string]bool)
	for service, upstreams := range ready {
		configured, ok := table.Service(service)
		if !ok {
			continue
		}
		pool := s.pool(service, configured)
		for i := range upstreams {
			s.addresses[upstreams[i].Address] = true
		}
		pool.Set(now, upstreams, table.FirstEventTarget(service))
	}
	for service, pool := range s.pools {
		if len(ready[service]) == 0 {
			pool.Set(now, nil, table.FirstEventTarget(service))
		}
	}
}

// pool returns the pool of a service. Model engines are chosen by their caches,
// plain applications by what is in flight.
func (s *State) pool(id fleet.ServiceID, configured *route.Service) *turn.Pool {
	if pool := s.pools[id]; pool != nil {
		return pool
	}
	pool := &turn.Pool{DataCenter: s.options.DataCenter, OnOutlier: s.logOutlier}
	if configured.CacheTokens == 0 {
		pool.Placement = turn.LeastLoaded{}
	}
	pool.SetGrouped(time.Now(), s.grouped)
	s.pools[id] = pool
	return pool
}

func (s *State) logOutlier(u registry.Upstream) {
	s.options.Log.Warn("upstream taken out", "upstream", u.ID, "service", u.Service, "address", u.Address, "life", u.Life)
}

// HasAddress reports whether an upstream that takes requests has an address.
func (s *State) HasAddress(address string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.addresses[address]
}

// Upstream returns the latest change of an upstream's entry, and whether there is one.
func (s *State) Upstream(id fleet.UpstreamID) (registry.Change, bool) { return s.directory.Get(id) }

// Upstreams returns all that is known of the list.
func (s *State) Upstreams() []registry.Change { return s.directory.Changes() }
