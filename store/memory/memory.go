// Package memory is the platform in memory, for tests and for trying the
// fleet out on one machine. It plays the platform's faults on order.
package memory

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/standin/lag"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/timer"
)

// The operations that a fault can name.
const (
	OperationRead   = "read"
	OperationScan   = "scan"
	OperationCommit = "commit"
	OperationPut    = "put"
	OperationGet    = "get"
	OperationList   = "list"
	OperationWatch  = "watch"
)

// The causes of the errors that faults bring about.
var (
	ErrDown    = errors.New("the platform is down")
	ErrLost    = errors.New("the reply was lost")
	ErrLimited = errors.New("the platform's rate limit is reached")
)

// Platform implements store.Table, store.Objects and store.VMs.
// Create it with New. It is safe for concurrent use.
type Platform struct {
	// Faults are the faults in force: down, slow, request-lost, reply-lost,
	// late and stale.
	Faults fault.List

	clock   timer.Service
	mu      sync.Mutex
	table   table
	objects map[string][]byte
	vms     lag.Value[[]store.VM]
	reads   bucket
	writes  bucket
	waiting int
	counts  map[string]int
	// kept is the commit from which the history of changes is there, and changed
	// is closed at the next commit.
	kept    uint64
	changed chan struct{}
}

// New returns an empty platform that tells the time by clock.
func New(clock timer.Service) *Platform {
	return &Platform{clock: clock, objects: map[string][]byte{}, counts: map[string]int{}}
}

// SetLag sets how much later than SetVMs the list of VMs changes for readers.
func (p *Platform) SetLag(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.By = by
}

// SetLimits bounds reads and writes a second. Zero means no bound. A
// transaction counts as one write, whatever the number of its rows.
func (p *Platform) SetLimits(reads, writes float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads = bucket{rate: reads}
	p.writes = bucket{rate: writes}
}

// SetVMs changes the list of VMs, which readers see after the lag. The first
// list is visible at once.
func (p *Platform) SetVMs(vms ...store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.Set(p.clock.Now(), append([]store.VM{}, vms...))
}

// VMs returns the VMs that are visible after the lag, whatever faults are in force.
func (p *Platform) VMs() []store.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible, _ := p.vms.Get(p.clock.Now())
	return append([]store.VM{}, visible...)
}

// Commits returns the number of transactions that have taken effect.
func (p *Platform) Commits() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.commits
}

// Counts returns how many operations of each kind were asked for, whatever
// became of them.
func (p *Platform) Counts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.counts)
}

func (p *Platform) count(operation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[operation]++
}

// Waiting returns the number of writes that a slow or late fault holds back.
func (p *Platform) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting
}

// Change is a row that was written or removed.
type Change struct {
	Row     store.Row
	Removed bool
}

// HistoryLostError is the error of a watch after a commit whose changes were dropped.
type HistoryLostError struct{ After, Kept uint64 }

// Error names both commits.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("changes after commit %d are dropped up to %d", e.After, e.Kept)
}

// DropHistory forgets the changes up to now: watches that ask for older ones fail.
func (p *Platform) DropHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept = p.table.commits
	p.wake()
}

// Watch returns the changes of a prefix after a commit as soon as there are
// any or wait has passed, and the latest commit.
func (p *Platform) Watch(ctx context.Context, prefix store.Key, after uint64, wait time.Duration) ([]Change, uint64, error) {
	p.count(OperationWatch)
	if f, faulty := p.Faults.Take(OperationWatch, string(prefix)); faulty {
		if err := p.playRead(ctx, OperationWatch, f); err != nil {
			return nil, 0, err
		}
	}
	over := make(chan struct{})
	timeout := p.clock.After(wait, func(time.Time) { close(over) })
	defer timeout.Cancel()
	for {
		changes, commit, next, err := p.changesAfter(after, prefix)
		if err != nil || len(changes) > 0 {
			return changes, commit, err
		}
		select {
		case <-next:
		case <-over:
			return nil, commit, nil
		case <-ctx.Done():
			return nil, 0, &store.UnavailableError{Operation: OperationWatch, Cause: ctx.Err()}
		}
	}
}

// changesAfter returns the changes after a commit, the latest commit, and a
// channel that is closed at the next.
func (p *Platform) changesAfter(after uint64, prefix store.Key) ([]Change, uint64, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after < p.kept {
		return nil, 0, nil, &HistoryLostError{After: after, Kept: p.kept}
	}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.table.changes(after, prefix), p.table.commits, p.changed, nil
}

// wake ends the waits for a change. The lock must be held.
func (p *Platform) wake() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// Read returns a row for each key at one moment, or an older one under a stale fault.
func (p *Platform) Read(ctx context.Context, keys ...store.Key) ([]store.Row, error) {
	var rows []store.Row
	err := p.read(ctx, OperationRead, texts(keys), func(at uint64) error {
		rows = p.table.read(at, keys)
		return nil
	})
	return rows, err
}

// Scan returns the rows of a prefix in the order of their keys.
func (p *Platform) Scan(ctx context.Context, prefix, after store.Key, limit int) ([]store.Row, error) {
	var rows []store.Row
	err := p.read(ctx, OperationScan, []string{string(prefix)}, func(at uint64) error {
		rows = p.table.scan(at, prefix, after, limit)
		return nil
	})
	return rows, err
}

