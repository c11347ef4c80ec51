// Package memory implements the platform's services in memory, for tests and
// for running a fleet on one machine. Tests can inject faults into it.
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

// The operations into which faults can be injected.
const (
	OperationRead   = "read"
	OperationScan   = "scan"
	OperationCommit = "commit"
	OperationPut    = "put"
	OperationGet    = "get"
	OperationList   = "list"
	OperationWatch  = "watch"
)

// The causes of the errors that injected faults and the rate limits produce.
var (
	ErrDown        = errors.New("the platform is down")
	ErrReplyLost   = errors.New("the reply was lost")
	ErrRateLimited = errors.New("the platform's rate limit is reached")
)

// Platform implements store.Table, store.ObjectStore and store.VMLister.
// Create it with New. It is safe for concurrent use.
type Platform struct {
	// Faults are the active faults. Supported kinds: down, slow, request-lost,
	// reply-lost, late and stale.
	Faults fault.List

	clock           timer.Service
	mu              sync.Mutex
	table           table
	objects         map[string][]byte
	vms             lag.Value[[]store.VM]
	readLimit       tokenBucket
	writeLimit      tokenBucket
	pendingWrites   int
	operationCounts map[string]int
	// historyStart is the commit after which changes are still available.
	historyStart uint64
	// nextCommit is closed at the next commit.
	nextCommit chan struct{}
	// restores counts the restores from a copy.
	restores uint64
}

// New returns an empty platform that uses clock.
func New(clock timer.Service) *Platform {
	return &Platform{clock: clock, objects: map[string][]byte{}, operationCounts: map[string]int{}}
}

// SetVMListLag sets the delay after which readers see a VM list set with SetVMs.
func (p *Platform) SetVMListLag(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.Delay = delay
}

// SetRateLimits limits reads and writes per second. Zero means unlimited. A
// transaction counts as one write, regardless of its number of rows.
func (p *Platform) SetRateLimits(reads, writes float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readLimit = tokenBucket{rate: reads}
	p.writeLimit = tokenBucket{rate: writes}
}

// SetVMs replaces the list of VMs. Readers see it after the lag; the first list
// is visible at once.
func (p *Platform) SetVMs(vms ...store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.Set(p.clock.Now(), append([]store.VM{}, vms...))
}

// VMs returns the VMs that readers see, regardless of active faults.
func (p *Platform) VMs() []store.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible, _ := p.vms.Get(p.clock.Now())
	return append([]store.VM{}, visible...)
}

// Commits returns the number of transactions applied.
func (p *Platform) Commits() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.lastCommit
}

// OperationCounts returns the number of calls of each operation, regardless of their result.
func (p *Platform) OperationCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.operationCounts)
}

func (p *Platform) countOperation(operation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.operationCounts[operation]++
}

// PendingWrites returns the number of writes that a slow or late fault is delaying.
func (p *Platform) PendingWrites() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pendingWrites
}

// Change is a row that was written or removed.
type Change struct {
	Row     store.Row
	Removed bool
}

// HistoryLostError is returned when changes after the requested commit have been dropped.
type HistoryLostError struct{ After, DroppedThrough uint64 }

// Error returns the requested commit and the last one whose changes were dropped.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("changes after commit %d are dropped up to %d", e.After, e.DroppedThrough)
}

// DropHistory drops all changes so far. Watches that ask for them fail.
func (p *Platform) DropHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.historyStart = p.table.lastCommit
	p.notifyWatchers()
}

// RestoreCopy replaces the rows by a copy that is age old: later transactions are lost, and their numbers
// are given out again. It returns the number of the last transaction before and in the copy.
func (p *Platform) RestoreCopy(age time.Duration) (before, after uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before = p.table.lastCommit
	p.table.truncate(p.clock.Now().Add(-age))
	p.historyStart = min(p.historyStart, p.table.lastCommit)
	p.restores++
	p.notifyWatchers()
	return before, p.table.lastCommit
}

