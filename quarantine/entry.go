package quarantine

import "time"

// Entry is a refused request as it is persisted for the time when no router runs.
type Entry struct {
	Request Fingerprint
	// Until is the wall-clock time at which the term ends.
	Until time.Time
	Term  time.Duration
}

// Restore loads persisted entries and ignores those that have expired.
func (w *Tracker) Restore(now time.Time, entries []Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range entries {
		if t := (refusalTerm{until: e.Until, term: e.Term}); !t.isExpired(now) {
			w.refusals.put(now, e.Request, t)
		}
	}
}
