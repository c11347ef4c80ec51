package home

import (
	"context"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// retryAfterSilence is when a caller comes back whose request waited for a home
// that went silent; by then another home is chosen.
const retryAfterSilence = 200 * time.Millisecond

// SilentError is the error of an ask that a home doesn't answer. Nothing was sent
// to an upstream.
type SilentError struct{ Home fleet.RouterID }

// Error names the home.
func (e *SilentError) Error() string { return "home " + string(e.Home) + " does not answer" }

// GoneError is the error of a turn at an upstream that has left, as this router
// knows and the home doesn't yet.
type GoneError struct{ Instance turn.Instance }

// Error names the upstream.
func (e *GoneError) Error() string { return "upstream " + string(e.Instance.ID) + " has left" }

// ask is a turn that this router has asked for.
type ask struct {
	home    fleet.RouterID
	answers chan *schema.TurnAnswer
	lost    chan struct{}
	once    sync.Once
}

func (a *ask) lose() { a.once.Do(func() { close(a.lost) }) }

// ask asks a home for a turn and waits for it. A home that is silent is passed over
// until it is heard again: frozen, cut off or without a processor, it would cost
// each request its time, and callers would see their first event late.
func (h *Homes) ask(ctx context.Context, home fleet.RouterID, service fleet.ServiceID, pool *turn.Pool, d turn.Demand) (Ticket, error) {
	id, a, bound := h.open(home)
	defer h.closeAsk(id)
	asked := time.Now()
	h.Send(home, &schema.Batch{TurnAsks: []*schema.TurnAsk{encodeAsk(id, service, &d)}, TurnNotes: h.takeNotes(home)})
	timer := time.NewTimer(bound)
	defer timer.Stop()
	queued := false
	for {
		select {
		case answer := <-a.answers:
			if !queued {
				h.observe(time.Since(asked))
			}
			switch {
			case answer.GetGrant() != nil:
				return h.granted(home, id, pool, answer.GetGrant())
			case answer.GetRefusal() != nil:
				return nil, decodeRefusal(answer.GetRefusal())
			}
			queued = true
			timer.Reset(schema.Duration(answer.GetPatienceMs()) + bound)
		case <-timer.C:
			h.tellLeft(home, id)
			h.isSilent(home, id, asked)
			if queued {
				return nil, &turn.RefusedError{Waited: time.Since(asked), RetryAfter: retryAfterSilence}
			}
			return nil, &SilentError{Home: home}
		case <-a.lost:
			return nil, &SilentError{Home: home}
		case <-ctx.Done():
			h.tellLeft(home, id)
			return nil, ctx.Err()
		}
	}
}

// open begins an ask. It returns its number, and how long its answer may take.
func (h *Homes) open(home fleet.RouterID) (uint64, *ask, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last++
	a := &ask{home: home, answers: make(chan *schema.TurnAnswer, 2), lost: make(chan struct{})}
	if h.asks == nil {
		h.asks = make(map[uint64]*ask)
	}
	h.asks[h.last] = a
	return h.last, a, h.roundTrip.bound()
}

func (h *Homes) observe(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roundTrip.observe(took)
}

func (h *Homes) closeAsk(id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.asks, id)
}

func (h *Homes) tellLeft(home fleet.RouterID, id uint64) {
	h.Send(home, &schema.Batch{TurnNotes: []*schema.TurnNote{{Id: id, Left: true}}})
}

// isSilent notes that a home let an ask wait.
func (h *Homes) isSilent(home fleet.RouterID, id uint64, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roundTrip.giveUp(id, asked)
	if h.silent == nil {
		h.silent = make(map[fleet.RouterID]bool)
	}
	if !h.silent[home] {
		h.Log.Warn("home does not answer", "home", home, "after-ms", time.Since(asked).Milliseconds())
	}
	h.silent[home] = true
	h.chosen = nil
}

// granted returns the turn that a home has given. An upstream that this router
// knows to have left is not used: the home hasn't heard of it yet.
func (h *Homes) granted(home fleet.RouterID, id uint64, pool *turn.Pool, grant *schema.TurnGrant) (Ticket, error) {
	t := &remote{homes: h, home: home, id: id, upstream: registry.Decode(grant.GetUpstream()).Upstream, fetchFrom: grant.GetFetchFrom(), work: int(grant.GetWork())}
	if !pool.Has(turn.InstanceOf(t.upstream)) {
		t.End(time.Now(), turn.Unsent)
		return nil, &GoneError{Instance: turn.InstanceOf(t.upstream)}
	}
	return t, nil
}

// answered hands an answer to the request that waits for it. A turn that nobody
// waits for any more is given back.
func (h *Homes) answered(from fleet.RouterID, answer *schema.TurnAnswer) {
	h.mu.Lock()
	a := h.asks[answer.GetId()]
	if a == nil {
		h.roundTrip.late(time.Now(), answer.GetId())
	}
	h.mu.Unlock()
	if a != nil && a.home == from {
		select {
		case a.answers <- answer:
			return
		default:
		}
	}
	if answer.GetGrant() != nil {
		h.tellLeft(from, answer.GetId())
	}
}

// remote is a turn that another router has given.
type remote struct {
	homes     *Homes
	home      fleet.RouterID
	id        uint64
	upstream  registry.Upstream
	fetchFrom string
	work      int
	read      bool
	ended     bool
}

func (t *remote) Upstream() registry.Upstream { return t.upstream }
func (t *remote) FetchFrom() string           { return t.fetchFrom }
func (t *remote) Work() int                   { return t.work }

// First tells the home that the prompt was read.
func (t *remote) First(time.Time) {
	if t.read || t.ended {
		return
	}
	t.read = true
	t.tell(&schema.TurnNote{Id: t.id, Read: true})
}

// End tells the home that the request has ended: soon when it was served, at once
// when something went wrong, which says something about the upstream.
func (t *remote) End(_ time.Time, outcome turn.Outcome) {
	if t.ended {
		return
	}
	t.ended = true
	note := &schema.TurnNote{Id: t.id, Outcome: uint32(outcome)}
	if outcome == turn.Served {
		t.homes.tellSoon(t.home, note)
		return
	}
	t.tell(note)
}

func (t *remote) tell(note *schema.TurnNote) {
	t.homes.Send(t.home, &schema.Batch{TurnNotes: []*schema.TurnNote{note}})
}

// noteDelay is how long the note of a served request may wait for another message
// to its home. It frees one slot of an engine's many; the prompt's place was freed
// with the first event.
const noteDelay = 50 * time.Millisecond

// tellSoon tells a home something with the next ask, or after noteDelay.
func (h *Homes) tellSoon(home fleet.RouterID, note *schema.TurnNote) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.notes == nil {
		h.notes = make(map[fleet.RouterID][]*schema.TurnNote)
	}
	h.notes[home] = append(h.notes[home], note)
	if len(h.notes[home]) == 1 {
		time.AfterFunc(noteDelay, func() { h.Guard.Run(recovery.Home, func() { h.sendNotes(home) }) })
	}
}

func (h *Homes) takeNotes(home fleet.RouterID) []*schema.TurnNote {
	h.mu.Lock()
	defer h.mu.Unlock()
	notes := h.notes[home]
	delete(h.notes, home)
	return notes
}

func (h *Homes) sendNotes(home fleet.RouterID) {
	if notes := h.takeNotes(home); len(notes) > 0 {
		h.Send(home, &schema.Batch{TurnNotes: notes})
	}
}