// Era returns a number that rises with each restore from a copy.
func (p *Platform) Era() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.restores
}

// Watch waits up to wait for changes under a prefix after a commit, and returns
// them and the latest commit. It returns no changes if there were none.
func (p *Platform) Watch(ctx context.Context, prefix store.Key, after uint64, wait time.Duration) ([]Change, uint64, error) {
	p.countOperation(OperationWatch)
	if f, faulty := p.Faults.Take(OperationWatch, string(prefix)); faulty {
		if err := p.injectReadFault(ctx, OperationWatch, f); err != nil {
			return nil, 0, err
		}
	}
	expired := make(chan struct{})
	timeout := p.clock.After(wait, func(time.Time) { close(expired) })
	defer timeout.Cancel()
	era := p.Era()
	for {
		changes, commit, next, err := p.changesAfter(era, after, prefix)
		if err != nil || len(changes) > 0 {
			return changes, commit, err
		}
		select {
		case <-next:
		case <-expired:
			return nil, commit, nil
		case <-ctx.Done():
			return nil, 0, &store.UnavailableError{Operation: OperationWatch, Cause: ctx.Err()}
		}
	}
}

// changesAfter returns the changes under a prefix after a commit of an era, the latest
// commit, and a channel that is closed at the next commit.
func (p *Platform) changesAfter(era, after uint64, prefix store.Key) ([]Change, uint64, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after < p.historyStart || after > p.table.lastCommit || era != p.restores {
		return nil, 0, nil, &HistoryLostError{After: after, DroppedThrough: p.historyStart}
	}
	if p.nextCommit == nil {
		p.nextCommit = make(chan struct{})
	}
	return p.table.changes(after, prefix), p.table.lastCommit, p.nextCommit, nil
}

// notifyWatchers wakes every waiting Watch. The lock must be held.
func (p *Platform) notifyWatchers() {
	if p.nextCommit != nil {
		close(p.nextCommit)
		p.nextCommit = nil
	}
}

// Read returns a consistent snapshot of the keys, an older one under a stale fault.
func (p *Platform) Read(ctx context.Context, keys ...store.Key) ([]store.Row, error) {
	var rows []store.Row
	err := p.read(ctx, OperationRead, keyStrings(keys), func(commit uint64) error {
		rows = p.table.read(commit, keys)
		return nil
	})
	return rows, err
}

// Scan returns the rows under a prefix in key order.
func (p *Platform) Scan(ctx context.Context, prefix, after store.Key, limit int) ([]store.Row, error) {
	var rows []store.Row
	err := p.read(ctx, OperationScan, []string{string(prefix)}, func(commit uint64) error {
		rows = p.table.scan(commit, prefix, after, limit)
		return nil
	})
	return rows, err
}

// Get returns an object, or *store.NotFoundError if it does not exist.
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

// List returns the VMs that readers see after the lag.
func (p *Platform) List(ctx context.Context) ([]store.VM, error) {
	var vms []store.VM
	err := p.read(ctx, OperationList, nil, func(uint64) error {
		visible, _ := p.vms.Get(p.clock.Now())
		vms = append([]store.VM{}, visible...)
		return nil
	})
	return vms, err
}

// Commit applies a transaction atomically.
func (p *Platform) Commit(ctx context.Context, txn store.Txn) error {
	keys := make([]string, 0, len(txn.Checks)+len(txn.Writes))
	for _, check := range txn.Checks {
		keys = append(keys, string(check.Key))
	}
	for _, write := range txn.Writes {
		keys = append(keys, string(write.Key))
	}
	return p.write(ctx, OperationCommit, keys, func() error {
		defer p.notifyWatchers()
		return p.table.commit(p.clock.Now(), txn)
	})
}

// Put stores or replaces an object atomically.
func (p *Platform) Put(ctx context.Context, name string, data []byte) error {
	copied := append([]byte{}, data...)
	return p.write(ctx, OperationPut, []string{name}, func() error {
		p.objects[name] = copied
		return nil
	})
}

