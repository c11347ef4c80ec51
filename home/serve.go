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

// peerTurn is a turn that another router has asked for here.
type peerTurn struct {
	ticket *turn.Ticket
	done   chan struct{}
	once   sync.Once
}

// end stops the wait for a turn, or ends the turn if it was granted.
func (t *peerTurn) end(outcome turn.Outcome) {
	t.once.Do(func() { close(t.done) })
	if t.ticket.Cancel(time.Now()) == nil {
		t.ticket.End(time.Now(), outcome)
	}
}

// handleAsk answers another router's ask.
func (h *Coordinator) handleAsk(from fleet.RouterID, a *schema.TurnAsk) {
	service, demand := decodeAsk(a)
	pool := h.Pool(service)
	if pool == nil {
		h.sendRefusal(from, a.GetId(), &turn.RefusedError{NoUpstream: true, RetryAfter: homeRetryAfter})
		return
	}
	ticket, err := pool.Submit(time.Now(), demand)
	var refused *turn.RefusedError
	if errors.As(err, &refused) {
		h.sendRefusal(from, a.GetId(), refused)
		return
	}
	t := &peerTurn{ticket: ticket, done: make(chan struct{})}
	h.addPeerTurn(from, a.GetId(), t)
	select {
	case <-ticket.Granted():
		h.sendGrant(from, a.GetId(), t)
		return
	default:
	}
	h.sendAnswer(from, &schema.TurnAnswer{Id: a.GetId(), Kind: &schema.TurnAnswer_PatienceMs{PatienceMs: schema.Millis(ticket.Patience())}})
	go h.awaitTurnGuarded(from, a.GetId(), t)
}

// awaitTurnGuarded runs awaitTurn and refuses the ask if it panics.
func (h *Coordinator) awaitTurnGuarded(from fleet.RouterID, id uint64, t *peerTurn) {
	if h.Guard.Run(recovery.Home, func() { h.awaitTurn(from, id, t) }, "other", from) {
		h.removePeerTurn(from, id)
		h.sendRefusal(from, id, &turn.RefusedError{RetryAfter: homeRetryAfter})
	}
}

// awaitTurn sends the second answer of an ask that has to wait: the grant, or a refusal
// once its patience has run out.
func (h *Coordinator) awaitTurn(from fleet.RouterID, id uint64, t *peerTurn) {
	patience := time.NewTimer(t.ticket.Patience())
	defer patience.Stop()
	select {
	case <-t.ticket.Granted():
		h.sendGrant(from, id, t)
	case refused := <-t.ticket.Refused():
		h.removePeerTurn(from, id)
		h.sendRefusal(from, id, refused)
	case <-patience.C:
		refused := t.ticket.Cancel(time.Now())
		if refused == nil {
			h.sendGrant(from, id, t)
			return
		}
		h.removePeerTurn(from, id)
		h.sendRefusal(from, id, refused)
	case <-t.done:
	}
}

func (h *Coordinator) addPeerTurn(from fleet.RouterID, id uint64, t *peerTurn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.peerTurns == nil {
		h.peerTurns = make(map[fleet.RouterID]map[uint64]*peerTurn)
	}
	if h.peerTurns[from] == nil {
		h.peerTurns[from] = make(map[uint64]*peerTurn)
	}
	h.peerTurns[from][id] = t
}

// removePeerTurn removes a turn and returns it, or nil if it is unknown.
func (h *Coordinator) removePeerTurn(from fleet.RouterID, id uint64) *peerTurn {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.peerTurns[from][id]
	delete(h.peerTurns[from], id)
	return t
}

func (h *Coordinator) sendGrant(to fleet.RouterID, id uint64, t *peerTurn) {
	h.sendAnswer(to, &schema.TurnAnswer{Id: id, Kind: &schema.TurnAnswer_Grant{Grant: encodeGrant(t.ticket)}})
}

func (h *Coordinator) sendRefusal(to fleet.RouterID, id uint64, e *turn.RefusedError) {
	h.sendAnswer(to, &schema.TurnAnswer{Id: id, Kind: &schema.TurnAnswer_Refusal{Refusal: encodeRefusal(e)}})
}

func (h *Coordinator) sendAnswer(to fleet.RouterID, a *schema.TurnAnswer) {
	h.Send(to, &schema.Batch{TurnAnswers: []*schema.TurnAnswer{a}})
}

// handleNote updates the turn that a note is about. The turn is unknown if the connection
// was lost in the meantime.
func (h *Coordinator) handleNote(from fleet.RouterID, n *schema.TurnNote) {
	if n.GetRead() {
		h.mu.Lock()
		t := h.peerTurns[from][n.GetId()]
		h.mu.Unlock()
		if t != nil {
			t.ticket.RecordFirstEvent(time.Now())
		}
		return
	}
	t := h.removePeerTurn(from, n.GetId())
	switch {
	case t == nil:
	case n.GetLeft():
		t.end(turn.Unsent)
	default:
		t.end(turn.Outcome(n.GetOutcome()))
	}
}
