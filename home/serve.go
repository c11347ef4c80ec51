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
func (c *Coordinator) handleAsk(from fleet.RouterID, a *schema.TurnAsk) {
	service, request := decodeAsk(a)
	pool := c.Pool(service)
	if pool == nil {
		c.sendRefusal(from, a.GetId(), &turn.RefusedError{NoUpstream: true, RetryAfter: homeRetryAfter})
		return
	}
	ticket, err := pool.Submit(time.Now(), request)
	var refused *turn.RefusedError
	if errors.As(err, &refused) {
		c.sendRefusal(from, a.GetId(), refused)
		return
	}
	t := &peerTurn{ticket: ticket, done: make(chan struct{})}
	c.addPeerTurn(from, a.GetId(), t)
	select {
	case <-ticket.Granted():
		c.sendGrant(from, a.GetId(), t)
		return
	default:
	}
	c.sendAnswer(from, &schema.TurnAnswer{Id: a.GetId(), Kind: &schema.TurnAnswer_PatienceMs{PatienceMs: schema.Millis(ticket.Patience())}})
	go c.awaitTurnGuarded(from, a.GetId(), t)
}

// awaitTurnGuarded runs awaitTurn and refuses the ask if it panics.
func (c *Coordinator) awaitTurnGuarded(from fleet.RouterID, id uint64, t *peerTurn) {
	if c.Guard.Run(recovery.Home, func() { c.awaitTurn(from, id, t) }, "other", from) {
		c.removePeerTurn(from, id)
		c.sendRefusal(from, id, &turn.RefusedError{RetryAfter: homeRetryAfter})
	}
}

// awaitTurn sends the second answer of an ask that has to wait: the grant, or a refusal
// once its patience has run out.
func (c *Coordinator) awaitTurn(from fleet.RouterID, id uint64, t *peerTurn) {
	patience := time.NewTimer(t.ticket.Patience())
	defer patience.Stop()
	select {
	case <-t.ticket.Granted():
		c.sendGrant(from, id, t)
	case refused := <-t.ticket.Refused():
		c.removePeerTurn(from, id)
		c.sendRefusal(from, id, refused)
	case <-patience.C:
		refused := t.ticket.Cancel(time.Now())
		if refused == nil {
			c.sendGrant(from, id, t)
			return
		}
		c.removePeerTurn(from, id)
		c.sendRefusal(from, id, refused)
	case <-t.done:
	}
}

func (c *Coordinator) addPeerTurn(from fleet.RouterID, id uint64, t *peerTurn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peerTurns == nil {
		c.peerTurns = make(map[fleet.RouterID]map[uint64]*peerTurn)
	}
	if c.peerTurns[from] == nil {
		c.peerTurns[from] = make(map[uint64]*peerTurn)
	}
	c.peerTurns[from][id] = t
}

// removePeerTurn removes a turn and returns it, or nil if it is unknown.
func (c *Coordinator) removePeerTurn(from fleet.RouterID, id uint64) *peerTurn {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.peerTurns[from][id]
	delete(c.peerTurns[from], id)
	return t
}

func (c *Coordinator) sendGrant(to fleet.RouterID, id uint64, t *peerTurn) {
	c.sendAnswer(to, &schema.TurnAnswer{Id: id, Kind: &schema.TurnAnswer_Grant{Grant: encodeGrant(t.ticket)}})
}

func (c *Coordinator) sendRefusal(to fleet.RouterID, id uint64, e *turn.RefusedError) {
	c.sendAnswer(to, &schema.TurnAnswer{Id: id, Kind: &schema.TurnAnswer_Refusal{Refusal: encodeRefusal(e)}})
}

func (c *Coordinator) sendAnswer(to fleet.RouterID, a *schema.TurnAnswer) {
	c.Send(to, &schema.Batch{TurnAnswers: []*schema.TurnAnswer{a}})
}

// handleNote applies a note to its turn. The turn is unknown if the connection was lost in
// the meantime.
func (c *Coordinator) handleNote(from fleet.RouterID, n *schema.TurnNote) {
	if n.GetRead() {
		c.mu.Lock()
		t := c.peerTurns[from][n.GetId()]
		c.mu.Unlock()
		if t != nil {
			recordLoad(t.ticket, n)
			t.ticket.RecordFirstEvent(time.Now())
		}
		return
	}
	t := c.removePeerTurn(from, n.GetId())
	switch {
	case t == nil:
	case n.GetLeft():
		t.end(turn.Unsent)
	default:
		recordLoad(t.ticket, n)
		t.end(turn.Outcome(n.GetOutcome()))
	}
}
