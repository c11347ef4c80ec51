package claim

import (
	"context"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/timer"
)

const (
	// collectDelay is how long a collector of a large fleet waits for more.
	// Eight of them commit at most 200 times a second together.
	collectDelay = 40 * time.Millisecond
	// collectors is how many routers commit for a large fleet.
	collectors = 8
	// turn is for how long the same routers collect. A collector of a large
	// fleet has some 16 KB/s of claims to pass; in turn each router has its
	// part of that. Clocks that differ make some groups smaller at each change.
	turn = 10 * time.Second
	// smallFleet is up to how many routers each commits for itself: at 16, with
	// two writes a claim and a group each 5 ms, a hundred claims a second are
	// at most 200 writes.
	smallFleet = 16
	// collectTimeout bounds the wait for a collector, which answers within
	// collectDelay, a commit and a round trip unless it is gone.
	collectTimeout = 500 * time.Millisecond
	// maxCollecting bounds what a collector holds for others at a time.
	maxCollecting = 4096
)

// Peers reaches the other routers.
type Peers interface {
	// Routers returns the live routers but this one.
	Routers() []fleet.RouterID
	// Send hands a batch to a router. It may be lost.
	Send(to fleet.RouterID, batch *schema.Batch)
}

// Collected is a store.Table that sends transactions on one claim to a
// router that collects those of many, once the fleet is large.
//
// At 460 routers and 690 claims a second a router has three writes a second,
// and no group of its own to speak of; the fleet would make some 1,400 commits
// a second. Which router collects is nobody's agreement: two that believe they
// do only make smaller groups. A collector that does not answer is passed by,
// and the same transaction committed here, which settles what became of it,
// because each row names the attempt that wrote it.
//
// All fields but Timer have to be set, and Receive be called with each batch of a peer.
// It is safe for concurrent use.
type Collected struct {
	store.Table
	Self  fleet.RouterID
	Peers Peers
	// Group commits for this router while the fleet is small, and when a
	// collector does not answer.
	Group *Group
	// Timer tells the time; nil means the machine's clock.
	Timer timer.Service

	once       sync.Once
	large      Group
	collecting atomic.Int64
	mu         sync.Mutex
	last       uint64
	waiting    map[uint64]question
}

// question is a write that waits for the verdict of a collector.
type question struct {
	to     fleet.RouterID
	answer chan *schema.ClaimVerdict
}

// idBits bounds the random first id of a write. Were ids to start at one, a
// router that restarts could take the verdict on a write of its earlier life
// for one of its own, believe that it holds a claim, and run a request that
// another router runs.
const idBits = 48

// Commit applies a transaction. It fails as the table does.
func (c *Collected) Commit(ctx context.Context, txn store.Txn) error {
	write, ok := claimWrite(txn)
	if !ok {
		return c.Group.Commit(ctx, txn)
	}
	to := c.collector(write.GetClaim())
	switch to {
	case "":
		return c.Group.Commit(ctx, txn)
	case c.Self:
		return c.collected().Commit(ctx, txn)
	}
	verdict := c.ask(ctx, to, write)
	if verdict == nil {
		return definiteOnly(c.Group.Commit(ctx, txn))
	}
	return verdictError(verdict, txn.Checks[0])
}

// definiteOnly weakens an error of a second commit of the same transaction:
// that the second had no effect says nothing of the first.
func definiteOnly(err error) error {
	var none *store.UnavailableError
	if errors.As(err, &none) {
		return &store.IndefiniteError{Operation: none.Operation, Cause: err}
	}
	return err
}

// ask sends a write to a collector and returns its verdict, nil without one.
func (c *Collected) ask(ctx context.Context, to fleet.RouterID, write *schema.ClaimWrite) *schema.ClaimVerdict {
	answer := make(chan *schema.ClaimVerdict, 1)
	write.Id = c.remember(question{to, answer})
	defer c.forget(write.GetId())
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	c.Peers.Send(to, &schema.Batch{ClaimWrites: []*schema.ClaimWrite{write}})
	select {
	case verdict := <-answer:
		return verdict
	case <-ctx.Done():
		return nil
	}
}

func (c *Collected) remember(q question) (id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = map[uint64]question{}
		c.last = rand.Uint64N(1 << idBits)
	}
	c.last++
	c.waiting[c.last] = q
	return c.last
}

