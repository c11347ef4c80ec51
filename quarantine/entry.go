package quarantine

import "time"

// Entry is a request that is refused, as it is kept while no router runs.
type Entry struct {
	Request Fingerprint
	// Until is the end of the term by the time of day.
	Until time.Time
	Term  time.Duration
}

// IsOver reports whether an entry says nothing any more.
func (e Entry) IsOver(now time.Time) bool { return now.Sub(e.Until) > e.Term }

// Restore takes entries that were kept.
func (w *Watch) Restore(now time.Time, kept []Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range kept {
		if !e.IsOver(now) {
			w.list.restore(e)
		}
	}
}
