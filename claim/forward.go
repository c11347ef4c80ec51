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
	// collectorDelay is how long a collector waits for more writes to join a
	// group. Eight collectors together commit at most 200 times a second.
	collectorDelay = 40 * time.Millisecond
	// collectorCount is how many routers are collectors in a large fleet.
	collectorCount = 8
	// rotationPeriod is how long the same routers are collectors. A collector
	// transfers some 16 KB/s of claims, so the load is rotated over all routers.
	// Where clocks differ, some groups are smaller at each change.
	rotationPeriod = 10 * time.Second
	// smallFleetSize is the largest number of routers at which each commits for
	// itself. With 16 routers, two writes a claim and a group each 5 ms, a hundred
	// claims a second are at most 200 writes.
	smallFleetSize = 16
	// verdictTimeout bounds the wait for a collector's verdict. A live collector
	// answers within collectorDelay, a commit and a round trip.
	verdictTimeout = 500 * time.Millisecond
	// maxPeerWrites bounds the concurrent writes of other routers at a collector.
	maxPeerWrites = 4096
)

// Peers sends batches to the other routers.
type Peers interface {
	// Routers returns the other live routers.
	Routers() []fleet.RouterID
	// Send sends a batch to a router. Delivery is not guaranteed.
	Send(to fleet.RouterID, batch *schema.Batch)
}

// ForwardingTable is a store.Table that, in a large fleet, forwards the write of a
// claim to a collector: a router that commits the writes of many routers in
// groups.
//
// With 460 routers and 690 claims a second each router has three writes a
// second, too few to group; the fleet would make some 1,400 commits a second.
// Routers needn't agree on the collectors: if two routers act as the same
// collector, groups only get smaller. If a collector does not answer, the same
// transaction is committed here. If this second commit conflicts, the attempt id
// in the row shows whether the first one was applied.
//
// All fields but Timer must be set, and Receive must be called with each batch
// from a peer. It is safe for concurrent use.
type ForwardingTable struct {
	store.Table
	Self  fleet.RouterID
	Peers Peers
	// Committer commits this router's own writes while the fleet is small, or if a
	// collector does not answer.
	Committer *GroupCommitter
	// Timer is the clock; nil means the system clock.
	Timer timer.Service

	initCollectorCommitter sync.Once
	collectorCommitter     GroupCommitter
	peerWrites             atomic.Int64
	mu                     sync.Mutex
	lastID                 uint64
	pending                map[uint64]pendingWrite
}

// pendingWrite is a forwarded write that waits for its collector's verdict.
type pendingWrite struct {
	to      fleet.RouterID
	verdict chan *schema.ClaimVerdict
}

// firstIDBits is the number of random bits in the first id of a write. If ids
// started at one, a restarted router could mistake the verdict on a write of its
// previous process for that on a new one, and run a request without a claim
// while another router runs it.
const firstIDBits = 48

// Commit applies a transaction. It fails with the errors of store.Table.
func (t *ForwardingTable) Commit(ctx context.Context, txn store.Txn) error {
	write, ok := newClaimWrite(txn)
	if !ok {
		return t.Committer.Commit(ctx, txn)
	}
	to := t.collector(write.GetClaim())
	switch to {
	case "":
		return t.Committer.Commit(ctx, txn)
	case t.Self:
		return t.committerAsCollector().Commit(ctx, txn)
	}
	verdict := t.forward(ctx, to, write)
	if verdict == nil {
		return secondCommitError(t.Committer.Commit(ctx, txn))
	}
	return verdictError(verdict, txn.Checks[0])
}

// secondCommitError returns the error for a transaction that was committed twice,
// from that of the second commit: if the second had no effect, the first still
// may have had one.
func secondCommitError(err error) error {
	var unreachable *store.UnavailableError
	if errors.As(err, &unreachable) {
		return &store.UnknownOutcomeError{Operation: unreachable.Operation, Cause: err}
	}
	return err
}

// forward sends a write to a collector and returns its verdict, or nil if none
// arrives in time.
func (t *ForwardingTable) forward(ctx context.Context, to fleet.RouterID, write *schema.ClaimWrite) *schema.ClaimVerdict {
	verdicts := make(chan *schema.ClaimVerdict, 1)
	write.Id = t.addPending(pendingWrite{to, verdicts})
	defer t.removePending(write.GetId())
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	t.Peers.Send(to, &schema.Batch{ClaimWrites: []*schema.ClaimWrite{write}})
	select {
	case verdict := <-verdicts:
		return verdict
	case <-ctx.Done():
		return nil
	}
}

func (t *ForwardingTable) addPending(write pendingWrite) (id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending == nil {
		t.pending = map[uint64]pendingWrite{}
		t.lastID = rand.Uint64N(1 << firstIDBits)
	}
	t.lastID++
	t.pending[t.lastID] = write
	return t.lastID
}

func (t *ForwardingTable) removePending(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, id)
}

