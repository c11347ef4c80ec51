package home

import (
	"context"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// homeRetryAfter is the retry delay for callers whose home failed while their request
// waited. By then another home has been picked.
const homeRetryAfter = 200 * time.Millisecond

// NoAnswerError reports that a home didn't answer an ask. Nothing was sent to an
// upstream.
type NoAnswerError struct{ Home fleet.RouterID }

// Error implements error.
func (e *NoAnswerError) Error() string { return "home " + string(e.Home) + " does not answer" }

// UpstreamGoneError reports that a home granted a turn at an upstream that this router
// already knows to have left, to want no requests, or to have another software version than the
// request needs.
type UpstreamGoneError struct{ Instance turn.Instance }

// Error implements error.
func (e *UpstreamGoneError) Error() string {
	return "upstream " + string(e.Instance.ID) + " can't be used"
}

// pendingAsk is an ask of this router that is waiting for its answers.
type pendingAsk struct {
	home         fleet.RouterID
	answers      chan *schema.TurnAnswer
	disconnected chan struct{}
	once         sync.Once
}

func (a *pendingAsk) disconnect() { a.once.Do(func() { close(a.disconnected) }) }

// ask requests a turn from a home and waits for it. A home that doesn't answer is skipped
// until a message from it arrives: it may be frozen, disconnected or starved of processor
// time, and asking it again would delay the first event of each request.
func (c *Coordinator) ask(ctx context.Context, home fleet.RouterID, service fleet.ServiceID, pool *turn.Pool, r turn.Request) (Ticket, error) {
	id, a, timeout := c.openAsk(home)
	defer c.closeAsk(id)
	asked := time.Now()
	c.Send(home, &schema.Batch{TurnAsks: []*schema.TurnAsk{encodeAsk(id, service, &r, pool.Avoided(asked, &r))}, TurnNotes: c.takeNotes(home)})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	queued := false
	for {
		select {
		case answer := <-a.answers:
			if !queued {
				c.observeRoundTrip(time.Since(asked))
			}
			switch {
			case answer.GetGrant() != nil:
				return c.acceptGrant(home, id, pool, answer.GetGrant(), &r)
			case answer.GetRefusal() != nil:
				return nil, decodeRefusal(answer.GetRefusal())
			}
			queued = true
			timer.Reset(schema.Duration(answer.GetPatienceMs()) + timeout)
		case <-timer.C:
			c.sendCancel(home, id)
			c.markUnresponsive(home, id, asked)
			if queued {
				return nil, &turn.RefusedError{Waited: time.Since(asked), RetryAfter: homeRetryAfter}
			}
			return nil, &NoAnswerError{Home: home}
		case <-a.disconnected:
			return nil, &NoAnswerError{Home: home}
		case <-ctx.Done():
			c.sendCancel(home, id)
			return nil, ctx.Err()
		}
	}
}

// openAsk registers a new ask. It returns its ID and the time within which the home has
// to answer.
func (c *Coordinator) openAsk(home fleet.RouterID) (uint64, *pendingAsk, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAskID++
	a := &pendingAsk{home: home, answers: make(chan *schema.TurnAnswer, 2), disconnected: make(chan struct{})}
	if c.pendingAsks == nil {
		c.pendingAsks = make(map[uint64]*pendingAsk)
	}
	c.pendingAsks[c.lastAskID] = a
	return c.lastAskID, a, c.roundTrip.answerTimeout()
}

func (c *Coordinator) observeRoundTrip(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roundTrip.observe(time.Now(), took)
}

func (c *Coordinator) closeAsk(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingAsks, id)
}

func (c *Coordinator) sendCancel(home fleet.RouterID, id uint64) {
	c.Send(home, &schema.Batch{TurnNotes: []*schema.TurnNote{{Id: id, Left: true}}})
}

// markUnresponsive records that a home didn't answer an ask in time.
func (c *Coordinator) markUnresponsive(home fleet.RouterID, id uint64, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roundTrip.recordTimeout(time.Now(), id, asked)
	if c.unresponsive == nil {
		c.unresponsive = make(map[fleet.RouterID]bool)
	}
	if !c.unresponsive[home] {
		c.Log.Warn("home does not answer", "home", home, "after-ms", time.Since(asked).Milliseconds())
	}
	c.unresponsive[home] = true
	c.homeByGroup = nil
}

