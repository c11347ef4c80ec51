// Package budget limits the memory and the connections that a process holds for its callers, and decides whose are given
// up when they run short.
//
// It answers crowds of callers that keep to no limit: that send many long bodies, or stop short of the end of one, or read
// no answer. A limit for each connection is none for all of them together, so everything that is kept for a connection
// counts towards one Pool: its buffers, the head and the body of a request, and the answer.
//
// Beyond the soft limit, connections of the account that holds the most give way: first those that make no progress, the
// largest first, and then those whose requests began last, so that others can end. Those that hold little stay. What was begun by an account that holds
// less than its even share may use the rest, up to the limit. Requests that are whole are never evicted.
//
// A Pool needs no clock and no network: times are passed in.
package budget

import (
	"sync"
	"time"
)

const (
	// DefaultBytes is the memory of a Pool that sets none.
	DefaultBytes = 64 << 20
	// DefaultConnections is the number of connections of a Pool that sets none.
	DefaultConnections = 1024
	// ConnectionBytes is the memory of a connection itself: stacks and buffers of its goroutines.
	ConnectionBytes = 16 << 10

	// softFraction is the fraction of the bytes beyond which connections are evicted. The rest takes what evicted
	// connections hold until they have given it back, and serves accounts that hold little.
	softFraction = 0.75
	// evictionMargin is the fraction of the soft limit that an eviction frees beyond what is asked for, so that not
	// each request under pressure looks for victims.
	evictionMargin = 1.0 / 16
)

// Pool limits what the connections of a process hold. A is the type of accounts; its zero value stands for
// connections whose account isn't known yet. Its zero value has the default limits. It is safe for concurrent use, but its
// fields may not change once it is used.
type Pool[A comparable] struct {
	// Bytes limits the memory in bytes, and MaxConnections the connections; zero means the defaults.
	Bytes          int64
	MaxConnections int
	// OnEvict is called for each eviction, unless it is nil.
	OnEvict func(account A, e Eviction)

	mu   sync.Mutex
	held int64
	// evicting is the part of held that evicted connections have yet to give back.
	evicting int64
	accounts map[A]*accountUse[A]
	// stages hold the connections that weren't evicted, and evicted those that were and aren't closed.
	stages      [stageCount]queue[A]
	evicted     queue[A]
	connections int
	// serving is the number of whole requests.
	serving int
}

// accountUse is what the connections of one account hold.
type accountUse[A comparable] struct {
	// bytes includes what evicted connections still hold, which is counted in evicting, too.
	bytes, evicting int64
	leases          map[*Lease[A]]struct{}
	serving         int
}

// active returns the bytes without those of evicted connections.
func (u *accountUse[A]) active() int64 { return u.bytes - u.evicting }

// Usage is what the connections of a Pool hold.
type Usage[A comparable] struct {
	Bytes, MaxBytes int64
	// Connections has the number of connections by stage, without those that were evicted.
	Connections [stageCount]int
	// Largest is the account that holds the most, and LargestBytes what it holds.
	Largest      A
	LargestBytes int64
}

// Usage returns what is held at the moment.
func (p *Pool[A]) Usage() Usage[A] {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := Usage[A]{Bytes: p.held, MaxBytes: p.maxBytes()}
	for stage := range p.stages {
		u.Connections[stage] = p.stages[stage].length
	}
	for account, use := range p.accounts {
		if use.bytes > u.LargestBytes {
			u.Largest, u.LargestBytes = account, use.bytes
		}
	}
	return u
}

// IsShort reports whether callers hold more than half of the memory.
func (p *Pool[A]) IsShort() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 2*p.held > p.maxBytes()
}

// IsFull reports whether there are as many connections as may be open.
func (p *Pool[A]) IsFull() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isFull()
}

// isFull is IsFull with the lock held. Evicted connections are about to close.
func (p *Pool[A]) isFull() bool { return p.connections-p.evicted.length >= p.maxConnections() }

func (p *Pool[A]) maxBytes() int64 {
	if p.Bytes > 0 {
		return p.Bytes
	}
	return DefaultBytes
}

func (p *Pool[A]) softBytes() int64 { return int64(softFraction * float64(p.maxBytes())) }

func (p *Pool[A]) maxConnections() int {
	if p.MaxConnections > 0 {
		return p.MaxConnections
	}
	return DefaultConnections
}

// Holder is a connection that holds a lease.
type Holder interface {
	// Evict makes the connection give back what it holds. It is called on any goroutine and must not block. After an
	// eviction in stage Body, it may be called once more in stage Closing.
	Evict(e Eviction)
	// IsGone reports whether the caller of a whole request has left without its goroutines being told. It must not call the
	// pool.
	IsGone() bool
}

// Open returns the lease of a new connection, and evicts another one if there are too many. The error is *ExhaustedError
// if all other connections are needed more.
func (p *Pool[A]) Open(now time.Time, holder Holder) (*Lease[A], error) {
	l := &Lease[A]{pool: p, holder: holder, since: now, progressAt: now}
	p.mu.Lock()
	victims, err := p.makeRoom(now)
	if err == nil {
		p.add(l)
	}
	p.mu.Unlock()
	p.notify(victims)
	if err != nil {
		return nil, err
	}
	// It may be evicted for its own buffers, if there is no other.
	if err := l.Take(now, ConnectionBytes); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (p *Pool[A]) add(l *Lease[A]) {
	p.connections++
	p.stages[l.stage].pushBack(l)
	p.use(l.account).leases[l] = struct{}{}
}

func (p *Pool[A]) use(account A) *accountUse[A] {
	if p.accounts == nil {
		p.accounts = make(map[A]*accountUse[A])
	}
	u := p.accounts[account]
	if u == nil {
		u = &accountUse[A]{leases: make(map[*Lease[A]]struct{})}
		p.accounts[account] = u
	}
	return u
}

// forget removes an account without connections.
func (p *Pool[A]) forget(account A) {
	if u := p.accounts[account]; u != nil && len(u.leases) == 0 {
		delete(p.accounts, account)
	}
}

// charge adds bytes, which may be negative, to what a connection holds.
func (p *Pool[A]) charge(l *Lease[A], bytes int64) {
	u := p.use(l.account)
	l.bytes += bytes
	u.bytes += bytes
	p.held += bytes
	if l.isEvicted() {
		u.evicting += bytes
		p.evicting += bytes
	}
}

// notify tells connections that they were evicted.
func (p *Pool[A]) notify(victims []victim[A]) {
	for _, v := range victims {
		if p.OnEvict != nil {
			p.OnEvict(v.account, v.Eviction)
		}
		v.lease.holder.Evict(v.Eviction)
	}
}
