package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
)

const (
	// maxBacklogSize bounds the memory of the backlog, in bytes. Writes beyond it
	// are dropped: their rows stay in state sending, and repeats are refused with
	// outcome-lost after the deadline.
	maxBacklogSize = 16 << 20
	// finalWriteOverhead is the memory of a waiting write beyond its row, in bytes.
	finalWriteOverhead = 512
	// finalWriteTimeout is how long a final write is retried.
	finalWriteTimeout = 10 * time.Minute
)

// Finish stores the request's answer, which repeats get from then on. ctx bounds
// the write; Store.RetryWrites retries it if it fails. If the answer is too large
// or its object can't be written, Finish records the answer as lost.
func (c *Claim) Finish(ctx context.Context, answer Answer) {
	stored, err := c.store.storeAnswer(ctx, c, answer)
	if err != nil {
		c.MarkLost(ctx)
		return
	}
	c.end(ctx, schema.ClaimState_CLAIM_STATE_DONE, stored)
}

// Release makes the key claimable again. The request must certainly not have run.
func (c *Claim) Release(ctx context.Context) {
	c.end(ctx, schema.ClaimState_CLAIM_STATE_NOT_RUN, nil)
}

// MarkLost records that the request may have been run and has no answer. Without
// it a repeat would be refused as a duplicate in flight until the deadline.
func (c *Claim) MarkLost(ctx context.Context) {
	c.end(ctx, schema.ClaimState_CLAIM_STATE_LOST, nil)
}

// end marks the claim as ended before it writes the row, so that the request is
// not sent after its row is in state not-run.
func (c *Claim) end(ctx context.Context, state schema.ClaimState, answer *schema.KeptAnswer) {
	if c.ended {
		return
	}
	c.ended = true
	final := c.store.newFinalWrite(c, state, answer)
	if !c.store.tryFinalWrite(ctx, final) {
		c.store.backlog.add(final)
	}
}

// finalWrite is the last write of an attempt to its row. It is retried until
// it is applied or obsolete, or finalWriteTimeout passes.
type finalWrite struct {
	key     store.Key
	attempt attemptID
	// version is the row's version, zero while unknown or if there is no row.
	version store.RowVersion
	// outcomeUnknown is true if the attempt gave up without knowing whether its claim
	// was written.
	outcomeUnknown bool
	row            *schema.ClaimRow
	giveUpAt       time.Time
	size           int
}

func (s *Store) newFinalWrite(c *Claim, state schema.ClaimState, answer *schema.KeptAnswer) *finalWrite {
	row := proto.Clone(c.row).(*schema.ClaimRow) //nolint:forcetypeassert // a clone has its origin's type
	row.State = state
	row.Answer = answer
	return &finalWrite{
		key: c.key, attempt: c.attempt, version: c.version, row: row,
		giveUpAt: s.now().Add(finalWriteTimeout), size: finalWriteOverhead + proto.Size(row),
	}
}

// tryFinalWrite writes the final row if it may still replace the current one,
// and reports whether nothing is left to do.
func (s *Store) tryFinalWrite(ctx context.Context, final *finalWrite) bool {
	if !final.outcomeUnknown && final.version == 0 {
		row, version, err := s.read(ctx, final.key, 1)
		if err != nil || attemptID(row.GetAttempt()) != final.attempt {
			return false
		}
		final.version = version
	}
	for range maxTries {
		var conflict *store.ConflictError
		err := s.commit(ctx, final.key, final.version, final.row)
		if err == nil {
			return true
		}
		if !errors.As(err, &conflict) {
			return false
		}
		row, version, err := s.read(ctx, final.key, conflict.Found)
		if err != nil {
			return false
		}
		if !final.mayReplace(row) {
			return true
		}
		final.version = version
	}
	return false
}

// mayReplace reports whether the final write may replace a row.
//
// A delayed claim of an attempt with an unknown outcome expects no row, or one
// that another attempt released. Writing not-run over either makes the claim fail
// when it arrives. Otherwise an attempt that never sends would hold the key, and
// the repeat of a caller that got not-run would be refused.
func (f *finalWrite) mayReplace(row *schema.ClaimRow) bool {
	if row == nil {
		return f.outcomeUnknown
	}
	switch row.GetState() {
	case schema.ClaimState_CLAIM_STATE_SENDING:
		return attemptID(row.GetAttempt()) == f.attempt
	case schema.ClaimState_CLAIM_STATE_NOT_RUN:
		return f.outcomeUnknown && attemptID(row.GetAttempt()) != f.attempt
	default:
		return false
	}
}

// RetryWrites retries each final write that failed, once. Sweeper.Start calls it
// every few seconds.
func (s *Store) RetryWrites(ctx context.Context) {
	now := s.now()
	for _, final := range s.backlog.takeAll() {
		if now.After(final.giveUpAt) || s.tryFinalWrite(ctx, final) {
			continue
		}
		s.backlog.add(final)
	}
}

// backlog holds final writes to be retried, in bounded memory. Its zero value
// is empty.
type backlog struct {
	mu     sync.Mutex
	writes []*finalWrite
	size   int
}

func (b *backlog) add(final *finalWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.size+final.size > maxBacklogSize {
		return
	}
	b.size += final.size
	b.writes = append(b.writes, final)
}

func (b *backlog) takeAll() []*finalWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	writes := b.writes
	b.writes, b.size = nil, 0
	return writes
}