// Receive handles the claim writes and verdicts in a batch from a peer. It does
// not block.
func (t *ForwardingTable) Receive(from fleet.RouterID, batch *schema.Batch) {
	for _, verdict := range batch.GetClaimVerdicts() {
		t.deliver(from, verdict)
	}
	for _, write := range batch.GetClaimWrites() {
		if t.peerWrites.Add(1) > maxPeerWrites {
			t.peerWrites.Add(-1)
			t.sendVerdict(from, &schema.ClaimVerdict{Id: write.GetId(), Effect: schema.ClaimEffect_CLAIM_EFFECT_NONE})
			continue
		}
		go t.commitForPeer(from, write)
	}
}

// deliver passes a verdict to the write that waits for it, if it comes from the
// collector that the write was sent to.
func (t *ForwardingTable) deliver(from fleet.RouterID, verdict *schema.ClaimVerdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	write, ok := t.pending[verdict.GetId()]
	if !ok || write.to != from {
		return
	}
	delete(t.pending, verdict.GetId())
	write.verdict <- verdict
}

// commitForPeer commits a write of another router and sends it the verdict.
func (t *ForwardingTable) commitForPeer(from fleet.RouterID, write *schema.ClaimWrite) {
	defer t.peerWrites.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	key := Prefix + store.Key(hex.EncodeToString(write.GetClaim()))
	err := t.committerAsCollector().Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: key, Version: store.RowVersion(write.GetVersion())}},
		Writes: []store.Write{{Key: key, Value: write.GetRow()}},
	})
	verdict := newVerdict(err)
	verdict.Id = write.GetId()
	t.sendVerdict(from, verdict)
}

func (t *ForwardingTable) sendVerdict(to fleet.RouterID, verdict *schema.ClaimVerdict) {
	t.Peers.Send(to, &schema.Batch{ClaimVerdicts: []*schema.ClaimVerdict{verdict}})
}

// newClaimWrite returns the message for a transaction that only writes the row
// of one claim, and false for any other transaction.
func newClaimWrite(txn store.Txn) (*schema.ClaimWrite, bool) {
	if len(txn.Checks) != 1 || len(txn.Writes) != 1 || txn.Writes[0].Delete || txn.Checks[0].Key != txn.Writes[0].Key {
		return nil, false
	}
	hexKey, ok := strings.CutPrefix(string(txn.Checks[0].Key), string(Prefix))
	claim, err := hex.DecodeString(hexKey)
	if !ok || err != nil {
		return nil, false
	}
	return &schema.ClaimWrite{
		Claim: claim, Version: uint64(txn.Checks[0].Version), Row: txn.Writes[0].Value,
	}, true
}

// newVerdict returns the verdict for the result of a commit. Its effect stays
// unspecified for other errors, which means that the outcome is unknown.
func newVerdict(err error) *schema.ClaimVerdict {
	var (
		conflict    *store.ConflictError
		unreachable *store.UnavailableError
	)
	switch {
	case err == nil:
		return &schema.ClaimVerdict{Effect: schema.ClaimEffect_CLAIM_EFFECT_APPLIED}
	case errors.As(err, &conflict):
		return &schema.ClaimVerdict{Effect: schema.ClaimEffect_CLAIM_EFFECT_CONFLICT, Found: uint64(conflict.Found)}
	case errors.As(err, &unreachable):
		return &schema.ClaimVerdict{Effect: schema.ClaimEffect_CLAIM_EFFECT_NONE}
	default:
		return &schema.ClaimVerdict{}
	}
}

// verdictError returns the error for a verdict. An effect that this version does
// not know means that the outcome is unknown.
func verdictError(verdict *schema.ClaimVerdict, check store.Check) error {
	cause := eris.New("reported by the collecting router")
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
		return &store.UnknownOutcomeError{Operation: "commit", Cause: cause}
	}
}

// committerAsCollector returns the GroupCommitter for the writes that this router
// commits as a collector.
func (t *ForwardingTable) committerAsCollector() *GroupCommitter {
	t.initCollectorCommitter.Do(func() {
		t.collectorCommitter.Table, t.collectorCommitter.Delay, t.collectorCommitter.Timer = t.Table, collectorDelay, t.Timer
	})
	return &t.collectorCommitter
}

// collector returns the router that commits writes of a claim, or "" in a small
// fleet.
func (t *ForwardingTable) collector(claim []byte) fleet.RouterID {
	routers := append(slices.Clone(t.Peers.Routers()), t.Self)
	if len(routers) <= smallFleetSize {
		return ""
	}
	slot := uint64(rendezvous.KeyOf("claim", string(claim))) % collectorCount
	period := uint64(t.now().UnixNano() / int64(rotationPeriod))
	return rendezvous.Pick(rendezvous.KeyOfNumber("claim-collector", period*collectorCount+slot), routers)
}

func (t *ForwardingTable) now() time.Time {
	if t.Timer == nil {
		return time.Now()
	}
	return t.Timer.Now()
}
