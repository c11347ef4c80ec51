package budget

import "time"

const (
	// progressTime is the time constant over which progress is measured.
	progressTime = time.Second
	// slowTime is the time within which a caller has to send as much as is kept for it, at its present pace. A body has
	// to arrive in that time.
	slowTime = 10 * time.Second
	// graceTime is how long a connection may stay in a stage before it can count as slow, and silentTime how long a caller
	// may send nothing.
	graceTime  = 500 * time.Millisecond
	silentTime = time.Second
	// stallTime is how long a caller that reads no answer is waited for while others need room.
	stallTime = 2 * time.Second
	// maxLookups bounds how many connections of a stage are looked at to find one that makes no progress.
	maxLookups = 16
	// servingFraction is the fraction of the connections up to which whole requests are in hand whose accounts aren't
	// compared.
	servingFraction = 0.75
)

// victim is a connection that was evicted.
type victim[A comparable] struct {
	lease   *Lease[A]
	account A
	Eviction
}

// take adds bytes to what a connection holds. The lock must be held.
func (p *Pool[A]) take(now time.Time, l *Lease[A], bytes int64) ([]victim[A], error) {
	if l.evicted != nil {
		return nil, l.evicted
	}
	if l.closed {
		return nil, &ExhaustedError{Resource: Memory, Held: p.held, Limit: p.maxBytes()}
	}
	if p.held+bytes <= p.softBytes() {
		p.charge(l, bytes)
		return nil, nil
	}
	victims := p.evict(now, l, bytes)
	if l.evicted != nil {
		return victims, l.evicted
	}
	if p.mayExceed(l, bytes) {
		p.charge(l, bytes)
		return victims, nil
	}
	return victims, &ExhaustedError{Resource: Memory, Held: p.held, Limit: p.maxBytes()}
}

// mayExceed reports whether a connection may take bytes beyond the soft limit: if evicted connections give back enough, or if
// its account holds no more than its even share.
func (p *Pool[A]) mayExceed(l *Lease[A], bytes int64) bool {
	if p.held+bytes > p.maxBytes() {
		return false
	}
	return p.held-p.evicting+bytes <= p.softBytes() || p.use(l.account).active()+bytes <= p.evenShare()
}

// evenShare returns the share of the soft limit of one account.
func (p *Pool[A]) evenShare() int64 { return p.softBytes() / int64(max(len(p.accounts), 1)) }

// evict evicts connections until there is room for the bytes that l asks for, or none is left that may be evicted for l.
// It may evict l itself.
func (p *Pool[A]) evict(now time.Time, l *Lease[A], bytes int64) []victim[A] {
	var victims []victim[A]
	target := p.softBytes() - int64(evictionMargin*float64(p.softBytes()))
	searched := make(map[A]bool)
	for p.held-p.evicting+bytes > target && l.evicted == nil {
		account, found := p.heaviest(l, bytes, searched)
		if !found {
			break
		}
		worst := p.accounts[account].worst(now)
		if worst == nil {
			searched[account] = true
			continue
		}
		victims = append(victims, p.markEvicted(worst, Memory))
	}
	return victims
}

// heaviest returns the account that holds the most, if what l asks for were granted, among those not yet searched.
// Accounts that hold less than that of l, or no more than their even share, needn't give way.
func (p *Pool[A]) heaviest(l *Lease[A], bytes int64, searched map[A]bool) (heaviest A, found bool) {
	own := p.use(l.account).active() + bytes
	most := p.evenShare()
	for account, u := range p.accounts {
		size := u.active()
		if account == l.account {
			size = own
		}
		if size >= own && size > most && !searched[account] {
			heaviest, most, found = account, size, true
		}
	}
	return heaviest, found
}

func (p *Pool[A]) markEvicted(l *Lease[A], r Resource) victim[A] {
	v := l.asVictim(r)
	l.evicted = &EvictedError{v.Eviction}
	l.queue.remove(l)
	p.evicted.pushBack(l)
	p.evicting += l.bytes
	p.use(l.account).evicting += l.bytes
	return v
}

func (l *Lease[A]) asVictim(r Resource) victim[A] {
	return victim[A]{lease: l, account: l.account, Eviction: Eviction{Resource: r, Stage: l.stage, Bytes: l.bytes}}
}

// mayServe reports whether another whole request of an account may be in hand. Beyond a part of the connections, an account has no
// more than its even share, so that there is always room for connections whose account isn't known yet.
func (p *Pool[A]) mayServe(account A) bool {
	limit := int(servingFraction * float64(p.maxConnections()))
	if p.serving < limit {
		return true
	}
	accounts := 0
	for _, u := range p.accounts {
		if u.serving > 0 {
			accounts++
		}
	}
	return p.serving < p.maxConnections() && p.use(account).serving < limit/max(accounts, 1)
}

