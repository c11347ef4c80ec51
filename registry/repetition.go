package registry

import "time"

// coldUntilTolerance is the difference between two statements of how long an upstream is
// cold that says nothing.
const coldUntilTolerance = 500 * time.Millisecond

// isRepetition reports whether a change tells nothing new. While an upstream is cold, it
// writes its entry again with each heartbeat, to state how much longer it is cold, and passing
// that on to all routers would cost more than all other changes.
func isRepetition(now time.Time, previous, c Change) bool {
	before, after := previous.Upstream, c.Upstream
	difference := later(after.ColdUntil, now).Sub(later(before.ColdUntil, now)).Abs()
	before.ColdUntil, after.ColdUntil = time.Time{}, time.Time{}
	return !previous.Removed && !c.Removed && before == after && difference <= coldUntilTolerance
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
