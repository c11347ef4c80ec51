package note

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/timer"
)

// Peers gives a Replica access to the other routers.
type Peers interface {
	// Routers returns the live routers without this one.
	Routers() []fleet.RouterID
	// Call calls a JSON-RPC method of a router.
	Call(ctx context.Context, router fleet.RouterID, method string, params, result any) error
}

// ReplicaOptions are the dependencies of a Replica.
type ReplicaOptions struct {
	Self  fleet.RouterID
	Store *Store
	// Peers may be nil for a router without peers.
	Peers Peers
	// Timer is the system clock when nil.
	Timer timer.Service
	// Announce announces to routers that this one holds a version. It must not
	// block, and may be nil.
	Announce func(to []fleet.RouterID, version fleet.Version)
	// Log is the default logger when nil.
	Log *slog.Logger
}

// Replica holds the current release notes of this router. Traffic reads Current
// without a lock. The version only ever increases, wherever notes come from.
type Replica struct {
	self     fleet.RouterID
	store    *Store
	peers    Peers
	timer    timer.Service
	announce func(to []fleet.RouterID, version fleet.Version)
	log      *slog.Logger

	view atomic.Pointer[View]
	// mu guards the following fields and every change of view.
	mu     sync.Mutex
	recent []*schema.NoteRecord
	// pending holds announced versions that are not fetched yet, by peer.
	pending map[fleet.RouterID]fleet.Version
	// peerVersions holds the last version that each peer announced.
	peerVersions map[fleet.RouterID]fleet.Version
	random       *rand.Rand
	encoded      encodedState

	// fetchSignal wakes followAnnouncements, pollSignal has pollTable read the
	// table now.
	fetchSignal chan struct{}
	pollSignal  chan struct{}
}

// NewReplica returns a Replica without any notes.
func NewReplica(options ReplicaOptions) *Replica {
	r := &Replica{
		self: options.Self, store: options.Store, peers: options.Peers, timer: options.Timer,
		announce: options.Announce, log: options.Log,
		pending: map[fleet.RouterID]fleet.Version{}, peerVersions: map[fleet.RouterID]fleet.Version{}, fetchSignal: make(chan struct{}, 1), pollSignal: make(chan struct{}, 1),
	}
	if r.peers == nil {
		r.peers = noPeers{}
	}
	if r.timer == nil {
		r.timer = timer.System{}
	}
	if r.log == nil {
		r.log = slog.Default()
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(r.self))
	r.random = rand.New(rand.NewPCG(seed.Sum64(), uint64(r.timer.Now().UnixNano())))
	return r
}

// noPeers is the Peers of a router without peers.
type noPeers struct{}

func (noPeers) Routers() []fleet.RouterID { return nil }

func (noPeers) Call(context.Context, fleet.RouterID, string, any, any) error {
	return errors.New("no peers")
}

// Current returns the current view, or nil before the first one.
func (r *Replica) Current() *View { return r.view.Load() }

// Ready reports whether any version is held.
func (r *Replica) Ready() bool { return r.view.Load() != nil }

// Version returns the current version, or zero before the first one.
func (r *Replica) Version() fleet.Version { return fleet.Version(r.state().GetVersion()) }

// state returns the current state, or an empty one before the first.
func (r *Replica) state() *schema.FleetState {
	if view := r.view.Load(); view != nil {
		return view.State()
	}
	return &schema.FleetState{}
}

// maxRecentRecords is how many records are kept for peers that missed some,
// about 100 KB. It covers more than one interval between snapshots.
const maxRecentRecords = 512

// ApplyRecords applies accepted records that follow the current state, and
// announces the new version. Records that are not newer are skipped, so that a
// stale read or a peer that was cut off never lowers the version. It returns
// false when a record could not be applied, usually because an earlier one is
// missing.
func (r *Replica) ApplyRecords(records ...*schema.NoteRecord) bool {
	r.mu.Lock()
	before := r.state()
	state := before
	complete := true
	for _, record := range records {
		if record.GetVersion() <= state.GetVersion() {
			continue
		}
		next, err := Apply(state, record)
		if err != nil {
			complete = false
			r.logApplyError(err)
			break
		}
		state = next
		r.recent = append(r.recent, record)
	}
	r.trimRecent()
	changed := state != before
	if changed {
		r.view.Store(NewView(state))
	}
	r.mu.Unlock()
	if changed {
		r.announceVersion(fleet.Version(state.GetVersion()))
	}
	return complete
}

// logApplyError logs a record that could not be applied. A gap is filled later,
// but a record of another history needs the attention of an operator.
func (r *Replica) logApplyError(err error) {
	var gap *GapError
	if errors.As(err, &gap) {
		r.log.Debug("earlier release notes are missing", "reason", err)
		return
	}
	r.log.Error("release note does not match the state", "reason", err)
}

