// Package home coordinates turns in a fleet of many routers. For each group of model
// engines one router, the group's home, decides which requests are sent next.
//
// An engine reads one large prompt at a time, and each router knows the load that other
// routers put on it only from their reports. The more routers there are, the older these
// reports: half a second with 88 routers. Without homes several routers would fill one
// engine at the same moment while another idles, and an account's service would depend on
// how many routers it uses.
//
// Homes need no agreement and no stored state. Every router picks the same home by
// rendezvous hashing over the connected routers. While two routers disagree for a moment,
// both homes send work to the same engine. A new home doesn't know which prompts are in
// flight, but the engines have read these within a second. A home that doesn't answer is
// skipped until a message from it arrives, and after two such homes the asking router
// decides by itself.
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
	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/rendezvous"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// maxHomes is how many homes are asked before a router decides by itself. Each one that
// doesn't answer costs at least minAnswerTimeout of the request's time.
const maxHomes = 2

// Ticket is a turn that a request was granted at an upstream.
type Ticket interface {
	// Upstream returns the upstream that the request is sent to.
	Upstream() registry.Upstream
	// FetchFrom returns the address of an upstream that has more of the prompt in its
	// cache, or an empty string if there is none.
	FetchFrom() string
	// PendingPrefill returns the number of tokens that the upstream has to read before
	// the first event.
	PendingPrefill() int
	// RecordFirstEvent records that the first event has arrived.
	RecordFirstEvent(now time.Time)
	// RecordLoad records what the upstream has stated about its load in an answer that has just arrived. It is
	// followed by RecordFirstEvent or End.
	RecordLoad(now time.Time, s pace.Statement)
	// End records that the request has ended.
	End(now time.Time, outcome turn.Outcome)
}

// Coordinator requests turns from the homes of upstream groups, and grants turns for the
// groups whose home is this router. All exported fields but Guard must be set. It is safe
// for concurrent use.
type Coordinator struct {
	Self fleet.RouterID
	// Send sends a batch to another router, or drops it if that router isn't connected.
	Send func(to fleet.RouterID, batch *schema.Batch)
	// Pool returns the pool of a service, or nil if the service is unknown.
	Pool func(service fleet.ServiceID) *turn.Pool
	Log  *slog.Logger
	// Guard recovers panics; if it is nil they aren't recovered.
	Guard *recovery.Guard

	mu sync.Mutex
	// routers lists this router and those connected to it.
	routers []fleet.RouterID
	// unresponsive holds the routers that didn't answer an ask and haven't sent anything
	// since.
	unresponsive map[fleet.RouterID]bool
	// homeByGroup caches the home of each group until the set of usable routers changes.
	homeByGroup map[group]fleet.RouterID
	lastAskID   uint64
	pendingAsks map[uint64]*pendingAsk
	// locations is where the prefixes of this router's requests were last read.
	locations prefixLocations
	// roundTrip tracks how long homes take to answer.
	roundTrip roundTrip
	// pendingNotes holds notes to be sent with the next message to their home.
	pendingNotes map[fleet.RouterID][]*schema.TurnNote
	// pendingShed holds the refused tokens that haven't been reported to homes yet.
	pendingShed map[shedKey]float64
	// peerTurns holds the turns that other routers asked for here, by router and ask ID.
	peerTurns map[fleet.RouterID]map[uint64]*peerTurn
}

// group identifies a group of a service's upstreams.
type group struct {
	service fleet.ServiceID
	number  int
}

// KeyOf returns the key by which the home of a group of a service's upstreams is chosen.
func KeyOf(service fleet.ServiceID, number int) rendezvous.Key {
	return rendezvous.KeyOf("home", string(service)+"/"+strconv.Itoa(number))
}

// KeyOfUpstream returns the key by which the owner of an upstream without a group is chosen.
func KeyOfUpstream(upstream fleet.UpstreamID) rendezvous.Key {
	return rendezvous.KeyOf("upstream", string(upstream))
}

// SetRouters replaces the list of other connected routers.
func (c *Coordinator) SetRouters(others []fleet.RouterID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routers = append([]fleet.RouterID{c.Self}, others...)
	c.homeByGroup = nil
}

// IsActive reports whether turns are granted by homes. In a small fleet each router decides
// by itself.
func (c *Coordinator) IsActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fleet.IsLarge(len(c.routers))
}

