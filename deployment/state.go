// Package deployment holds a router's state of the deployment that it serves: the
// configuration in force, the upstreams, and the requests that wait for them. A Router
// combines this state with the servers for callers and the connections to other routers.
package deployment

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/coldstart"
	"nutmeglock.example/nutmeglock/evacuation"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// unknownServiceRetryAfter is the time after which a caller should retry a request to a
// service without a known upstream; a router reads the list within about 100 ms.
const unknownServiceRetryAfter = 250 * time.Millisecond

// defaultRouterCount is the assumed number of routers in the fleet until the list is known. With an
// assumed count of one, a router would use the retry bound of the whole fleet.
const defaultRouterCount = 6

// State is a router's view of the deployment. Create it with NewState. It is safe for
// concurrent use.
type State struct {
	options StateOptions
	table   atomic.Pointer[route.Table]

	mu            sync.RWMutex
	configuration route.Configuration
	directory     registry.Directory
	pools         map[fleet.ServiceID]*turn.Pool
	// coordinator requests turns from homes in a large fleet; nil until the mesh is created.
	coordinator *home.Coordinator
	// evacuations are the data centres whose upstreams get no new requests, and coldOwnership
	// decides which cold upstreams this router may send requests to.
	evacuations   evacuation.Set
	coldOwnership coldstart.Ownership
	// grouped is set while homes grant the turns, for which upstreams are divided into groups.
	grouped      bool
	retryBudgets map[fleet.ServiceID]*retry.Budget
	// routerCount is the known number of routers in the fleet, or defaultRouterCount.
	routerCount int
	// history knows the software versions of upstreams, now and before.
	history origin.History
	// longestStream is the longest timeout, in nanoseconds, of a route whose streams can be taken up
	// again.
	longestStream atomic.Int64
	// listConfirmedAt is when the list of upstreams was last confirmed to be current.
	listConfirmedAt time.Time
	// readyAddresses are the addresses of the upstreams that take requests.
	readyAddresses map[string]bool
	// wasRestored is set once the store is known to have been restored from a copy.
	wasRestored atomic.Bool
	// avoided are the upstreams that have stated that they want no requests.
	avoided avoidance.Set[turn.Instance]
}

// StateOptions configure a State.
type StateOptions struct {
	DataCenter fleet.DataCenterID
	// RetryRatio bounds the retries of a service relative to its requests, and RetryBurst the
	// retries of the whole fleet beyond that.
	RetryRatio float64
	RetryBurst float64
	Log        *slog.Logger
	// Guard recovers from panics; nil lets them propagate.
	Guard *recovery.Guard
	// Self is this router, and ColdTolerance is what cold upstreams tolerate beyond the rate
	// of their service.
	Self          fleet.RouterID
	ColdTolerance coldstart.Tolerance
	// OnColdSkipped is called, unless it is nil, when a request can't go to the cold upstream
	// that it prefers.
	OnColdSkipped func(reason turn.ColdReason)
	// OnAvoided is called, unless it is nil, when a request can't go to an upstream that it prefers, because of
	// a backoff.
	OnAvoided func()
	// CacheEvents are called on what engines keep of prompts.
	CacheEvents CacheEvents
	// Reservations are called by the pools.
	Reservations turn.ReservationHooks
	// RecoveryTime is how recently a list of upstreams has to be confirmed to be current; zero
	// means follow.DefaultRecovery.
	RecoveryTime time.Duration
	// OnLeaving is called, unless it is nil, with the age of each change by which an upstream drains
	// or is gone, since the first router read it from the store.
	OnLeaving func(age time.Duration)
	// OnRestore is called, unless it is nil, when the router learns that the store was restored from a copy.
	OnRestore func()
	// OnKept is called, unless it is nil, with the upstreams that have left, though the restored store still lists them.
	OnKept func(kept []*schema.UpstreamChange)
	// OnChange is called, unless it is nil, with the source of each configuration or change of
	// the list of upstreams that has taken effect.
	OnChange func(source string)
}

// NewState returns a State without a configuration and upstreams.
func NewState(options StateOptions) *State {
	s := &State{
		options:      options,
		routerCount:  defaultRouterCount,
		pools:        make(map[fleet.ServiceID]*turn.Pool),
		retryBudgets: make(map[fleet.ServiceID]*retry.Budget),
	}
	s.coldOwnership.Self = options.Self
	return s
}

// Table returns the routing table of the configuration in force, nil if none is known.
func (s *State) Table() *route.Table { return s.table.Load() }

// Pool returns the pool of a service's upstreams, nil if the service isn't known.
func (s *State) Pool(service fleet.ServiceID) *turn.Pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[service]
}

