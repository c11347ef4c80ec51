package budget

import "time"

const (
	// excessFraction is the fraction of the connections that may be open beyond their limit, while evicted ones close.
	excessFraction = 1.0 / 8
	// maxLookups bounds how many connections of a stage are looked at to find one that makes no progress.
	maxLookups = 16
	// servingFraction is the fraction of the connections up to which whole requests are in hand whose accounts aren't
	// compared.
	servingFraction = 0.75
	// minOpenTime is the time that a connection gets for its head before it gives way to a new one.
	minOpenTime = 200 * time.Millisecond
)

// makeRoom evicts a connection if there is no room for another one. The lock must be held.
func (p *Pool[A]) makeRoom(now time.Time) ([]victim[A], error) {
	most := p.maxConnections()
	isOverfull := p.connections >= most+max(1, int(excessFraction*float64(most)))
	if !isOverfull && !p.isFull() {
		return nil, nil
	}
	var victims []victim[A]
	if isOverfull {
		// Those that were evicted while a body arrived still send their refusals.
		if l := p.evicted.find(func(l *Lease[A]) bool { return l.stage == Closing }); l != nil {
			victims = append(victims, l.asVictim(Connections))
		}
	}
	if len(victims) == 0 || p.isFull() {
		l := p.leastNeeded(now)
		if l == nil {
			return victims, &ExhaustedError{Resource: Connections, Held: int64(p.connections), Limit: int64(most)}
		}
		victims = append(victims, p.markEvicted(l, Connections))
	}
	return victims, nil
}

// OpenDelay returns how long no connection should be opened, zero if there is room, or some connection is needed less than a new one.
// Connections that are closed soon after they were opened come back at once: accepting as fast as they do takes all of the
// processor time, and closes those of ordinary callers before their heads have come.
func (p *Pool[A]) OpenDelay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isFull() {
		return 0
	}
	l := p.leastNeeded(now)
	if l == nil || l.stage != Head {
		return 0
	}
	return max(minOpenTime-now.Sub(l.since), 0)
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
