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
		e := entry{until: k.Until, term: k.Term}
		known, some := w.list.entries[k.Request]
		if e.isOver(now) || (some && !e.until.After(known.until)) {
			continue
		}
		if w.list.entries == nil {
			w.list.entries = make(map[Fingerprint]entry)
		}
		w.list.expire(now)
		w.list.entries[k.Request] = e
	}
}