// Turn waits for a request's turn at a service. It returns *turn.RefusedError if the
// request can't get its turn in time, or the error of ctx.
func (s *State) Turn(ctx context.Context, service fleet.ServiceID, request turn.Request) (home.Ticket, error) {
	pool := s.Pool(service)
	request.Avoid = &s.avoided
	switch {
	case pool == nil:
		return nil, &turn.RefusedError{NoUpstream: true, RetryAfter: unknownServiceRetryAfter}
	case s.coordinator == nil:
		return home.AwaitLocal(ctx, pool, request)
	}
	return s.coordinator.RequestTurn(ctx, service, pool, request)
}

// setGrouped sets whether homes grant the turns.
func (s *State) setGrouped(grouped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grouped = grouped
	for _, pool := range s.pools {
		pool.SetGrouped(time.Now(), grouped)
	}
}

// Pools returns the pools of all services.
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
	budget := s.retryBudgets[service]
	if budget == nil {
		budget = &retry.Budget{Ratio: s.options.RetryRatio, Burst: s.options.RetryBurst / float64(s.routerCount)}
		s.retryBudgets[service] = budget
	}
	return budget
}

// SetRouterCount divides the fleet's bound on retries by the number of routers.
func (s *State) SetRouterCount(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routerCount = max(count, 1)
	s.coldOwnership.SetFleetSize(s.routerCount)
	for _, budget := range s.retryBudgets {
		budget.SetBurst(s.options.RetryBurst / float64(s.routerCount))
	}
}

// Ready reports whether the router can serve, that is, knows a configuration and the list of
// upstreams.
func (s *State) Ready() bool { return s.Table() != nil && s.directory.IsLoaded() }

// Configure puts a configuration in force if it is newer than the current one, and reports
// whether it did. An older one may arrive late in a slow reply or from another router;
// applying it would make withdrawn keys and routes valid again.
func (s *State) Configure(c route.Configuration, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Table().Version()
	isKnown := s.Table() != nil
	switch {
	case isKnown && !c.IsNewerThan(&s.configuration), !isKnown && c.Version <= before:
		return false
	case isKnown && c.Version == before && c.HasContentOf(&s.configuration):
		s.configuration.Revision = c.Revision
		return false
	}
	s.configuration = c
	s.table.Store(route.NewTable(c))
	s.longestStream.Store(int64(longestStreamOf(c)))
	s.options.Log.Info("configuration in force", "version", c.Version, "before", before, "era", c.Revision.Era(), "from", source,
		"routes", len(c.Routes), "services", len(c.Services), "accounts", len(c.Accounts))
	s.refreshPools(time.Now())
	s.notify(source)
	return true
}

// ReplaceUpstreams replaces the list of upstreams by a complete one as of a revision.
func (s *State) ReplaceUpstreams(list []registry.Change, as registry.Revision, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logSuperseded(list, source)
	s.applyChanges(s.directory.Replace(time.Now(), list, as), source)
	s.handleRestore(source)
	s.logDeferrals()
	s.scheduleRemoval()
}

// ApplyUpstreams applies changes of the list of upstreams.
func (s *State) ApplyUpstreams(changes []registry.Change, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logSuperseded(changes, source)
	s.applyChanges(s.directory.Apply(time.Now(), changes), source)
	s.logDeferrals()
	s.scheduleRemoval()
}

// ApplyUpstreamsFromPeer applies what another router has told of the list of upstreams.
func (s *State) ApplyUpstreamsFromPeer(told *schema.Knowledge, source string) {
	now := time.Now()
	era := s.upstreamPosition().Known.Era()
	answer := registry.Answer{
		Version: registry.DecodeRevision(told.UpstreamEra, told.GetUpstreamRevision(), era),
		Known:   registry.DecodeRevision(told.UpstreamEra, told.GetUpstreamKnown(), era), Whole: told.GetWholeList(),
	}
	for _, c := range told.GetUpstreams() {
		answer.Changes = append(answer.Changes, registry.DecodeWithin(now, c, era))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyChanges(s.directory.ApplyFromPeer(now, answer), source)
	s.handleRestore(source)
	s.logDeferrals()
	s.scheduleRemoval()
}

// upstreamPosition returns what the list of upstreams is up to date with.
func (s *State) upstreamPosition() registry.Position { return s.directory.Position() }

// SettledRevision returns the revision up to which all changes have taken effect here.
func (s *State) SettledRevision() registry.Revision { return s.directory.SettledRevision() }

// SetUpstreamsUnavailable records that the list of upstreams can't be read.
func (s *State) SetUpstreamsUnavailable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.SetUnavailable(time.Now())
}

// SetUpstreamsAvailable records that the list of upstreams can be read again. Entries that
// vanished in the outage are removed later if they don't return.
func (s *State) SetUpstreamsAvailable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.SetAvailable(time.Now())
	s.scheduleRemoval()
}

