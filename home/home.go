// Package home gives turns in a fleet of many routers: one router, the home of a
// group of model engines, decides for all.
//
// It answers many routers before few engines. An engine reads one large prompt at
// a time, and each router sees what the others have sent there by reports that
// are the older the more routers there are. With 88 routers they are half a second
// old: several fill one engine at the same moment while another idles, and an
// account's service depends on how many routers it sits at.
//
// Nothing is agreed on and nothing has to last. All routers choose the same home
// by rendezvous hashing over those that are connected. While two disagree for a
// moment, an engine is filled by both. A new home knows nothing of what is in
// flight; that is read within a second. A home that doesn't answer is passed over
// until it is heard again, and where two don't, the asking router decides alone.
package home

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/rendezvous"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// maxHomes is how many homes are asked before a router decides alone; each that is
// silent costs leastAck and more of the request's time.
const maxHomes = 2

// Ticket is a request's turn at an upstream.
type Ticket interface {
	// Upstream returns where the request goes.
	Upstream() registry.Upstream
	// FetchFrom returns the address of the upstream whose cache has more of the
	// prompt, empty when none has.
	FetchFrom() string
	// Work returns the tokens that the upstream has to read before the first event.
	Work() int
	// First notes that the first event has come.
	First(now time.Time)
	// End notes that the request has ended.
	End(now time.Time, outcome turn.Outcome)
}

// Homes asks the homes of upstreams for turns, and is the home of some itself. Its
// fields have to be set but Guard. It is safe for concurrent use.
type Homes struct {
	Self fleet.RouterID
	// Send hands a batch to another router, or drops it when there is no connection.
	Send func(to fleet.RouterID, batch *schema.Batch)
	// Pool returns the upstreams of a service, nil when it isn't known.
	Pool func(service fleet.ServiceID) *turn.Pool
	Log  *slog.Logger
	// Guard contains panics; nil lets them pass.
	Guard *recovery.Guard

	mu sync.Mutex
	// routers are those that are connected, and this one.
	routers []fleet.RouterID
	// silent are the routers that let an ask wait and weren't heard since.
	silent map[fleet.RouterID]bool
	// chosen are the homes that were worked out for the routers as they are.
	chosen map[group]fleet.RouterID
	last   uint64
	asks   map[uint64]*ask
	// roundTrip is how long homes take to answer.
	roundTrip roundTrip
	// notes wait for the next message to their home.
	notes map[fleet.RouterID][]*schema.TurnNote
	// shed is what this router refused and hasn't told yet, in tokens.
	shed map[shedKey]float64
	// turns are those that other routers have asked for here.
	turns map[fleet.RouterID]map[uint64]*held
}

type group struct {
	service fleet.ServiceID
	number  int
}

// SetRouters tells which other routers are connected.
func (h *Homes) SetRouters(others []fleet.RouterID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routers = append([]fleet.RouterID{h.Self}, others...)
	h.chosen = nil
}

// Decide reports whether homes give the turns, and not each router by itself. A
// small fleet depends on no home.
func (h *Homes) Decide() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fleet.IsLarge(len(h.routers))
}

// home returns the router that decides for a group.
func (h *Homes) home(of group) fleet.RouterID {
	h.mu.Lock()
	defer h.mu.Unlock()
	if home, known := h.chosen[of]; known {
		return home
	}
	able := make([]fleet.RouterID, 0, len(h.routers))
	for _, r := range h.routers {
		if !h.silent[r] {
			able = append(able, r)
		}
	}
	key := rendezvous.KeyOf("home", string(of.service)+"/"+strconv.Itoa(of.number))
	if h.chosen == nil {
		h.chosen = make(map[group]fleet.RouterID)
	}
	h.chosen[of] = rendezvous.Pick(key, able)
	return h.chosen[of]
}

// Turn waits for a request's turn. The error is *turn.RefusedError when the turn
// can't come in time, or that of ctx.
func (h *Homes) Turn(ctx context.Context, service fleet.ServiceID, pool *turn.Pool, d turn.Demand) (Ticket, error) {
	number, grouped := pool.Group(&d)
	if !grouped || !h.Decide() {
		return Await(ctx, pool, d)
	}
	until := time.Now().Add(d.Patience)
	for range maxHomes {
		home := h.home(group{service, number})
		if home == h.Self {
			break
		}
		ticket, err := h.ask(ctx, home, service, pool, d)
		var silent *SilentError
		var gone *GoneError
		switch {
		case errors.As(err, &gone):
			d.Tried = append(slices.Clone(d.Tried), gone.Instance)
		case !errors.As(err, &silent):
			return ticket, err
		}
		d.Patience = max(time.Until(until), 0)
	}
	return Await(ctx, pool, d)
}

// Await waits for a turn that this router gives by itself.
func Await(ctx context.Context, pool *turn.Pool, d turn.Demand) (Ticket, error) {
	ticket, err := pool.Ask(time.Now(), d)
	if err != nil {
		return nil, err
	}
	select {
	case <-ticket.Granted():
		return ticket, nil
	default:
	}
	patience := time.NewTimer(ticket.Patience())
	defer patience.Stop()
	select {
	case <-ticket.Granted():
		return ticket, nil
	case refused := <-ticket.Refused():
		return nil, refused
	case <-patience.C:
		if refused := ticket.GiveUp(time.Now()); refused != nil {
			return nil, refused
		}
		return ticket, nil
	case <-ctx.Done():
		if ticket.GiveUp(time.Now()) == nil {
			ticket.End(time.Now(), turn.Unsent)
		}
		return nil, ctx.Err()
	}
}

// Hear takes what another router sent.
func (h *Homes) Hear(from fleet.RouterID, batch *schema.Batch) {
	h.heard(from)
	for _, n := range batch.GetTurnNotes() {
		h.note(from, n) // before the asks, which may need the places
	}
	h.hearShed(batch)
	for _, a := range batch.GetTurnAsks() {
		h.serve(from, a)
	}
	for _, a := range batch.GetTurnAnswers() {
		h.answered(from, a)
	}
}

// heard lets a router be a home again that was silent.
func (h *Homes) heard(from fleet.RouterID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.silent[from] {
		delete(h.silent, from)
		h.chosen = nil
		h.Log.Info("home answers again", "home", from)
	}
}

// Lost takes note that the connection to a router has ended. What it had in
// flight is given up: if it is gone, so are its requests, and if it lives, it
// asks anew.
func (h *Homes) Lost(router fleet.RouterID) {
	h.mu.Lock()
	turns := h.turns[router]
	delete(h.turns, router)
	delete(h.silent, router)
	for _, a := range h.asks {
		if a.home == router {
			a.lose()
		}
	}
	h.mu.Unlock()
	for _, t := range turns {
		t.leave(turn.Left)
	}
}
