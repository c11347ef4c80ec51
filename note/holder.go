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

// Peers is what a Holder needs of the other routers.
type Peers interface {
	// Routers returns the live routers without this one.
	Routers() []fleet.RouterID
	// Call calls a JSON-RPC method of a router.
	Call(ctx context.Context, router fleet.RouterID, method string, params, result any) error
}

// HolderOptions are the parts that a Holder works with.
type HolderOptions struct {
	Self  fleet.RouterID
	Store *Store
	// Peers may be nil for a router on its own.
	Peers Peers
	// Timer is the machine's clock when nil.
	Timer timer.Service
	// Announce tells routers that this one holds a version. It must not block. It may be nil.
	Announce func(to []fleet.RouterID, version fleet.Version)
	// Log is the default logger when nil.
	Log *slog.Logger
}

// Holder holds the release notes in force at this router. Traffic reads
// Current without a lock. A version, once held, is only followed by higher
// ones, wherever they are learnt from.
type Holder struct {
	self     fleet.RouterID
	store    *Store
	peers    Peers
	timer    timer.Service
	announce func(to []fleet.RouterID, version fleet.Version)
	log      *slog.Logger

	view atomic.Pointer[View]
	// mu guards what follows and every change of view.
	mu     sync.Mutex
	recent []*schema.NoteRecord
	heard  map[fleet.RouterID]fleet.Version
	told   map[fleet.RouterID]fleet.Version
	random *rand.Rand
	parts  snapshotParts

	// wake has follow look at what was heard, ask has poll read the table.
	wake chan struct{}
	ask  chan struct{}
}

// NewHolder returns a Holder that holds nothing yet.
func NewHolder(options HolderOptions) *Holder {
	h := &Holder{
		self: options.Self, store: options.Store, peers: options.Peers, timer: options.Timer,
		announce: options.Announce, log: options.Log,
		heard: map[fleet.RouterID]fleet.Version{}, told: map[fleet.RouterID]fleet.Version{}, wake: make(chan struct{}, 1), ask: make(chan struct{}, 1),
	}
	if h.peers == nil {
		h.peers = nobody{}
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

// nobody is the Peers of a router on its own.
type nobody struct{}

func (nobody) Routers() []fleet.RouterID { return nil }

func (nobody) Call(context.Context, fleet.RouterID, string, any, any) error {
	return errors.New("no peers")
}

// Current returns the view in force, nil while none is held.
func (h *Holder) Current() *View { return h.view.Load() }

// Ready reports whether some version is held.
func (h *Holder) Ready() bool { return h.view.Load() != nil }

// Version returns the version in force, zero while none is held.
func (h *Holder) Version() fleet.Version { return fleet.Version(h.state().GetVersion()) }

// state returns the state in force, an empty one while none is held.
func (h *Holder) state() *schema.FleetState {
	if view := h.view.Load(); view != nil {
		return view.State()
	}
	return &schema.FleetState{}
}

// recentKept is how many records are kept for peers that missed some. It
// outlasts an interval of snapshots, and takes about 100 KB.
const recentKept = 512

// Learn puts accepted records in force as far as they follow what is held,
// and tells peers. Older records are passed over: nothing that is learnt late,
// such as from a stale read or from a peer that was cut off, lowers the
// version. It reports whether no record is left for want of an earlier one.
func (h *Holder) Learn(records ...*schema.NoteRecord) bool {
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
			h.logGap(err)
			break
		}
		state = next
		h.recent = append(h.recent, record)
	}
	h.trim()
	changed := state != before
	if changed {
		h.view.Store(NewView(state))
	}
	h.mu.Unlock()
	if changed {
		h.spread(fleet.Version(state.GetVersion()))
	}
	return complete
}

// logGap logs a record that could not be applied. A gap is filled later; a
// record of another history is a fault that an operator has to hear of.
func (h *Holder) logGap(err error) {
	var gap *GapError
	if errors.As(err, &gap) {
		h.log.Debug("release note waits for earlier ones", "reason", err)
		return
	}
	h.log.Error("release note does not fit what is held", "reason", err)
}

func (h *Holder) trim() {
	if surplus := len(h.recent) - recentKept; surplus > 0 {
		h.recent = append([]*schema.NoteRecord(nil), h.recent[surplus:]...)
	}
}

