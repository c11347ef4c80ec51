package budget

import (
	"time"

	"nutmeglock.example/nutmeglock/rate"
)

// Lease is what one connection holds of a Pool. Its methods are safe for concurrent use. A nil Lease holds nothing and
// is never refused anything.
type Lease[A comparable] struct {
	pool   *Pool[A]
	holder Holder

	// The rest is guarded by the pool's lock.

	account A
	bytes   int64
	stage   Stage
	// since is when the stage began, and progressAt when the caller last sent or read something.
	since, progressAt time.Time
	// progress decays with progressTime.
	progress rate.DecayingSum
	evicted  *EvictedError
	closed   bool
	// isInHand is set while the request counts towards those that may be in hand.
	isInHand bool

	queue          *queue[A]
	previous, next *Lease[A]
}

func (l *Lease[A]) isEvicted() bool { return l.evicted != nil }

// Take adds bytes to what the connection holds, and evicts others for them if need be. The error is *EvictedError
// if the connection was evicted, and *ExhaustedError if there is no room; nothing is added then.
func (l *Lease[A]) Take(now time.Time, bytes int64) error {
	if l == nil {
		return nil
	}
	p := l.pool
	p.mu.Lock()
	victims, err := p.take(now, l, bytes)
	p.mu.Unlock()
	p.notify(victims)
	return err
}

// Give gives bytes back, if they are more than zero.
func (l *Lease[A]) Give(bytes int64) {
	if l == nil {
		return
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if !l.closed {
		l.pool.charge(l, -max(min(bytes, l.bytes), 0))
	}
}

// Advance records that the caller has sent or read bytes.
func (l *Lease[A]) Advance(now time.Time, bytes int) {
	if l == nil || bytes <= 0 {
		return
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.progressAt = now
	l.progress.Add(now, progressTime, float64(bytes))
}

// Admit sets the account towards which the connection counts, and counts its request towards those that may be in hand. The error
// is *ExhaustedError if there are too many, by its account's share.
func (l *Lease[A]) Admit(account A) error {
	if l == nil {
		return nil
	}
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.closed {
		return nil
	}
	l.moveTo(account)
	if l.isInHand {
		return nil
	}
	if !p.mayServe(account) {
		return &ExhaustedError{Resource: Connections, Held: int64(p.serving), Limit: int64(p.maxConnections())}
	}
	l.count(1)
	return nil
}

// count adds to the number of requests in hand.
func (l *Lease[A]) count(change int) {
	l.isInHand = change > 0
	l.pool.serving += change
	l.pool.use(l.account).serving += change
}

func (l *Lease[A]) moveTo(account A) {
	if l.account == account {
		return
	}
	p, before, bytes := l.pool, l.account, l.bytes
	p.charge(l, -bytes)
	if l.isInHand {
		l.count(-1)
		defer l.count(1)
	}
	delete(p.accounts[before].leases, l)
	p.forget(before)
	l.account = account
	p.use(account).leases[l] = struct{}{}
	p.charge(l, bytes)
}

// Enter begins a stage. A connection that becomes idle gives back all but its own buffers, and belongs to no account.
// The error is *EvictedError if the connection was evicted.
func (l *Lease[A]) Enter(now time.Time, stage Stage) error {
	if l == nil {
		return nil
	}
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.closed {
		return l.errEvicted()
	}
	if l.stage != stage {
		l.stage, l.since, l.progressAt = stage, now, now
		if !l.isEvicted() {
			l.queue.remove(l)
			p.stages[stage].pushBack(l)
		}
	}
	if stage == Idle {
		if l.isInHand {
			l.count(-1)
		}
		var none A
		p.charge(l, min(ConnectionBytes-l.bytes, 0))
		l.moveTo(none)
		l.progress = rate.DecayingSum{}
	}
	return l.errEvicted()
}

// Err returns *EvictedError if the connection was evicted, else nil.
func (l *Lease[A]) Err() error {
	if l == nil {
		return nil
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.errEvicted()
}

func (l *Lease[A]) errEvicted() error {
	if l.evicted == nil {
		return nil
	}
	return l.evicted
}

// Stage returns the stage and since when it lasts.
func (l *Lease[A]) Stage() (Stage, time.Time) {
	if l == nil {
		return Serving, time.Time{}
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.stage, l.since
}

// Bytes returns what the connection holds.
func (l *Lease[A]) Bytes() int64 {
	if l == nil {
		return 0
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.bytes
}

// Close gives back everything. Calls after the first do nothing.
func (l *Lease[A]) Close() {
	if l == nil {
		return
	}
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.closed {
		return
	}
	p.charge(l, -l.bytes)
	if l.isInHand {
		l.count(-1)
	}
	l.closed = true
	p.connections--
	l.queue.remove(l)
	delete(p.accounts[l.account].leases, l)
	p.forget(l.account)
}