func (r *Replica) trimRecent() {
	if excess := len(r.recent) - maxRecentRecords; excess > 0 {
		r.recent = append([]*schema.NoteRecord(nil), r.recent[excess:]...)
	}
}

// ApplyState makes a whole state the current one when its version is higher, and
// announces it.
func (r *Replica) ApplyState(state *schema.FleetState) {
	r.mu.Lock()
	if state.GetVersion() <= r.state().GetVersion() {
		r.mu.Unlock()
		return
	}
	r.view.Store(NewView(state))
	r.recent = nil
	r.mu.Unlock()
	r.announceVersion(fleet.Version(state.GetVersion()))
}

const (
	// pollInterval is the mean time between two reads of the head row. At 460
	// routers this makes 460 / 4 s = 115 reads a second, 6% of the table's 2,000,
	// and for each router some 300 bytes every 4 s, 2.5% of its 3 KB/s. It bounds
	// the delay of a router that received no announcement, so that a note reaches
	// every router within five seconds.
	pollInterval = 4 * time.Second
	// bootPollInterval is the interval while no version is held. A data centre
	// that recovers starts 42 routers at once: 84 reads a second.
	bootPollInterval = 500 * time.Millisecond
	// pollJitter is the fraction of the interval by which a poll is early or
	// late, so that routers that started together do not read together.
	pollJitter = 0.25
	// catchUpTimeout bounds one catch-up. The slowest reads a snapshot of 4 MB.
	catchUpTimeout = 10 * time.Second
)

// Run keeps the Replica up to date until the context ends, and returns the
// context's error. It polls the table and follows announcements concurrently:
// otherwise a table that takes a minute for a read would block updates from
// peers, and callers would be served by an old note.
func (r *Replica) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.followAnnouncements(ctx)
	}()
	r.pollTable(ctx)
	<-done
	return ctx.Err()
}

// pollTable reads the table at each interval, and at once when fetching from a
// peer failed.
func (r *Replica) pollTable(ctx context.Context) {
	for ctx.Err() == nil {
		r.runWithTimeout(ctx, r.Refresh)
		due := make(chan struct{})
		subscription := r.timer.After(r.nextPollDelay(), func(time.Time) { close(due) })
		select {
		case <-ctx.Done():
		case <-due:
		case <-r.pollSignal:
		}
		subscription.Cancel()
	}
}

// followAnnouncements fetches the versions that peers announce.
func (r *Replica) followAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.fetchSignal:
			if !r.runWithTimeout(ctx, r.FetchAnnounced) {
				notify(r.pollSignal)
			}
		}
	}
}

// notify sends on a channel of capacity one, unless a signal is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runWithTimeout runs one catch-up step and reports whether it succeeded.
func (r *Replica) runWithTimeout(ctx context.Context, step func(context.Context) error) bool {
	stepCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	err := step(stepCtx)
	if err != nil && ctx.Err() == nil {
		r.log.Warn("release notes not brought up to date", "version", r.Version(), "reason", err)
	}
	return err == nil
}

// nextPollDelay returns the interval with jitter.
func (r *Replica) nextPollDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	interval := pollInterval
	if !r.Ready() {
		interval = bootPollInterval
	}
	jitter := (2*r.random.Float64() - 1) * pollJitter
	return interval + time.Duration(jitter*float64(interval))
}

// Refresh catches up once, from the table or, when that fails, from peers, so
// that a router is updated even while the platform is down.
func (r *Replica) Refresh(ctx context.Context) error {
	r.forgetDepartedPeers()
	err := r.refreshFromTable(ctx)
	if err == nil {
		return nil
	}
	for _, router := range r.randomPeers() {
		if peerErr := r.fetchFrom(ctx, router); peerErr == nil && r.Ready() {
			return nil
		}
	}
	return err
}

func (r *Replica) refreshFromTable(ctx context.Context) error {
	head, err := r.store.Head(ctx)
	if err != nil {
		return err
	}
	state, records, err := r.store.ReadUpdates(ctx, r.Version(), head)
	if err != nil {
		return err
	}
	if state != nil {
		r.ApplyState(state)
	}
	r.ApplyRecords(records...)
	return nil
}

// maxFallbackPeers bounds how many peers are tried in turn while the table is
// down. More would gain little: the next poll tries others.
const maxFallbackPeers = 3

func (r *Replica) randomPeers() []fleet.RouterID {
	routers := append([]fleet.RouterID(nil), r.peers.Routers()...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	return routers[:min(len(routers), maxFallbackPeers)]
}