// homeOf returns the home of a group.
func (c *Coordinator) homeOf(g group) fleet.RouterID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if home, known := c.homeByGroup[g]; known {
		return home
	}
	candidates := make([]fleet.RouterID, 0, len(c.routers))
	for _, r := range c.routers {
		if !c.unresponsive[r] {
			candidates = append(candidates, r)
		}
	}
	if c.homeByGroup == nil {
		c.homeByGroup = make(map[group]fleet.RouterID)
	}
	c.homeByGroup[g] = rendezvous.Pick(KeyOf(g.service, g.number), candidates)
	return c.homeByGroup[g]
}

// RequestTurn waits until the request is granted a turn. It returns *turn.RefusedError if
// it can't be granted one in time, or the error of ctx.
func (c *Coordinator) RequestTurn(ctx context.Context, service fleet.ServiceID, pool *turn.Pool, r turn.Request) (Ticket, error) {
	number, grouped := pool.GroupOf(time.Now(), &r)
	if !grouped || !c.IsActive() {
		return AwaitLocal(ctx, pool, r)
	}
	if !pool.HasCaches() {
		r.DataCenter = pool.DataCenter
	}
	prefix := r.SharedPrefix()
	r.LastHolder = c.findLocation(prefix)
	ticket, err := c.requestFromHomes(ctx, group{service, number}, pool, r)
	if err != nil || prefix == 0 {
		return ticket, err
	}
	return &locatedTicket{Ticket: ticket, coordinator: c, prefix: prefix}, nil
}

// requestFromHomes asks the homes of a group for a turn, and decides by itself if none answers.
func (c *Coordinator) requestFromHomes(ctx context.Context, g group, pool *turn.Pool, r turn.Request) (Ticket, error) {
	first, asked := r, time.Now()
	for range maxHomes {
		home := c.homeOf(g)
		if home == c.Self {
			break
		}
		ticket, err := c.ask(ctx, home, g.service, pool, r)
		var noAnswer *NoAnswerError
		var upstreamGone *UpstreamGoneError
		var refused *turn.RefusedError
		switch {
		case errors.As(err, &refused) && refused.NoSoftware && pool.HasSoftware(r.Software):
			// The home's list is older or newer than this router's.
			setElapsed(&r, &first, time.Since(asked))
			return AwaitLocal(ctx, pool, r)
		case errors.As(err, &upstreamGone):
			r.Tried = append(slices.Clone(r.Tried), upstreamGone.Instance)
		case !errors.As(err, &noAnswer):
			return ticket, err
		}
		setElapsed(&r, &first, time.Since(asked))
	}
	return AwaitLocal(ctx, pool, r)
}

// setElapsed sets the times of a request that was first as given and has since asked a home in vain.
func setElapsed(r, first *turn.Request, elapsed time.Duration) {
	r.Patience, r.Left, r.Age = max(first.Patience-elapsed, 0), max(first.Left-elapsed, 0), first.Age+elapsed
}

// AwaitLocal waits for a turn that this router grants by itself.
func AwaitLocal(ctx context.Context, pool *turn.Pool, r turn.Request) (Ticket, error) {
	ticket, err := pool.Submit(time.Now(), r)
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
		if refused := ticket.Cancel(time.Now()); refused != nil {
			return nil, refused
		}
		return ticket, nil
	case <-ctx.Done():
		if ticket.Cancel(time.Now()) == nil {
			ticket.End(time.Now(), turn.Unsent)
		}
		return nil, ctx.Err()
	}
}

// HandleBatch handles a batch from another router.
func (c *Coordinator) HandleBatch(from fleet.RouterID, batch *schema.Batch) {
	c.markResponsive(from)
	for _, n := range batch.GetTurnNotes() {
		c.handleNote(from, n) // handled before the asks, since notes free places
	}
	c.recordShed(batch)
	for _, a := range batch.GetTurnAsks() {
		c.handleAsk(from, a)
	}
	for _, a := range batch.GetTurnAnswers() {
		c.handleAnswer(from, a)
	}
}

// markResponsive makes a router eligible as a home again once it has sent something.
func (c *Coordinator) markResponsive(from fleet.RouterID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unresponsive[from] {
		delete(c.unresponsive, from)
		c.homeByGroup = nil
		c.Log.Info("home answers again", "home", from)
	}
}

// HandleDisconnect handles the end of the connection to a router. Its turns are released:
// if the router has stopped, its requests have ended with it, and otherwise it asks again.
func (c *Coordinator) HandleDisconnect(router fleet.RouterID) {
	c.mu.Lock()
	turns := c.peerTurns[router]
	delete(c.peerTurns, router)
	delete(c.unresponsive, router)
	for _, a := range c.pendingAsks {
		if a.home == router {
			a.disconnect()
		}
	}
	c.mu.Unlock()
	for _, t := range turns {
		t.end(turn.Abandoned)
	}
}
