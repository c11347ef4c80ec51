package budget

import "time"

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
