package quarantine

import "time"

// termLengths are the times for which a request is refused, one step further each time it
// crashes an upstream again after its term. The first is short, since a harmless request
// may have run at crashing upstreams by chance; with these terms a request that does
// crash upstreams crashes three more of them in a day.
var termLengths = [...]time.Duration{30 * time.Second, 5 * time.Minute, time.Hour, 24 * time.Hour}

const (
	// probation is how long after a term one crash is enough to refuse the request again.
	probation = time.Hour
	// maxEntries is the maximum number of refused requests.
	maxEntries = 1024
)

// refusalTerm is the latest term for which a request is or was refused.
type refusalTerm struct {
	until time.Time
	term  time.Duration
}

// isExpired reports whether the term and the probation after it are over.
func (t refusalTerm) isExpired(now time.Time) bool { return now.Sub(t.until) > probation }

// clamped limits the term and its end to the longest term, since other routers and the
// store may send any duration.
func (t refusalTerm) clamped(now time.Time) refusalTerm {
	longest := termLengths[len(termLengths)-1]
	if latest := now.Add(longest); t.until.After(latest) {
		t.until = latest
	}
	t.term = min(t.term, longest)
	return t
}

// refusalList holds the requests that are refused or on probation. Its zero value is empty.
type refusalList struct {
	terms map[Fingerprint]refusalTerm
}

// refuse refuses a request for the remainder of a term. It returns false if the request
// is already refused for as long.
func (l *refusalList) refuse(now time.Time, request Fingerprint, remaining, term time.Duration) bool {
	return l.put(now, request, refusalTerm{until: now.Add(remaining), term: term})
}

// put stores a term. It returns false if one that ends as late is already stored.
func (l *refusalList) put(now time.Time, request Fingerprint, t refusalTerm) bool {
	t = t.clamped(now)
	if !t.until.After(l.terms[request].until.Add(clockSlack)) {
		return false
	}
	if l.terms == nil {
		l.terms = make(map[Fingerprint]refusalTerm)
	}
	l.expire(now)
	l.terms[request] = t
	return true
}

// remaining returns how long a request is still refused, zero if it isn't.
func (l *refusalList) remaining(now time.Time, request Fingerprint) time.Duration {
	return max(l.terms[request].until.Sub(now), 0)
}

// isOnProbation reports whether a request's term is over but its probation isn't.
func (l *refusalList) isOnProbation(now time.Time, request Fingerprint) bool {
	t, known := l.terms[request]
	return known && !now.Before(t.until) && !t.isExpired(now)
}

// nextTerm returns how long a request is refused the next time.
func (l *refusalList) nextTerm(request Fingerprint) time.Duration {
	last := l.terms[request].term
	for _, term := range termLengths {
		if term > last {
			return term
		}
	}
	return termLengths[len(termLengths)-1]
}

// release removes a request. It returns false if it was neither refused nor on probation.
func (l *refusalList) release(request Fingerprint) bool {
	_, known := l.terms[request]
	delete(l.terms, request)
	return known
}

// expire drops expired terms, and the one that ends first if there are too many.
func (l *refusalList) expire(now time.Time) {
	var earliest Fingerprint
	for request, t := range l.terms {
		if t.isExpired(now) {
			delete(l.terms, request)
			continue
		}
		if earliest == 0 || t.until.Before(l.terms[earliest].until) {
			earliest = request
		}
	}
	if len(l.terms) >= maxEntries {
		delete(l.terms, earliest)
	}
}