func (c *Collected) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// Receive takes the claims and verdicts in a batch. It does not block.
func (c *Collected) Receive(from fleet.RouterID, batch *schema.Batch) {
	for _, verdict := range batch.GetClaimVerdicts() {
		c.decide(from, verdict)
	}
	for _, write := range batch.GetClaimWrites() {
		if c.collecting.Add(1) > maxCollecting {
			c.collecting.Add(-1)
			c.reply(from, &schema.ClaimVerdict{Id: write.GetId(), Effect: schema.ClaimEffect_CLAIM_EFFECT_NONE})
			continue
		}
		go c.collect(from, write)
	}
}

func (c *Collected) decide(from fleet.RouterID, verdict *schema.ClaimVerdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.waiting[verdict.GetId()]
	if !ok || q.to != from {
		return
	}
	delete(c.waiting, verdict.GetId())
	q.answer <- verdict
}

func (c *Collected) collect(from fleet.RouterID, write *schema.ClaimWrite) {
	defer c.collecting.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	key := Prefix + store.Key(hex.EncodeToString(write.GetClaim()))
	err := c.collected().Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: key, Version: store.RowVersion(write.GetVersion())}},
		Writes: []store.Write{{Key: key, Value: write.GetRow()}},
	})
	verdict := verdictOf(err)
	verdict.Id = write.GetId()
	c.reply(from, verdict)
}

func (c *Collected) reply(to fleet.RouterID, verdict *schema.ClaimVerdict) {
	c.Peers.Send(to, &schema.Batch{ClaimVerdicts: []*schema.ClaimVerdict{verdict}})
}

// claimWrite returns the message for a transaction that writes one claim's
// row, and false for another.
func claimWrite(txn store.Txn) (*schema.ClaimWrite, bool) {
	if len(txn.Checks) != 1 || len(txn.Writes) != 1 || txn.Writes[0].Delete || txn.Checks[0].Key != txn.Writes[0].Key {
		return nil, false
	}
	text, ok := strings.CutPrefix(string(txn.Checks[0].Key), string(Prefix))
	claim, err := hex.DecodeString(text)
	if !ok || err != nil {
		return nil, false
	}
	return &schema.ClaimWrite{
		Claim: claim, Version: uint64(txn.Checks[0].Version), Row: txn.Writes[0].Value,
	}, true
}

func verdictOf(err error) *schema.ClaimVerdict {
	var (
		conflict *store.ConflictError
		none     *store.UnavailableError
	)
	switch {
	case err == nil:
		return &schema.ClaimVerdict{Effect: schema.ClaimEffect_CLAIM_EFFECT_APPLIED}
	case errors.As(err, &conflict):
		return &schema.ClaimVerdict{Effect: schema.ClaimEffect_CLAIM_EFFECT_CONFLICT, Found: uint64(conflict.Found)}
	case errors.As(err, &none):
		return &schema.ClaimVerdict{Effect: schema.ClaimEffect_CLAIM_EFFECT_NONE}
	default:
		return &schema.ClaimVerdict{}
	}
}

// verdictError returns the error of a verdict. An effect that this version does
// not know counts as indefinite.
func verdictError(verdict *schema.ClaimVerdict, check store.Check) error {
	cause := eris.New("at the router that collects claims")
	switch verdict.GetEffect() {
	case schema.ClaimEffect_CLAIM_EFFECT_APPLIED:
		return nil
	case schema.ClaimEffect_CLAIM_EFFECT_CONFLICT:
		return &store.ConflictError{
			Key: check.Key, Expected: check.Version, Found: store.RowVersion(verdict.GetFound()),
		}
	case schema.ClaimEffect_CLAIM_EFFECT_NONE:
		return &store.UnavailableError{Operation: "commit", Cause: cause}
	default:
		return &store.IndefiniteError{Operation: "commit", Cause: cause}
	}
}

// collected returns the group of what this router collects for a large fleet.
func (c *Collected) collected() *Group {
	c.once.Do(func() { c.large.Table, c.large.Delay, c.large.Timer = c.Table, collectDelay, c.Timer })
	return &c.large
}

// collector returns the router that writes a claim, none in a small fleet.
func (c *Collected) collector(claim []byte) fleet.RouterID {
	routers := append(slices.Clone(c.Peers.Routers()), c.Self)
	if len(routers) <= smallFleet {
		return ""
	}
	slot := uint64(rendezvous.KeyOf("claim", string(claim))) % collectors
	turns := uint64(c.now().UnixNano() / int64(turn))
	return rendezvous.Pick(rendezvous.KeyOfNumber("claim-collector", turns*collectors+slot), routers)
}

func (c *Collected) now() time.Time {
	if c.Timer == nil {
		return time.Now()
	}
	return c.Timer.Now()
}
