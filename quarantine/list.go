package quarantine

import "time"

// terms are for how long a request is refused at first, and each time that it crashes an
// upstream again after that. The first is short, since a sound request may have been
// unlucky; a request that does crash upstreams ends three more of them in a day.
var terms = [...]time.Duration{30 * time.Second, 5 * time.Minute, time.Hour, 24 * time.Hour}

const (
	// probation is how long after its term one crash is enough to refuse a request again.
	probation = time.Hour
	// maxEntries bounds the requests that are refused.
	maxEntries = 1024
)

// entry is a request that is refused, or was of late.
type entry struct {
	until time.Time
	term  time.Duration
}

// isOver reports whether an entry says nothing any more.
func (e entry) isOver(now time.Time) bool { return now.Sub(e.until) > probation }

// bounded returns an entry that ends within the longest term: what other routers and the store
// tell may be of any length.
func (e entry) bounded(now time.Time) entry {
	longest := terms[len(terms)-1]
	if latest := now.Add(longest); e.until.After(latest) {
		e.until = latest
	}
	e.term = min(e.term, longest)
	return e
}

// list holds the requests that are refused. Its zero value is empty.
type list struct {
	entries map[Fingerprint]entry
}

// refuse refuses a request for a time, of a term of which a part may be over. It returns
// false if it is refused as long already.
func (l *list) refuse(now time.Time, request Fingerprint, left, term time.Duration) bool {
	return l.put(now, request, entry{until: now.Add(left), term: term})
}

// put keeps an entry, and returns false if one that ends as late is known.
func (l *list) put(now time.Time, request Fingerprint, e entry) bool {
	e = e.bounded(now)
	if !e.until.After(l.entries[request].until.Add(clockSlack)) {
		return false
	}
	if l.entries == nil {
		l.entries = make(map[Fingerprint]entry)
	}
	l.expire(now)
	l.entries[request] = e
	return true
}

// left returns for how long a request is refused, zero if it isn't.
func (l *list) left(now time.Time, request Fingerprint) time.Duration {
	return max(l.entries[request].until.Sub(now), 0)
}

// isOnProbation reports whether a request was refused of late and isn't now.
func (l *list) isOnProbation(now time.Time, request Fingerprint) bool {
	e, known := l.entries[request]
	return known && !now.Before(e.until) && !e.isOver(now)
}

// nextTerm returns for how long a request is refused the next time.
func (l *list) nextTerm(request Fingerprint) time.Duration {
	last := l.entries[request].term
	for _, term := range terms {
		if term > last {
			return term
		}
	}
	return terms[len(terms)-1]
}

// release ends a term. It returns false if the request wasn't refused of late.
func (l *list) release(request Fingerprint) bool {
	_, known := l.entries[request]
	delete(l.entries, request)
	return known
}

// expire drops the entries that are over, and the one that ends first if there are too many.
func (l *list) expire(now time.Time) {
	var first Fingerprint
	for request, e := range l.entries {
		if e.isOver(now) {
			delete(l.entries, request)
			continue
		}
		if first == 0 || e.until.Before(l.entries[first].until) {
			first = request
		}
	}
	if len(l.entries) >= maxEntries {
		delete(l.entries, first)
	}
}
