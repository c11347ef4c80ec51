package quarantine

import "time"

// Entry is a request that is refused, as it is kept while no router runs.
type Entry struct {
	Request Fingerprint
	// Until is the end of the term by the time of day.
	Until time.Time
	Term  time.Duration
}

// Restore takes entries that were kept.
func (w *Watch) Restore(now time.Time, kept []Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range kept {
		if e := (entry{until: k.Until, term: k.Term}); !e.isOver(now) {
			w.list.put(now, k.Request, e)
		}
	}
}