// Get returns an object, or *store.NotFoundError when there is none.
func (p *Platform) Get(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := p.read(ctx, OperationGet, []string{name}, func(uint64) error {
		object, ok := p.objects[name]
		if !ok {
			return &store.NotFoundError{Name: name}
		}
		data = append([]byte{}, object...)
		return nil
	})
	return data, err
}

// List returns the VMs that are visible after the lag.
func (p *Platform) List(ctx context.Context) ([]store.VM, error) {
	var vms []store.VM
	err := p.read(ctx, OperationList, nil, func(uint64) error {
		visible, _ := p.vms.Get(p.clock.Now())
		vms = append([]store.VM{}, visible...)
		return nil
	})
	return vms, err
}

// Commit applies a transaction whole or not at all.
func (p *Platform) Commit(ctx context.Context, txn store.Txn) error {
	keys := make([]string, 0, len(txn.Checks)+len(txn.Writes))
	for _, check := range txn.Checks {
		keys = append(keys, string(check.Key))
	}
	for _, write := range txn.Writes {
		keys = append(keys, string(write.Key))
	}
	return p.write(ctx, OperationCommit, keys, func() error {
		defer p.wake()
		return p.table.commit(p.clock.Now(), txn)
	})
}

// Put stores an object whole.
func (p *Platform) Put(ctx context.Context, name string, data []byte) error {
	copied := append([]byte{}, data...)
	return p.write(ctx, OperationPut, []string{name}, func() error {
		p.objects[name] = copied
		return nil
	})
}

// read runs fn under the lock with the commit that the read is to see.
func (p *Platform) read(ctx context.Context, operation string, keys []string, fn func(at uint64) error) error {
	p.count(operation)
	f, faulty := p.Faults.Take(operation, keys...)
	if faulty && f.Kind != fault.Stale {
		if err := p.playRead(ctx, operation, f); err != nil {
			return err
		}
	}
	if err := ctx.Err(); err != nil {
		return &store.UnavailableError{Operation: operation, Cause: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !p.reads.take(now) {
		return &store.UnavailableError{Operation: operation, Cause: ErrLimited}
	}
	if faulty && f.Kind == fault.Stale {
		return fn(p.table.staleCommit(f, now))
	}
	return fn(p.table.commits)
}

// playRead plays a fault before a read. A read has no effect, so each failure of one is definite.
func (p *Platform) playRead(ctx context.Context, operation string, f fault.Fault) error {
	if f.Kind == fault.Down {
		return &store.UnavailableError{Operation: operation, Cause: ErrDown}
	}
	if err := f.Wait(ctx, p.clock); err != nil {
		return &store.UnavailableError{Operation: operation, Cause: err}
	}
	if f.Kind == fault.Slow {
		return nil
	}
	return &store.UnavailableError{Operation: operation, Cause: ErrLost}
}

// write runs apply under the lock, around the fault that is in force for it.
func (p *Platform) write(ctx context.Context, operation string, keys []string, apply func() error) error {
	if err := ctx.Err(); err != nil {
		return &store.UnavailableError{Operation: operation, Cause: err}
	}
	p.count(operation)
	f, _ := p.Faults.Take(operation, keys...)
	switch f.Kind {
	case fault.Down:
		return &store.UnavailableError{Operation: operation, Cause: ErrDown}
	case fault.RequestLost:
		return &store.IndefiniteError{Operation: operation, Cause: ErrLost}
	case fault.ReplyLost:
		_ = p.apply(operation, apply)
		return &store.IndefiniteError{Operation: operation, Cause: ErrLost}
	case fault.Late:
		p.later(operation, f, apply)
		return &store.IndefiniteError{Operation: operation, Cause: ErrLost}
	case fault.Slow:
		return p.slowWrite(ctx, operation, f, apply)
	default:
		return p.apply(operation, apply)
	}
}

// slowWrite applies a write after the fault's delay, also when the caller has
// given up by then: the store received the request and knows nothing of the caller.
func (p *Platform) slowWrite(ctx context.Context, operation string, f fault.Fault, apply func() error) error {
	select {
	case err := <-p.later(operation, f, apply):
		return err
	case <-ctx.Done():
		return &store.IndefiniteError{Operation: operation, Cause: ctx.Err()}
	}
}

// later applies a write after the fault's delay and then sends its result.
func (p *Platform) later(operation string, f fault.Fault, apply func() error) <-chan error {
	result := make(chan error, 1)
	p.clock.After(f.Delay(), func(time.Time) {
		p.hold(-1)
		result <- p.apply(operation, apply)
	})
	p.hold(1)
	return result
}

func (p *Platform) hold(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += n
}

func (p *Platform) apply(operation string, apply func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.writes.take(p.clock.Now()) {
		return &store.UnavailableError{Operation: operation, Cause: ErrLimited}
	}
	return apply()
}

func texts(keys []store.Key) []string {
	result := make([]string, len(keys))
	for i, key := range keys {
		result[i] = string(key)
	}
	return result
}

func hasPrefix(key, prefix store.Key) bool { return strings.HasPrefix(string(key), string(prefix)) }
