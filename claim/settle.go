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
	// maxBacklog bounds the rows that wait for the table, in bytes of memory.
	// Beyond it rows stay in state sending, and repeats hear outcome-lost.
	maxBacklog = 16 << 20
	// settlementSize is added for each row that waits, in bytes.
	settlementSize = 512
	// settleFor is how long a row is tried.
	settleFor = 10 * time.Minute
)

// Finish keeps the request's answer, and waits for it as long as ctx lasts.
// When the table doesn't take it by then, Settle tries again. Repeats of the
// request get this answer from the moment at which it is kept.
func (c *Claim) Finish(ctx context.Context, answer Answer) {
	kept, err := c.store.keep(ctx, c, answer)
	if err != nil {
		c.Lose(ctx)
		return
	}
	c.end(ctx, schema.ClaimState_CLAIM_STATE_DONE, kept)
}

// Release gives the key back, because the request was certainly not run.
func (c *Claim) Release(ctx context.Context) {
	c.end(ctx, schema.ClaimState_CLAIM_STATE_NOT_RUN, nil)
}

// Lose records that the request may have been run and has no answer. Without
// it a repeat would hear until the deadline that the request is under way.
func (c *Claim) Lose(ctx context.Context) {
	c.end(ctx, schema.ClaimState_CLAIM_STATE_LOST, nil)
}

// end seals the claim before the write, so that nothing is sent under a row
// that says not-run.
func (c *Claim) end(ctx context.Context, state schema.ClaimState, answer *schema.KeptAnswer) {
	if c.sealed {
		return
	}
	c.sealed = true
	last := c.store.settlement(c, state, answer)
	if !c.store.settle(ctx, last) {
		c.store.backlog.add(last)
	}
}

// settlement is the last write of an attempt, tried until it is in effect.
type settlement struct {
	key     store.Key
	attempt attemptID
	// version is the row's, zero while it is not known or absent.
	version store.RowVersion
	// unsettled is true for an attempt that gave up before it knew whether its
	// claim is in effect.
	unsettled bool
	row       *schema.ClaimRow
	until     time.Time
	size      int
}

func (s *Store) settlement(c *Claim, state schema.ClaimState, answer *schema.KeptAnswer) *settlement {
	row := proto.Clone(c.row).(*schema.ClaimRow) //nolint:forcetypeassert // a clone has its origin's type
	row.State = state
	row.Answer = answer
	return &settlement{
		key: c.key, attempt: c.attempt, version: c.version, row: row,
		until: s.now().Add(settleFor), size: settlementSize + proto.Size(row),
	}
}

// settle writes an attempt's last word if the row still allows it, and reports
// whether there is nothing left to do.
func (s *Store) settle(ctx context.Context, last *settlement) bool {
	if !last.unsettled && last.version == 0 {
		row, version, err := s.read(ctx, last.key, 1)
		if err != nil || attemptID(row.GetAttempt()) != last.attempt {
			return false
		}
		last.version = version
	}
	for range rounds {
		var conflict *store.ConflictError
		err := s.commit(ctx, last.key, last.version, last.row)
		if err == nil {
			return true
		}
		if !errors.As(err, &conflict) {
			return false
		}
		row, version, err := s.read(ctx, last.key, conflict.Found)
		if err != nil {
			return false
		}
		if !last.mayReplace(row) {
			return true
		}
		last.version = version
	}
	return false
}

// mayReplace reports whether the last word may take the place of a row.
//
// The late claim of an unsettled attempt expects an absent row, or one that
// another attempt released. Writing not-run over either makes the claim fail
// when it arrives. Without that, the key would be held by an attempt that never
// sends, and the caller, who was told not-run, would be refused its repeat.
func (l *settlement) mayReplace(row *schema.ClaimRow) bool {
	if row == nil {
		return l.unsettled
	}
	switch row.GetState() {
	case schema.ClaimState_CLAIM_STATE_SENDING:
		return attemptID(row.GetAttempt()) == l.attempt
	case schema.ClaimState_CLAIM_STATE_NOT_RUN:
		return l.unsettled && attemptID(row.GetAttempt()) != l.attempt
	default:
		return false
	}
}

// Settle tries once each write that the table did not take. The router calls
// it every few seconds.
func (s *Store) Settle(ctx context.Context) {
	now := s.now()
	for _, last := range s.backlog.take() {
		if now.After(last.until) || s.settle(ctx, last) {
			continue
		}
		s.backlog.add(last)
	}
}

// backlog holds settlements in bounded memory. Its zero value is empty.
type backlog struct {
	mu   sync.Mutex
	list []*settlement
	size int
}

func (b *backlog) add(last *settlement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.size+last.size > maxBacklog {
		return
	}
	b.size += last.size
	b.list = append(b.list, last)
}

func (b *backlog) take() []*settlement {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.list
	b.list, b.size = nil, 0
	return list
}
