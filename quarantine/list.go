package quarantine

import "time"

const (
	// firstTerm is how long a request is refused at first. Each time it crashes an
	// upstream again after that, the term doubles up to maxTerm.
	firstTerm = 5 * time.Minute
	maxTerm   = time.Hour
)

// entry is a request that is refused, or was of late.
type entry struct {
	until time.Time
	term  time.Duration
}

// list holds the requests that are refused. Its zero value is empty.
type list struct {
	entries map[Fingerprint]entry
}

// refuse refuses a request for a time. It returns false if it is refused as long already.
func (l *list) refuse(now time.Time, request Fingerprint, term time.Duration) bool {
	until := now.Add(term)
	known, ok := l.entries[request]
	if ok && !until.After(known.until.Add(clockSlack)) {
		return false
	}
	if l.entries == nil {
		l.entries = make(map[Fingerprint]entry)
	}
	l.expire(now)
	l.entries[request] = entry{until: until, term: max(term, known.term)}
	return true
}

// restore takes an entry that was kept, unless a later one is known.
func (l *list) restore(e Entry) {
	if !e.Until.After(l.entries[e.Request].until) {
		return
	}
	if l.entries == nil {
		l.entries = make(map[Fingerprint]entry)
	}
	l.entries[e.Request] = entry{until: e.Until, term: e.Term}
}

// left returns for how long a request is refused, zero if it isn't.
func (l *list) left(now time.Time, request Fingerprint) time.Duration {
	return max(l.entries[request].until.Sub(now), 0)
}

// nextTerm returns for how long a request is refused that has crashed an upstream again
// after its term, zero if it wasn't refused of late.
func (l *list) nextTerm(request Fingerprint) time.Duration {
	return min(2*l.entries[request].term, maxTerm)
}

// release ends a term. It returns false if the request wasn't refused of late.
func (l *list) release(request Fingerprint) bool {
	_, known := l.entries[request]
	delete(l.entries, request)
	return known
}

// expire drops the requests whose term has been over for as long as it was.
func (l *list) expire(now time.Time) {
	for request, e := range l.entries {
		if now.Sub(e.until) > e.term {
			delete(l.entries, request)
		}
	}
}