// worst returns the connection of an account that gives way first: the largest of those that make no progress, else the
// one whose stage began last; nil if none may be evicted. Those that hold less than half of the mean are left out: they free
// little, and may be ordinary ones beside a crowd.
func (u *accountUse[A]) worst(now time.Time) *Lease[A] {
	var total, count int64
	for l := range u.leases {
		if l.isEvictable(now) {
			total += l.bytes
			count++
		}
	}
	var slow, newest *Lease[A]
	for l := range u.leases {
		switch {
		case !l.isEvictable(now) || 2*count*l.bytes < total:
		case l.isSlow(now):
			if slow == nil || l.bytes > slow.bytes {
				slow = l
			}
		case newest == nil || l.since.After(newest.since):
			newest = l
		}
	}
	if slow != nil {
		return slow
	}
	return newest
}

// isEvictable reports whether a connection may be evicted.
func (l *Lease[A]) isEvictable(now time.Time) bool {
	if l.isEvicted() {
		return false
	}
	switch l.stage {
	case Serving:
		return false
	case Sending:
		return now.Sub(l.progressAt) > stallTime
	default:
		return true
	}
}

// isSlow reports whether a connection makes too little progress for what it holds.
func (l *Lease[A]) isSlow(now time.Time) bool {
	if now.Sub(l.since) < graceTime {
		return false
	}
	return now.Sub(l.progressAt) >= silentTime || float64(l.bytes) > l.progress.At(now, progressTime)*(slowTime.Seconds()/progressTime.Seconds())
}

// makeRoom evicts a connection if there is no room for another one. The lock must be held.
func (p *Pool[A]) makeRoom(now time.Time) ([]victim[A], error) {
	most := p.maxConnections()
	isFull := p.connections >= most+max(1, int(excessFraction*float64(most)))
	if !isFull && p.connections-p.evicted.length < most {
		return nil, nil
	}
	var victims []victim[A]
	if isFull {
		// Those that were evicted while a body arrived still send their refusals.
		if l := p.evicted.find(func(l *Lease[A]) bool { return l.stage == Closing }); l != nil {
			victims = append(victims, l.asVictim(Connections))
		}
	}
	if len(victims) == 0 || p.connections-p.evicted.length >= most {
		l := p.leastNeeded(now)
		if l == nil {
			return victims, &ExhaustedError{Resource: Connections, Held: int64(p.connections), Limit: int64(most)}
		}
		victims = append(victims, p.markEvicted(l, Connections))
	}
	return victims, nil
}

// leastNeeded returns the connection that gives way to a new one: the first of those that only close, that have had no
// whole head for some time, whose bodies make no progress, that are idle, or whose callers read nothing; else the oldest without
// a whole request. It returns nil if all are needed.
func (p *Pool[A]) leastNeeded(now time.Time) *Lease[A] {
	hasWaited := func(l *Lease[A]) bool { return now.Sub(l.since) > graceTime }
	always := func(*Lease[A]) bool { return true }
	for _, candidate := range []struct {
		stage Stage
		fits  func(*Lease[A]) bool
	}{
		{Closing, always},
		{Head, hasWaited},
		{Body, func(l *Lease[A]) bool { return l.isSlow(now) }},
		{Idle, always},
		{Sending, func(l *Lease[A]) bool { return now.Sub(l.progressAt) > stallTime }},
		{Head, always},
		{Body, always},
	} {
		if l := p.stages[candidate.stage].find(candidate.fits); l != nil {
			return l
		}
	}
	return nil
}

// find returns the first lease of the queue that fits. It looks at the first few only.
func (q *queue[A]) find(fits func(*Lease[A]) bool) *Lease[A] {
	l := q.first
	for looked := 0; l != nil && looked < maxLookups; looked++ {
		if fits(l) {
			return l
		}
		l = l.next
	}
	return nil
}

// Timeouts limit how long connections stay in a stage. Zero means no limit.
type Timeouts struct {
	// Head limits the time in which a head that has begun must come, from the start of the connection or the first byte.
	Head time.Duration
	// Sending limits the time for which a caller reads nothing of its answer.
	Sending time.Duration
}

// Expire evicts the connections that have stayed in a stage for too long, and those whose callers have left.
func (p *Pool[A]) Expire(now time.Time, t Timeouts) {
	p.mu.Lock()
	victims := p.expire(now, Head, t.Head, func(l *Lease[A]) bool { return l.bytes > ConnectionBytes })
	victims = append(victims, p.expire(now, Sending, t.Sending, func(*Lease[A]) bool { return true })...)
	victims = append(victims, p.expire(now, Serving, graceTime, func(l *Lease[A]) bool { return l.holder.IsGone() })...)
	p.mu.Unlock()
	p.notify(victims)
}

func (p *Pool[A]) expire(now time.Time, stage Stage, timeout time.Duration, fits func(*Lease[A]) bool) []victim[A] {
	var victims []victim[A]
	if timeout <= 0 {
		return nil
	}
	for l := p.stages[stage].first; l != nil && now.Sub(l.since) > timeout; {
		next := l.next
		if fits(l) {
			victims = append(victims, p.markEvicted(l, Time))
		}
		l = next
	}
	return victims
}
