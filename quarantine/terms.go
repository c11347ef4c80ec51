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

// Term is the latest time for which something is or was refused.
type Term struct {
	Until time.Time
	// Length is that of the whole term.
	Length time.Duration
}

// isExpired reports whether the term and the probation after it are over.
func (t Term) isExpired(now time.Time) bool { return now.Sub(t.Until) > probation }

// clamped limits the term and its end to the longest term, since other routers and the
// store may send any duration.
func (t Term) clamped(now time.Time) Term {
	longest := termLengths[len(termLengths)-1]
	if latest := now.Add(longest); t.Until.After(latest) {
		t.Until = latest
	}
	t.Length = min(t.Length, longest)
	return t
}

// Terms holds what is refused or on probation, by key. Its zero value is empty. It is not
// safe for concurrent use.
type Terms[K comparable] struct {
	terms map[K]Term
}

// Put stores a term. It returns false if one that ends as late is already stored.
func (l *Terms[K]) Put(now time.Time, key K, t Term) bool {
	t = t.clamped(now)
	if !t.Until.After(l.terms[key].Until.Add(clockSlack)) {
		return false
	}
	if l.terms == nil {
		l.terms = make(map[K]Term)
	}
	l.expire(now)
	l.terms[key] = t
	return true
}

// Start refuses a key for its next term, which begins now.
func (l *Terms[K]) Start(now time.Time, key K) Term {
	length := l.nextLength(key)
	t := Term{Until: now.Add(length), Length: length}
	l.Put(now, key, t)
	return t
}

// Remaining returns how long a key is still refused, zero if it isn't.
func (l *Terms[K]) Remaining(now time.Time, key K) time.Duration {
	return max(l.terms[key].Until.Sub(now), 0)
}

// IsOnProbation reports whether a key's term is over but its probation isn't.
func (l *Terms[K]) IsOnProbation(now time.Time, key K) bool {
	t, known := l.terms[key]
	return known && !now.Before(t.Until) && !t.isExpired(now)
}

// Find returns the term of a key, and false if there is none that hasn't expired.
func (l *Terms[K]) Find(now time.Time, key K) (Term, bool) {
	t, known := l.terms[key]
	return t, known && !t.isExpired(now)
}

// Len returns the number of keys that are refused or on probation, or whose probation has ended
// recently.
func (l *Terms[K]) Len() int { return len(l.terms) }

// nextLength returns how long a key is refused the next time.
func (l *Terms[K]) nextLength(key K) time.Duration {
	last := l.terms[key].Length
	for _, length := range termLengths {
		if length > last {
			return length
		}
	}
	return termLengths[len(termLengths)-1]
}

// Release removes a key. It returns false if it was neither refused nor on probation.
func (l *Terms[K]) Release(key K) bool {
	_, known := l.terms[key]
	delete(l.terms, key)
	return known
}

// expire drops expired terms, and the one that ends first if there are too many.
func (l *Terms[K]) expire(now time.Time) {
	var earliest K
	found := false
	for key, t := range l.terms {
		if t.isExpired(now) {
			delete(l.terms, key)
			continue
		}
		if !found || t.Until.Before(l.terms[earliest].Until) {
			earliest, found = key, true
		}
	}
	if len(l.terms) >= maxEntries {
		delete(l.terms, earliest)
	}
}

// IsFirst reports whether this is the first term.
func (t Term) IsFirst() bool { return t.Length <= termLengths[0] }

// ProbationEnd returns when the probation after the term ends.
func (t Term) ProbationEnd() time.Time { return t.Until.Add(probation) }
