package pace

import "time"

// Change is what a statement changes about a process.
type Change int

const (
	// Unchanged means that it works as before, or that it isn't certain yet.
	Unchanged Change = iota
	// TurnedSlow means that it has been slow for longer than settleTime.
	TurnedSlow
	// TurnedUsual means that it works as usual after it had turned slow.
	TurnedUsual
)

const (
	// slowFrom is the slowdown from which a process is slow, and usualUpTo the one up to which it works as usual
	// again. In between it stays what it was.
	slowFrom  Slowdown = 1.25
	usualUpTo Slowdown = 1.1
	// settleTime is how long a process has to be slow before that is reported, so that short slow phases are not.
	settleTime = time.Second
	// maxGap is the number of targets between two statements after which a slow process counts as slow anew. Its
	// former statement had faded before.
	maxGap = 2
)

// period is the time during which a process states that it is slow. Its zero value is none.
type period struct {
	// since is zero while it isn't slow, and last is when it was stated last.
	since, last time.Time
	reported    bool
}

// record records a stated slowdown.
func (p *period) record(at time.Time, target time.Duration, stated Slowdown) Change {
	if p.duration(at, target) == 0 {
		p.since = time.Time{}
	}
	p.last = at
	switch {
	case stated <= usualUpTo:
		wasReported := p.reported
		*p = period{}
		if wasReported {
			return TurnedUsual
		}
	case stated >= slowFrom && p.since.IsZero():
		p.since = at
	}
	if p.since.IsZero() || p.reported || at.Sub(p.since) < settleTime {
		return Unchanged
	}
	p.reported = true
	return TurnedSlow
}

// duration returns how long the process has been slow.
func (p *period) duration(now time.Time, target time.Duration) time.Duration {
	if p.since.IsZero() || now.Sub(p.last) > maxGap*target {
		return 0
	}
	return max(now.Sub(p.since), 1)
}
