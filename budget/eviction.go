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