// scheduleRemoval schedules removeDue for the time of the next pending removal, if there is one.
func (s *State) scheduleRemoval() {
	if due, ok := s.directory.NextRemoval(); ok {
		time.AfterFunc(time.Until(due)+time.Millisecond, func() { s.options.Guard.RunControl(s.removeDue) })
	}
}

// removeDue removes the entries that vanished in an outage and did not return in time.
func (s *State) removeDue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyChanges(s.directory.RemoveDue(time.Now()), "lapsed in an outage")
	s.announceKept()
	s.scheduleRemoval()
}

// applyChanges logs changes that the directory has accepted, and updates the pools.
func (s *State) applyChanges(changes []registry.Change, source string) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		s.options.Log.Info("upstream changed", "upstream", c.Upstream.ID, "service", c.Upstream.Service,
			"address", c.Upstream.Address, "life", c.Upstream.StartTime, "software", c.Upstream.Software, "draining", c.Upstream.Draining,
			"gone", c.Removed, "cold-ms", max(time.Until(c.Upstream.ColdUntil), 0).Milliseconds(), "era", c.Revision.Era(), "revision", c.Revision.Number(),
			"from", source, "age-ms", ageMillis(c.ReadAt), "complete-up-to", s.directory.SettledRevision().Number())
		if c.Removed && c.Upstream.StartTime == 0 {
			s.avoided.Forget(turn.InstanceOf(c.Upstream)) // the next process would have the same key
		}
		if s.options.OnLeaving != nil && (c.Removed || c.Upstream.Draining) && !c.ReadAt.IsZero() {
			s.options.OnLeaving(time.Since(c.ReadAt))
		}
	}
	s.refreshPools(time.Now())
	s.notify(source)
}

// logSuperseded logs changes from the store that will have no effect, because the entry has a later revision, though
// they contradict it.
func (s *State) logSuperseded(changes []registry.Change, source string) {
	for _, c := range changes {
		held, known := s.directory.Get(c.Upstream.ID)
		if !known || c.Revision >= held.Revision || c.Removed == held.Removed && c.Upstream.Draining == held.Upstream.Draining {
			continue
		}
		s.options.Log.Info("upstream change superseded", "upstream", c.Upstream.ID, "life", c.Upstream.StartTime, "draining", c.Upstream.Draining,
			"gone", c.Removed, "era", c.Revision.Era(), "revision", c.Revision.Number(), "held-era", held.Revision.Era(),
			"held-revision", held.Revision.Number(), "held-draining", held.Upstream.Draining, "held-gone", held.Removed, "from", source)
	}
}

// logDeferrals logs the removals that don't take effect yet.
func (s *State) logDeferrals() {
	for _, d := range s.directory.TakeDeferrals() {
		until := int64(-1)
		if !d.Until.IsZero() {
			until = time.Until(d.Until).Milliseconds()
		}
		s.options.Log.Info("upstream removal deferred", "upstream", d.Upstream, "era", d.Revision.Era(), "revision", d.Revision.Number(),
			"until-ms", until, "complete-up-to", s.directory.SettledRevision().Number())
	}
}

// ageMillis returns how long ago something was read in milliseconds, and -1 if that is unknown.
func ageMillis(readAt time.Time) int64 {
	if readAt.IsZero() {
		return -1
	}
	return time.Since(readAt).Milliseconds()
}

// notify calls OnChange in a goroutine of its own, since OnChange reads the state and the
// caller holds the lock.
func (s *State) notify(source string) {
	if s.options.OnChange != nil {
		go s.options.Guard.Run(recovery.Update, func() { s.options.OnChange(source) }, "from", source)
	}
}

func (s *State) logOutlier(u registry.Upstream) {
	s.options.Log.Warn("upstream taken out", "upstream", u.ID, "service", u.Service, "address", u.Address, "life", u.StartTime)
}

// HasAddress reports whether address is that of an upstream that accepts new requests.
func (s *State) HasAddress(address string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.readyAddresses[address]
}

// Upstream returns the latest change of an upstream's entry, and whether there is one.
func (s *State) Upstream(id fleet.UpstreamID) (registry.Change, bool) { return s.directory.Get(id) }

// countUpstreams returns the number of upstreams of a service that are listed.
func (s *State) countUpstreams(service fleet.ServiceID) int {
	return len(s.directory.Ready()[service]) + len(s.directory.Draining()[service])
}

// LeavingSince returns when the first router read that an upstream drains or is gone, zero if that
// is unknown, and whether it does.
func (s *State) LeavingSince(u registry.Upstream) (time.Time, bool) {
	latest, known := s.directory.Get(u.ID)
	leaving := known && latest.Upstream.StartTime == u.StartTime && (latest.Removed || latest.Upstream.Draining)
	return latest.ReadAt, leaving
}

// Upstreams returns the latest change of each entry, removals included, except for entries whose
// removal is pending.
func (s *State) Upstreams() []registry.Change { return s.directory.Changes() }
