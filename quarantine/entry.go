package quarantine

import "time"

// Entry is the persisted form of a refused request, which survives a restart of all
// routers.
type Entry struct {
	Request Fingerprint
	// Until is the wall-clock time at which the term ends.
	Until time.Time
	Term  time.Duration
}

// Restore loads persisted entries and ignores those that have expired.
func (t *Tracker) Restore(now time.Time, entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		if term := (Term{Until: e.Until, Length: e.Term}); !term.isExpired(now) {
			t.refusals.Put(now, e.Request, term)
		}
	}
}
