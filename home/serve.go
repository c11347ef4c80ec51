package home

import (
	"errors"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// held is a turn that another router has asked for here.
type held struct {
	ticket *turn.Ticket
	left   chan struct{}
	once   sync.Once
}

// leave ends the wait for a turn, or the turn if it has come.
func (t *held) leave(outcome turn.Outcome) {
	t.once.Do(func() { close(t.left) })
	if t.ticket.GiveUp(time.Now()) == nil {
		t.ticket.End(time.Now(), outcome)
	}
}

// serve answers another router's ask.
func (h *Homes) serve(from fleet.RouterID, a *schema.TurnAsk) {
	service, demand := decodeAsk(a)
	pool := h.Pool(service)
	if pool == nil {
		h.refuse(from, a.GetId(), &turn.RefusedError{NoUpstream: true, RetryAfter: retryAfterSilence})
		return
	}
	ticket, err := pool.Ask(time.Now(), demand)
	var refused *turn.RefusedError
	if errors.As(err, &refused) {
		h.refuse(from, a.GetId(), refused)
		return
	}
	t := &held{ticket: ticket, left: make(chan struct{})}
	h.keep(from, a.GetId(), t)
	select {
	case <-ticket.Granted():
		h.grant(from, a.GetId(), t)
		return
	default:
	}
	h.answer(from, &schema.TurnAnswer{Id: a.GetId(), Kind: &schema.TurnAnswer_PatienceMs{PatienceMs: schema.Millis(ticket.Patience())}})
	go h.awaitGuarded(from, a.GetId(), t)
}

// awaitGuarded refuses an ask if waiting for its turn panics.
func (h *Homes) awaitGuarded(from fleet.RouterID, id uint64, t *held) {
	if h.Guard.Run(recovery.Home, func() { h.await(from, id, t) }, "other", from) {
		h.drop(from, id)
		h.refuse(from, id, &turn.RefusedError{RetryAfter: retryAfterSilence})
	}
}

// await answers again when the turn has come or its time is over.
func (h *Homes) await(from fleet.RouterID, id uint64, t *held) {
	patience := time.NewTimer(t.ticket.Patience())
	defer patience.Stop()
	select {
	case <-t.ticket.Granted():
		h.grant(from, id, t)
	case refused := <-t.ticket.Refused():
		h.drop(from, id)
		h.refuse(from, id, refused)
	case <-patience.C:
		refused := t.ticket.GiveUp(time.Now())
		if refused == nil {
			h.grant(from, id, t)
			return
		}
		h.drop(from, id)
		h.refuse(from, id, refused)
	case <-t.left:
	}
}

func (h *Homes) keep(from fleet.RouterID, id uint64, t *held) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.turns == nil {
		h.turns = make(map[fleet.RouterID]map[uint64]*held)
	}
	if h.turns[from] == nil {
		h.turns[from] = make(map[uint64]*held)
	}
	h.turns[from][id] = t
}

// drop forgets a turn and returns it, nil when it isn't known.
func (h *Homes) drop(from fleet.RouterID, id uint64) *held {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.turns[from][id]
	delete(h.turns[from], id)
	return t
}

func (h *Homes) grant(to fleet.RouterID, id uint64, t *held) {
	h.answer(to, &schema.TurnAnswer{Id: id, Kind: &schema.TurnAnswer_Grant{Grant: encodeGrant(t.ticket)}})
}

func (h *Homes) refuse(to fleet.RouterID, id uint64, e *turn.RefusedError) {
	h.answer(to, &schema.TurnAnswer{Id: id, Kind: &schema.TurnAnswer_Refusal{Refusal: encodeRefusal(e)}})
}

func (h *Homes) answer(to fleet.RouterID, a *schema.TurnAnswer) {
	h.Send(to, &schema.Batch{TurnAnswers: []*schema.TurnAnswer{a}})
}

// note takes what became of a turn. A note may be about a turn that is unknown
// here, when the connection was lost meanwhile.
func (h *Homes) note(from fleet.RouterID, n *schema.TurnNote) {
	if n.GetRead() {
		h.mu.Lock()
		t := h.turns[from][n.GetId()]
		h.mu.Unlock()
		if t != nil {
			t.ticket.First(time.Now())
		}
		return
	}
	t := h.drop(from, n.GetId())
	switch {
	case t == nil:
	case n.GetLeft():
		t.leave(turn.Unsent)
	default:
		t.leave(turn.Outcome(n.GetOutcome()))
	}
}