// acceptGrant returns the ticket for a turn that a home has granted. If the upstream has
// left, which the home may not know yet, wants no requests, is where the request may not be served, or doesn't
// have the software version that the request needs, it releases the turn and returns *UpstreamGoneError.
func (c *Coordinator) acceptGrant(home fleet.RouterID, id uint64, pool *turn.Pool, grant *schema.TurnGrant, r *turn.Request) (Ticket, error) {
	t := &remoteTicket{coordinator: c, home: home, id: id, upstream: registry.Decode(time.Now(), grant.GetUpstream()).Upstream, fetchFrom: grant.GetFetchFrom(), pendingPrefill: int(grant.GetWork()), isEngine: pool.HasCaches()}
	instance := turn.InstanceOf(t.upstream)
	listed, known := pool.Upstream(instance)
	term, avoided := r.Avoid.Find(time.Now(), instance)
	if avoided && term.Reason == avoidance.Leaving {
		c.sendLeaving([]fleet.RouterID{home}, instance)
	}
	if !known || avoided || !r.Allows(listed.DataCenter) || (r.Software != "" && listed.Software != r.Software) {
		t.End(time.Now(), turn.Unsent)
		return nil, &UpstreamGoneError{Instance: instance}
	}
	t.upstream.Software = listed.Software
	return t, nil
}

// handleAnswer passes an answer to the request that waits for it. A granted turn that no
// request waits for any more is released.
func (c *Coordinator) handleAnswer(from fleet.RouterID, answer *schema.TurnAnswer) {
	c.mu.Lock()
	a := c.pendingAsks[answer.GetId()]
	if a == nil {
		c.roundTrip.observeLate(time.Now(), answer.GetId())
	}
	c.mu.Unlock()
	if a != nil && a.home == from {
		select {
		case a.answers <- answer:
			return
		default:
		}
	}
	if answer.GetGrant() != nil {
		c.sendCancel(from, answer.GetId())
	}
}

// remoteTicket is a turn that another router has granted.
type remoteTicket struct {
	coordinator    *Coordinator
	home           fleet.RouterID
	id             uint64
	upstream       registry.Upstream
	fetchFrom      string
	pendingPrefill int
	// isEngine is true if the upstream reads prompts and has many slots, so that the home needs
	// to know of first events and not at once of free slots.
	isEngine      bool
	hasFirstEvent bool
	hasEnded      bool
	// load is what the upstream has stated and the home doesn't know yet.
	load load
}

func (t *remoteTicket) Upstream() registry.Upstream { return t.upstream }
func (t *remoteTicket) FetchFrom() string           { return t.fetchFrom }
func (t *remoteTicket) PendingPrefill() int         { return t.pendingPrefill }

// RecordFirstEvent notifies the home that the upstream has read the prompt.
func (t *remoteTicket) RecordFirstEvent(now time.Time) {
	if t.hasFirstEvent || t.hasEnded || !t.isEngine {
		return
	}
	t.hasFirstEvent = true
	t.sendNote(t.load.attach(now, &schema.TurnNote{Id: t.id, Read: true}))
}

// End notifies the home that the request has ended. Notes of requests that engines have served
// may be delayed; all others are sent at once, since they may show a fault of the upstream.
func (t *remoteTicket) End(now time.Time, outcome turn.Outcome) {
	if t.hasEnded {
		return
	}
	t.hasEnded = true
	note := t.load.attach(now, &schema.TurnNote{Id: t.id, Outcome: uint32(outcome)})
	if outcome == turn.Served && t.isEngine {
		t.coordinator.queueNote(t.home, note)
		return
	}
	t.sendNote(note)
}

func (t *remoteTicket) sendNote(note *schema.TurnNote) {
	t.coordinator.Send(t.home, &schema.Batch{TurnNotes: []*schema.TurnNote{note}})
}

// noteDelay is how long the note of a served request may wait for another message to its
// home. The delay is harmless, since the note frees only one of an engine's many slots; the
// room that the prompt took was freed with the first event.
const noteDelay = 50 * time.Millisecond

// queueNote sends a note with the next ask to the home, or after noteDelay.
func (c *Coordinator) queueNote(home fleet.RouterID, note *schema.TurnNote) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingNotes == nil {
		c.pendingNotes = make(map[fleet.RouterID][]*schema.TurnNote)
	}
	c.pendingNotes[home] = append(c.pendingNotes[home], note)
	if len(c.pendingNotes[home]) == 1 {
		time.AfterFunc(noteDelay, func() { c.Guard.Run(recovery.Home, func() { c.flushNotes(home) }) })
	}
}

func (c *Coordinator) takeNotes(home fleet.RouterID) []*schema.TurnNote {
	c.mu.Lock()
	defer c.mu.Unlock()
	notes := c.pendingNotes[home]
	delete(c.pendingNotes, home)
	return notes
}

func (c *Coordinator) flushNotes(home fleet.RouterID) {
	if notes := c.takeNotes(home); len(notes) > 0 {
		c.Send(home, &schema.Batch{TurnNotes: notes})
	}
}
