package claim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/timer"
)

const (
	// defaultDelay is the default of GroupCommitter.Delay.
	defaultDelay = 5 * time.Millisecond
	// defaultMaxTransactions is the default of GroupCommitter.MaxTransactions.
	defaultMaxTransactions = 128
	// commitTimeout bounds the commits of one group.
	commitTimeout = 2 * time.Second
)

// GroupCommitter is a store.Table that commits several transactions as one (group
// commit), because the table allows only several hundred commits a second,
// whatever their size. Reads go to Table directly. Table must be set. It is safe
// for concurrent use.
//
// Only one commit is in progress at a time, so that a slow table gets larger
// groups, not more of them. If a group fails with a conflict, the transaction on
// the conflicting row fails and the others are committed again without it.
type GroupCommitter struct {
	store.Table
	// Delay is how long the first transaction of a group waits for others to join;
	// zero means 5 ms.
	Delay time.Duration
	// MaxTransactions bounds the transactions in a group; zero means 128.
	MaxTransactions int
	// Timer is the clock; nil means the system clock.
	Timer timer.Service

	mu      sync.Mutex
	waiting []*pendingTxn
	// scheduled is true while a commit is scheduled or in progress.
	scheduled bool
}

// pendingTxn is a transaction that waits for its group's commit.
type pendingTxn struct {
	txn  store.Txn
	done chan error
}

// Commit applies a transaction together with others. It fails with the errors
// of store.Table, and with *store.UnknownOutcomeError if ctx ends while its
// group is being committed.
func (g *GroupCommitter) Commit(ctx context.Context, txn store.Txn) error {
	pending := &pendingTxn{txn: txn, done: make(chan error, 1)}
	g.join(pending)
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
	}
	if g.leave(pending) {
		return &store.UnavailableError{Operation: "commit", Cause: ctx.Err()}
	}
	return &store.UnknownOutcomeError{Operation: "commit", Cause: ctx.Err()}
}

func (g *GroupCommitter) join(pending *pendingTxn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = append(g.waiting, pending)
	if !g.scheduled {
		g.scheduled = true
		g.schedule()
	}
}

// leave removes a waiting transaction. It reports false if the transaction's
// group was already taken.
func (g *GroupCommitter) leave(pending *pendingTxn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	index := slices.Index(g.waiting, pending)
	if index < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, index, index+1)
	return true
}

func (g *GroupCommitter) schedule() {
	clock := g.Timer
	if clock == nil {
		clock = timer.System{}
	}
	delay := g.Delay
	if delay == 0 {
		delay = defaultDelay
	}
	clock.After(delay, func(time.Time) { go g.run() })
}

// run commits one group and schedules the next if transactions are waiting.
func (g *GroupCommitter) run() {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	g.commit(ctx, g.takeNext())
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scheduled = len(g.waiting) > 0; g.scheduled {
		g.schedule()
	}
}

// takeNext removes the next group from the waiting transactions. Two
// transactions on the same row can't share a commit, so the second stays.
func (g *GroupCommitter) takeNext() []*pendingTxn {
	limit := g.MaxTransactions
	if limit == 0 {
		limit = defaultMaxTransactions
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	keys := map[store.Key]bool{}
	var group, rest []*pendingTxn
	for _, pending := range g.waiting {
		if len(group) == limit || pending.sharesKeyWith(keys) {
			rest = append(rest, pending)
			continue
		}
		pending.addKeysTo(keys)
		group = append(group, pending)
	}
	g.waiting = rest
	return group
}

// sharesKeyWith reports whether the transaction checks or writes one of keys.
func (p *pendingTxn) sharesKeyWith(keys map[store.Key]bool) bool {
	for _, check := range p.txn.Checks {
		if keys[check.Key] {
			return true
		}
	}
	return slices.ContainsFunc(p.txn.Writes, func(w store.Write) bool { return keys[w.Key] })
}

// addKeysTo adds the keys that the transaction checks or writes.
func (p *pendingTxn) addKeysTo(keys map[store.Key]bool) {
	for _, check := range p.txn.Checks {
		keys[check.Key] = true
	}
	for _, write := range p.txn.Writes {
		keys[write.Key] = true
	}
}

func (g *GroupCommitter) commit(ctx context.Context, group []*pendingTxn) {
	for len(group) > 0 {
		err := g.Table.Commit(ctx, mergeTxns(group))
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || len(group) == 1 {
			completeAll(group, err)
			return
		}
		index := slices.IndexFunc(group, func(pending *pendingTxn) bool {
			return slices.ContainsFunc(pending.txn.Checks, func(c store.Check) bool { return c.Key == conflict.Key })
		})
		if index < 0 {
			completeAll(group, err)
			return
		}
		group[index].done <- err
		group = slices.Delete(group, index, index+1)
	}
}

func completeAll(group []*pendingTxn, err error) {
	for _, pending := range group {
		pending.done <- err
	}
}

func mergeTxns(group []*pendingTxn) store.Txn {
	var txn store.Txn
	for _, pending := range group {
		txn.Checks = append(txn.Checks, pending.txn.Checks...)
		txn.Writes = append(txn.Writes, pending.txn.Writes...)
	}
	return txn
}
