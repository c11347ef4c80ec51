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

// Peers gives a Holder access to the other routers.
type Peers interface {
	// Routers returns the live routers without this one.
	Routers() []fleet.RouterID
	// Call calls a JSON-RPC method of a router.
	Call(ctx context.Context, router fleet.RouterID, method string, params, result any) error
}

// ReplicaOptions are the dependencies of a Holder.
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

// NewReplica returns a Holder without any notes.
func NewReplica(options ReplicaOptions) *Replica {
	h := &Replica{
		self: options.Self, store: options.Store, peers: options.Peers, timer: options.Timer,
		announce: options.Announce, log: options.Log,
		pending: map[fleet.RouterID]fleet.Version{}, peerVersions: map[fleet.RouterID]fleet.Version{}, fetchSignal: make(chan struct{}, 1), pollSignal: make(chan struct{}, 1),
	}
	if h.peers == nil {
		h.peers = noPeers{}
	}
	if h.timer == nil {
		h.timer = timer.System{}
	}
	if h.log == nil {
		h.log = slog.Default()
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(h.self))
	h.random = rand.New(rand.NewPCG(seed.Sum64(), uint64(h.timer.Now().UnixNano())))
	return h
}

// noPeers is the Peers of a router without peers.
type noPeers struct{}

func (noPeers) Routers() []fleet.RouterID { return nil }

func (noPeers) Call(context.Context, fleet.RouterID, string, any, any) error {
	return errors.New("no peers")
}

// Current returns the current view, or nil before the first one.
func (h *Replica) Current() *View { return h.view.Load() }

// Ready reports whether any version is held.
func (h *Replica) Ready() bool { return h.view.Load() != nil }

// Version returns the current version, or zero before the first one.
func (h *Replica) Version() fleet.Version { return fleet.Version(h.state().GetVersion()) }

// state returns the current state, or an empty one before the first.
func (h *Replica) state() *schema.FleetState {
	if view := h.view.Load(); view != nil {
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
func (h *Replica) ApplyRecords(records ...*schema.NoteRecord) bool {
	h.mu.Lock()
	before := h.state()
	state := before
	complete := true
	for _, record := range records {
		if record.GetVersion() <= state.GetVersion() {
			continue
		}
		next, err := Apply(state, record)
		if err != nil {
			complete = false
			h.logApplyError(err)
			break
		}
		state = next
		h.recent = append(h.recent, record)
	}
	h.trimRecent()
	changed := state != before
	if changed {
		h.view.Store(NewView(state))
	}
	h.mu.Unlock()
	if changed {
		h.announceVersion(fleet.Version(state.GetVersion()))
	}
	return complete
}

// logApplyError logs a record that could not be applied. A gap is filled later;
// a record of another history is a fault that an operator must know of.
func (h *Replica) logApplyError(err error) {
	var gap *GapError
	if errors.As(err, &gap) {
		h.log.Debug("earlier release notes are missing", "reason", err)
		return
	}
	h.log.Error("release note does not match the state", "reason", err)
}

func (h *Replica) trimRecent() {
	if excess := len(h.recent) - maxRecentRecords; excess > 0 {
		h.recent = append([]*schema.NoteRecord(nil), h.recent[excess:]...)
	}
}

// ApplyState makes a whole state the current one when its version is higher, and
// announces it.
func (h *Replica) ApplyState(state *schema.FleetState) {
	h.mu.Lock()
	if state.GetVersion() <= h.state().GetVersion() {
		h.mu.Unlock()
		return
	}
	h.view.Store(NewView(state))
	h.recent = nil
	h.mu.Unlock()
	h.announceVersion(fleet.Version(state.GetVersion()))
}

const (
	// pollInterval is the mean time between two reads of the head row. At 460
	// routers this makes 460 / 4 s = 115 reads a second, 6% of the table's 2,000,
	// and for each router some 300 bytes every 4 s, 2.5% of its 3 KB/s. It bounds
	// the delay of a router that received no announcement, so that a note reaches
	// every router within five seconds.
	pollInterval = 4 * time.Second
	// bootPollInterval is the interval while no version is held. A data centre
	// that comes back starts 42 routers at once: 84 reads a second.
	bootPollInterval = 500 * time.Millisecond
	// pollJitter is the fraction of the interval by which a poll is early or
	// late, so that routers that started together do not read together.
	pollJitter = 0.25
	// catchUpTimeout bounds one catch-up. The slowest reads a snapshot of 4 MB.
	catchUpTimeout = 10 * time.Second
)

// Run keeps the Holder up to date until the context ends, and returns the
// context's error. It polls the table and follows announcements concurrently:
// otherwise a table that takes a minute for a read would block updates from
// peers, and callers would be served by an old note.
func (h *Replica) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.followAnnouncements(ctx)
	}()
	h.pollTable(ctx)
	<-done
	return ctx.Err()
}

// pollTable reads the table at each interval, and at once when fetching from a
// peer failed.
func (h *Replica) pollTable(ctx context.Context) {
	for ctx.Err() == nil {
		h.runWithTimeout(ctx, h.Refresh)
		due := make(chan struct{})
		subscription := h.timer.After(h.nextPollDelay(), func(time.Time) { close(due) })
		select {
		case <-ctx.Done():
		case <-due:
		case <-h.pollSignal:
		}
		subscription.Cancel()
	}
}

// followAnnouncements fetches the versions that peers announce.
func (h *Replica) followAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.fetchSignal:
			if !h.runWithTimeout(ctx, h.FetchAnnounced) {
				notify(h.pollSignal)
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
func (h *Replica) runWithTimeout(ctx context.Context, step func(context.Context) error) bool {
	stepCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	err := step(stepCtx)
	if err != nil && ctx.Err() == nil {
		h.log.Warn("updating release notes failed", "version", h.Version(), "reason", err)
	}
	return err == nil
}

// nextPollDelay returns the interval with jitter.
func (h *Replica) nextPollDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	interval := pollInterval
	if !h.Ready() {
		interval = bootPollInterval
	}
	jitter := (2*h.random.Float64() - 1) * pollJitter
	return interval + time.Duration(jitter*float64(interval))
}

// Refresh catches up once, from the table or, when that fails, from peers, so
// that a router is updated even while the platform is down.
func (h *Replica) Refresh(ctx context.Context) error {
	h.forgetDepartedPeers()
	err := h.refreshFromTable(ctx)
	if err == nil {
		return nil
	}
	for _, router := range h.randomPeers() {
		if peerErr := h.fetchFrom(ctx, router); peerErr == nil && h.Ready() {
			return nil
		}
	}
	return err
}

func (h *Replica) refreshFromTable(ctx context.Context) error {
	head, err := h.store.Head(ctx)
	if err != nil {
		return err
	}
	state, records, err := h.store.ReadUpdates(ctx, h.Version(), head)
	if err != nil {
		return err
	}
	if state != nil {
		h.ApplyState(state)
	}
	h.ApplyRecords(records...)
	return nil
}

// maxFallbackPeers bounds how many peers are asked in turn when the table is
// down. More would gain little: the next poll asks others.
const maxFallbackPeers = 3

func (h *Replica) randomPeers() []fleet.RouterID {
	routers := append([]fleet.RouterID(nil), h.peers.Routers()...)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.random.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	return routers[:min(len(routers), maxFallbackPeers)]
}
