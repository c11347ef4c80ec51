package deployment

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/registry"
)

// Member is a router's entry in the fleet's list of routers.
type Member struct {
	ID fleet.RouterID
	// Address is the address that other routers connect to.
	Address string
	// Removed is set if the entry was removed.
	Removed bool
}

// MemberStore is the fleet's list of routers, stored at the platform.
type MemberStore interface {
	follow.Feed[Member, registry.Revision]
	// Register writes an entry.
	Register(ctx context.Context, m Member) error
	// Withdraw removes an entry.
	Withdraw(ctx context.Context, id fleet.RouterID) error
}

const (
	// memberPollWait is how long one call waits for a change of the list of routers.
	// Starting routers connect to the others themselves, so changes are never urgent.
	memberPollWait = 20 * time.Second
	// memberStartupTime is how long after its start a router doesn't poll the list again: all
	// routers of a fleet start together, and the store would send each entry to all.
	memberStartupTime = 3 * time.Second
	// withdrawTimeout bounds the removal of the router's own entry at shutdown. An entry that
	// remains costs the other routers an occasional attempt to connect.
	withdrawTimeout = time.Second
)

// withdrawnMemberRetention is how long routers try to connect to one that has withdrawn. Most
// routers that stop are restarted at the same address within seconds.
const withdrawnMemberRetention = time.Minute

// memberFollower follows the list of routers.
//
// It first reads the list when the router's own entry is in it. Of two routers that start
// together, the one that registered later then finds the other and connects to it, so
// neither has to read the list again. With three reads each, 91 routers would make 270 calls to
// the store in the first seconds. If the first attempt to write the entry fails, the list is read
// all the same: a store that refuses the entry may still return those of other routers.
type memberFollower struct {
	follow.Follower[Member, registry.Revision]
	startedAt time.Time
	// knownRouters returns how many routers the fleet has according to the list.
	knownRouters func() int
	registration *registration
	// readBeforeRegistration is set if the list was first read before the router's own entry was
	// written, until it is read again.
	readBeforeRegistration atomic.Bool
}

func (f *memberFollower) run(ctx context.Context) error {
	select {
	case <-f.registration.attempted:
	case <-ctx.Done():
		return ctx.Err()
	}
	f.readBeforeRegistration.Store(!f.registration.done.Load())
	return f.Run(ctx)
}

// pollInterval returns how long the list need not be polled.
func (f *memberFollower) pollInterval() time.Duration {
	switch {
	case f.registration.done.Load() && f.readBeforeRegistration.CompareAndSwap(true, false):
		return 0
	case fleet.IsLarge(f.knownRouters()) || time.Since(f.startedAt) < memberStartupTime:
		return follow.StandbyPollInterval(f.knownRouters())
	default:
		return 0
	}
}

// memberSink sets the routers to connect to.
//
// A router that starts while the store refuses its calls knows no other router and can't serve,
// unless the others remember its address and connect to it. So they keep trying a router that
// withdrew, or lost its entry, for a while.
type memberSink struct {
	self  fleet.RouterID
	peers *peer.Peers
	state *State

	mu        sync.Mutex
	addresses map[fleet.RouterID]string
	// leftAt holds when each router without an entry withdrew or lost it.
	leftAt map[fleet.RouterID]time.Time
}

// Replace replaces the whole list.
func (s *memberSink) Replace(rows []Member, as registry.Revision) {
	s.mu.Lock()
	listed := make(map[fleet.RouterID]bool, len(rows))
	for _, m := range rows {
		listed[m.ID] = true
	}
	for id := range s.addresses {
		if !listed[id] {
			s.markLeft(id)
		}
	}
	s.mu.Unlock()
	s.Apply(rows, as)
}

// Apply applies changes of the list.
func (s *memberSink) Apply(rows []Member, _ registry.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses == nil {
		s.addresses = make(map[fleet.RouterID]string)
	}
	for _, m := range rows {
		switch {
		case m.ID == s.self:
		case m.Removed:
			s.markLeft(m.ID)
		default:
			s.addresses[m.ID] = m.Address
			delete(s.leftAt, m.ID)
		}
	}
	s.dropExpired(time.Now())
	s.peers.SetTargets(maps.Clone(s.addresses))
	s.state.SetRouterCount(len(s.addresses) + 1)
}

// markLeft records that a router has no entry any more.
func (s *memberSink) markLeft(id fleet.RouterID) {
	if s.leftAt == nil {
		s.leftAt = make(map[fleet.RouterID]time.Time)
	}
	if _, known := s.leftAt[id]; !known {
		s.leftAt[id] = time.Now()
	}
}

// dropExpired drops the routers whose retention has expired and that aren't connected.
func (s *memberSink) dropExpired(now time.Time) {
	connected := s.peers.Routers()
	for id, at := range s.leftAt {
		if now.Sub(at) >= withdrawnMemberRetention && !slices.Contains(connected, id) {
			delete(s.leftAt, id)
			delete(s.addresses, id)
		}
	}
}

// handleConnectionChange records the address of a router that has connected. It may have no
// entry, if the store refused it.
func (s *memberSink) handleConnectionChange(c peer.Change) {
	if !c.Connected {
		return
	}
	s.Apply([]Member{{ID: c.Router, Address: c.Address}}, 0)
}

// knownRouters returns the number of known routers, connected or not: while many routers start,
// connecting to them takes longer than reading their list.
func (s *memberSink) knownRouters() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.addresses) + 1
}

// otherRouters returns all other known routers, connected or not.
func (s *memberSink) otherRouters() []fleet.RouterID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.addresses))
}

// SetUnavailable and SetAvailable do nothing: routers stay connected to those they know.
func (*memberSink) SetUnavailable(error) {}
func (*memberSink) SetAvailable()        {}

// registration tells how far the write of the router's own entry is.
type registration struct {
	// attempted is closed after the first attempt.
	attempted chan struct{}
	// done is set once the entry is written.
	done atomic.Bool
	// lost receives a value when the entry may have been lost.
	lost chan struct{}
}

func newRegistration() *registration {
	return &registration{attempted: make(chan struct{}), lost: make(chan struct{}, 1)}
}

// renew has the entry written again.
func (r *registration) renew() {
	select {
	case r.lost <- struct{}{}:
	default: // it is to be written already
	}
}

// maxRenewalDelay spreads the writes of routers whose entries were lost together.
const maxRenewalDelay = time.Second

// register writes the router's own entry, and again whenever it may have been lost, until ctx ends.
func (r *Router) register(ctx context.Context) error {
	attempted := sync.OnceFunc(func() { close(r.registration.attempted) })
	defer attempted()
	for ctx.Err() == nil {
		r.writeEntry(ctx, attempted)
		select {
		case <-r.registration.lost:
			sleep(ctx, rand.N(maxRenewalDelay))
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// writeEntry writes the router's own entry, retrying until it is written.
func (r *Router) writeEntry(ctx context.Context, attempted func()) {
	own := Member{ID: r.options.Self, Address: r.options.PeerAddress}
	written := retryUntilSuccess(ctx, func(ctx context.Context) error { return r.options.MemberStore.Register(ctx, own) },
		func(err error) {
			r.options.Log.Warn("not registered", "error", err)
			attempted()
		})
	if written {
		r.options.Log.Info("registered", "address", own.Address)
		r.registration.done.Store(true)
		attempted()
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// withdraw removes the router's own entry.
func (r *Router) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	err := r.options.MemberStore.Withdraw(ctx, r.options.Self)
	r.options.Log.Info("withdrawn", "error", err)
}