// LearnState puts a whole state in force when its version is higher than what is held.
func (h *Holder) LearnState(state *schema.FleetState) {
	h.mu.Lock()
	if state.GetVersion() <= h.state().GetVersion() {
		h.mu.Unlock()
		return
	}
	h.view.Store(NewView(state))
	h.recent = nil
	h.mu.Unlock()
	h.spread(fleet.Version(state.GetVersion()))
}

const (
	// pollInterval is the mean time between two reads of the head row. At 460
	// routers this makes 460 / 4 s = 115 reads a second, 6% of the table's 2,000,
	// and at each router some 300 bytes each 4 s, 2.5% of its 3 KB/s. It is the
	// upper bound for a router that no peer told of a version, so that a note is
	// in force everywhere within five seconds.
	pollInterval = 4 * time.Second
	// bootInterval is the same while nothing is held. A data centre that comes
	// back starts 42 routers at once: 84 reads a second.
	bootInterval = 500 * time.Millisecond
	// pollJitter is the part of the interval by which a poll is early or late,
	// so that routers that started together do not read together.
	pollJitter = 0.25
	// catchUpTimeout bounds one catch-up, of which a snapshot of 4 MB takes the longest.
	catchUpTimeout = 10 * time.Second
)

// Run keeps the Holder up to date until the context ends, whose error it
// returns. It reads the table and follows announcements side by side: a table
// that takes a minute for a read would otherwise keep a router from what its
// peers hold, and have it serve callers by an old note.
func (h *Holder) Run(ctx context.Context) error {
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		h.follow(ctx)
	}()
	h.poll(ctx)
	<-followed
	return ctx.Err()
}

// poll reads the table at each interval, and at once when a peer does not hand
// out what it announced.
func (h *Holder) poll(ctx context.Context) {
	for ctx.Err() == nil {
		h.bounded(ctx, h.Refresh)
		due := make(chan struct{})
		subscription := h.timer.After(h.interval(), func(time.Time) { close(due) })
		select {
		case <-ctx.Done():
		case <-due:
		case <-h.ask:
		}
		subscription.Cancel()
	}
}

// follow fetches what peers announce.
func (h *Holder) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
			if !h.bounded(ctx, h.FollowHeard) {
				signal(h.ask)
			}
		}
	}
}

// signal sends on a channel of capacity one, unless a signal waits there already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// bounded makes one step of catching up and reports whether it succeeded.
func (h *Holder) bounded(ctx context.Context, step func(context.Context) error) bool {
	bounded, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	err := step(bounded)
	if err != nil && ctx.Err() == nil {
		h.log.Warn("release notes not brought up to date", "version", h.Version(), "reason", err)
	}
	return err == nil
}

func (h *Holder) interval() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	interval := pollInterval
	if !h.Ready() {
		interval = bootInterval
	}
	jitter := (2*h.random.Float64() - 1) * pollJitter
	return interval + time.Duration(jitter*float64(interval))
}

// Refresh catches up once, from the table or, when that fails, from peers.
// While the platform is down a router still learns so what it missed.
func (h *Holder) Refresh(ctx context.Context) error {
	h.forgetGone()
	err := h.refreshFromTable(ctx)
	if err == nil {
		return nil
	}
	for _, router := range h.somePeers() {
		if peerErr := h.fetchFrom(ctx, router); peerErr == nil && h.Ready() {
			return nil
		}
	}
	return err
}

func (h *Holder) refreshFromTable(ctx context.Context) error {
	head, err := h.store.Head(ctx)
	if err != nil {
		return err
	}
	state, records, err := h.store.Newer(ctx, h.Version(), head)
	if err != nil {
		return err
	}
	if state != nil {
		h.LearnState(state)
	}
	h.Learn(records...)
	return nil
}

// peersAsked bounds how many peers are asked in turn when the table is down.
// More is of little use: the next poll asks others.
const peersAsked = 3

func (h *Holder) somePeers() []fleet.RouterID {
	routers := append([]fleet.RouterID(nil), h.peers.Routers()...)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.random.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	return routers[:min(len(routers), peersAsked)]
}
