package deployment

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/registry"
)

// Member is a router's entry in the fleet's list.
type Member struct {
	ID fleet.RouterID
	// Address is where other routers connect to.
	Address string
	Gone    bool
}

// Members is the fleet's list of routers, which lasts at the platform.
type Members interface {
	follow.Feed[Member, registry.Revision]
	// Register writes an entry.
	Register(ctx context.Context, m Member) error
	// Withdraw removes an entry.
	Withdraw(ctx context.Context, id fleet.RouterID) error
}

const (
	// memberWait is how long one call waits for a change of the list of routers.
	// Routers that start connect to the others themselves, so news here is
	// never urgent.
	memberWait = 20 * time.Second
	// memberStart is how long after its start a router doesn't look at the list again:
	// all routers of a fleet start together, and each entry would be told to all.
	memberStart = 3 * time.Second
	// memberCalm is the same later on in a large fleet.
	memberCalm = 30 * time.Second
	// memberPatience is how long the first look at the list waits for the own entry
	// to be written, which takes some milliseconds. A store that takes no entry may
	// tell the others all the same.
	memberPatience = 500 * time.Millisecond
	// withdrawTimeout bounds the removal of the own entry at a shutdown. An entry
	// that stays costs the others an attempt to connect now and then.
	withdrawTimeout = time.Second
)

// memberMemory is how long a router is tried that has withdrawn. Most that stop
// are started again at the same address within seconds.
const memberMemory = time.Minute

// memberList follows the list of routers.
//
// It looks at the list once its own entry is in it. Of two routers that start
// together, the one whose entry is later then finds the other, and connects to it,
// so neither has to look again. At 91 routers, each that looked three times before
// made 270 calls to the store in the first seconds.
type memberList struct {
	follow.Follower[Member, registry.Revision]
	started    time.Time
	isLarge    func() bool
	registered chan struct{}
	// missed is set while the first look came before the own entry.
	missed atomic.Bool
}

func (l *memberList) run(ctx context.Context) error {
	select {
	case <-l.registered:
	case <-time.After(memberPatience):
		l.missed.Store(true)
	case <-ctx.Done():
		return ctx.Err()
	}
	return l.Run(ctx)
}

// rest returns how long the list need not be looked at.
func (l *memberList) rest() time.Duration {
	select {
	case <-l.registered:
		if l.missed.CompareAndSwap(true, false) {
			return 0
		}
	default:
	}
	switch {
	case time.Since(l.started) < memberStart:
		return memberStart
	case l.isLarge():
		return memberCalm
	default:
		return 0
	}
}

// memberSink tells the mesh which routers to connect to.
//
// A router that starts while the store refuses it knows nobody, and can serve
// nobody, unless the others remember where it was and connect to it. So a router
// that withdrew, or has no entry any more, is tried for a while.
type memberSink struct {
	self  fleet.RouterID
	peers *peer.Peers
	state *State

	mu        sync.Mutex
	addresses map[fleet.RouterID]string
	// left is when a router withdrew.
	left map[fleet.RouterID]time.Time
}

// Replace takes the whole list.
func (s *memberSink) Replace(rows []Member, as registry.Revision) {
	s.mu.Lock()
	listed := make(map[fleet.RouterID]bool, len(rows))
	for _, m := range rows {
		listed[m.ID] = true
	}
	for id := range s.addresses {
		if !listed[id] {
			s.leave(id)
		}
	}
	s.mu.Unlock()
	s.Apply(rows, as)
}

// Apply takes changes of the list.
func (s *memberSink) Apply(rows []Member, _ registry.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses == nil {
		s.addresses = make(map[fleet.RouterID]string)
	}
	for _, m := range rows {
		switch {
		case m.ID == s.self:
		case m.Gone:
			s.leave(m.ID)
		default:
			s.addresses[m.ID] = m.Address
			delete(s.left, m.ID)
		}
	}
	s.forget(time.Now())
	s.peers.Target(maps.Clone(s.addresses))
	s.state.SetRouters(len(s.addresses) + 1)
}

// leave notes that a router has no entry any more.
func (s *memberSink) leave(id fleet.RouterID) {
	if s.left == nil {
		s.left = make(map[fleet.RouterID]time.Time)
	}
	if _, known := s.left[id]; !known {
		s.left[id] = time.Now()
	}
}

// forget drops the routers that left long ago and aren't connected.
func (s *memberSink) forget(now time.Time) {
	connected := s.peers.Routers()
	for id, at := range s.left {
		if now.Sub(at) >= memberMemory && !slices.Contains(connected, id) {
			delete(s.left, id)
			delete(s.addresses, id)
		}
	}
}

// heard takes the address of a router that has connected. Such a router may
// have no entry, if the store refused it.
func (s *memberSink) heard(c peer.Change) {
	if !c.Connected {
		return
	}
	s.Apply([]Member{{ID: c.Router, Address: c.Address}}, 0)
}

// Lost and Regained change nothing: routers connect to whom they know.
func (*memberSink) Lost(error) {}
func (*memberSink) Regained()  {}

// register writes the own entry, trying until it is written or ctx ends.
func (r *Router) register(ctx context.Context) error {
	own := Member{ID: r.options.Self, Address: r.options.PeerAddress}
	written := persist(ctx, func(ctx context.Context) error { return r.options.Members.Register(ctx, own) },
		func(err error) { r.options.Log.Warn("not registered", "error", err) })
	if written {
		r.options.Log.Info("registered", "address", own.Address)
		close(r.registered)
		<-ctx.Done()
	}
	return ctx.Err()
}

// withdraw removes the own entry.
func (r *Router) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	err := r.options.Members.Withdraw(ctx, r.options.Self)
	r.options.Log.Info("withdrawn", "error", err)
}