// read runs fn under the lock, passing the commit whose state to return.
func (p *Platform) read(ctx context.Context, operation string, keys []string, fn func(commit uint64) error) error {
	p.countOperation(operation)
	f, faulty := p.Faults.Take(operation, keys...)
	if faulty && f.Kind != fault.Stale {
		if err := p.injectReadFault(ctx, operation, f); err != nil {
			return err
		}
	}
	if err := ctx.Err(); err != nil {
		return &store.UnavailableError{Operation: operation, Cause: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !p.readLimit.take(now) {
		return &store.UnavailableError{Operation: operation, Cause: ErrRateLimited}
	}
	if faulty && f.Kind == fault.Stale {
		return fn(p.table.staleCommit(f, now))
	}
	return fn(p.table.lastCommit)
}

// injectReadFault applies a fault before a read. A read has no effect, so a
// failed one never returns *store.UnknownOutcomeError.
func (p *Platform) injectReadFault(ctx context.Context, operation string, f fault.Fault) error {
	if f.Kind == fault.Down {
		return &store.UnavailableError{Operation: operation, Cause: ErrDown}
	}
	if err := f.Wait(ctx, p.clock); err != nil {
		return &store.UnavailableError{Operation: operation, Cause: err}
	}
	if f.Kind == fault.Slow {
		return nil
	}
	return &store.UnavailableError{Operation: operation, Cause: ErrReplyLost}
}

// write runs apply under the lock, subject to the active fault for the operation.
func (p *Platform) write(ctx context.Context, operation string, keys []string, apply func() error) error {
	if err := ctx.Err(); err != nil {
		return &store.UnavailableError{Operation: operation, Cause: err}
	}
	p.countOperation(operation)
	f, _ := p.Faults.Take(operation, keys...)
	switch f.Kind {
	case fault.Down:
		return &store.UnavailableError{Operation: operation, Cause: ErrDown}
	case fault.RequestLost:
		return &store.UnknownOutcomeError{Operation: operation, Cause: ErrReplyLost}
	case fault.ReplyLost:
		_ = p.applyWrite(operation, apply)
		return &store.UnknownOutcomeError{Operation: operation, Cause: ErrReplyLost}
	case fault.Late:
		p.applyAfterDelay(operation, f, apply)
		return &store.UnknownOutcomeError{Operation: operation, Cause: ErrReplyLost}
	case fault.Slow:
		return p.slowWrite(ctx, operation, f, apply)
	default:
		return p.applyWrite(operation, apply)
	}
}

// slowWrite applies a write after the fault's delay, even if the caller cancels
// it meanwhile: a store that has received a request does not notice that.
func (p *Platform) slowWrite(ctx context.Context, operation string, f fault.Fault, apply func() error) error {
	select {
	case err := <-p.applyAfterDelay(operation, f, apply):
		return err
	case <-ctx.Done():
		return &store.UnknownOutcomeError{Operation: operation, Cause: ctx.Err()}
	}
}

// applyAfterDelay applies a write after the fault's delay and then sends the
// result on the returned channel.
func (p *Platform) applyAfterDelay(operation string, f fault.Fault, apply func() error) <-chan error {
	result := make(chan error, 1)
	p.clock.After(f.Delay(), func(time.Time) {
		p.addPendingWrites(-1)
		result <- p.applyWrite(operation, apply)
	})
	p.addPendingWrites(1)
	return result
}

func (p *Platform) addPendingWrites(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingWrites += n
}

func (p *Platform) applyWrite(operation string, apply func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.writeLimit.take(p.clock.Now()) {
		return &store.UnavailableError{Operation: operation, Cause: ErrRateLimited}
	}
	return apply()
}

func keyStrings(keys []store.Key) []string {
	result := make([]string, len(keys))
	for i, key := range keys {
		result[i] = string(key)
	}
	return result
}

func keyHasPrefix(key, prefix store.Key) bool { return strings.HasPrefix(string(key), string(prefix)) }
