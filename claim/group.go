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
	// defaultDelay is how long a transaction waits for others to join it.
	defaultDelay = 5 * time.Millisecond
	// defaultMembers bounds the transactions in one commit.
	defaultMembers = 128
	// commitTimeout bounds one commit of a group.
	commitTimeout = 2 * time.Second
)

// Group is a store.Table that commits many transactions as one, because the
// table takes several hundred writes a second whatever their size. Reads go to
// Table as they are. Table has to be set. It is safe for concurrent use.
//
// One commit is under way at a time, so that a slow table sees larger groups
// and not more of them. A conflict in a group names one row: the transaction
// on it is answered, and the others are committed again without it.
type Group struct {
	store.Table
	// Delay is how long the first transaction of a group waits; zero means 5 ms.
	Delay time.Duration
	// Members bounds a group; zero means 128.
	Members int
	// Timer tells the time; nil means the machine's clock.
	Timer timer.Service

	mu      sync.Mutex
	waiting []*member
	busy    bool
}

// member is a transaction that waits for its group.
type member struct {
	txn  store.Txn
	done chan error
}

// Commit applies a transaction together with others. It fails as the table
// does, and with *store.IndefiniteError when ctx ends while its group is
// being committed.
func (g *Group) Commit(ctx context.Context, txn store.Txn) error {
	m := &member{txn: txn, done: make(chan error, 1)}
	g.join(m)
	select {
	case err := <-m.done:
		return err
	case <-ctx.Done():
	}
	if g.leave(m) {
		return &store.UnavailableError{Operation: "commit", Cause: ctx.Err()}
	}
	return &store.IndefiniteError{Operation: "commit", Cause: ctx.Err()}
}

func (g *Group) join(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = append(g.waiting, m)
	if !g.busy {
		g.busy = true
		g.schedule()
	}
}

// leave reports whether the member left before its group was taken.
func (g *Group) leave(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := slices.Index(g.waiting, m)
	if at < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	return true
}

func (g *Group) schedule() {
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

// run commits one group and schedules the next when there is one.
func (g *Group) run() {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	g.commit(ctx, g.take())
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy = len(g.waiting) > 0; g.busy {
		g.schedule()
	}
}

// take removes the next group from those that wait. Two transactions on one
// row can't be in one commit, so the second stays.
func (g *Group) take() []*member {
	limit := g.Members
	if limit == 0 {
		limit = defaultMembers
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rows := map[store.Key]bool{}
	var group, left []*member
	for _, m := range g.waiting {
		if len(group) == limit || m.touches(rows) {
			left = append(left, m)
			continue
		}
		m.mark(rows)
		group = append(group, m)
	}
	g.waiting = left
	return group
}

func (m *member) touches(rows map[store.Key]bool) bool {
	for _, check := range m.txn.Checks {
		if rows[check.Key] {
			return true
		}
	}
	return slices.ContainsFunc(m.txn.Writes, func(w store.Write) bool { return rows[w.Key] })
}

func (m *member) mark(rows map[store.Key]bool) {
	for _, check := range m.txn.Checks {
		rows[check.Key] = true
	}
	for _, write := range m.txn.Writes {
		rows[write.Key] = true
	}
}

func (g *Group) commit(ctx context.Context, group []*member) {
	for len(group) > 0 {
		err := g.Table.Commit(ctx, merged(group))
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || len(group) == 1 {
			answerAll(group, err)
			return
		}
		hit := slices.IndexFunc(group, func(m *member) bool {
			return slices.ContainsFunc(m.txn.Checks, func(c store.Check) bool { return c.Key == conflict.Key })
		})
		if hit < 0 {
			answerAll(group, err)
			return
		}
		group[hit].done <- err
		group = slices.Delete(group, hit, hit+1)
	}
}

func answerAll(group []*member, err error) {
	for _, m := range group {
		m.done <- err
	}
}

func merged(group []*member) store.Txn {
	var txn store.Txn
	for _, m := range group {
		txn.Checks = append(txn.Checks, m.txn.Checks...)
		txn.Writes = append(txn.Writes, m.txn.Writes...)
	}
	return txn
}
