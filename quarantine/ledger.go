package quarantine

import (
	"time"

	"nutmeglock.example/nutmeglock/turn"
)

const (
	// suspectedAfter and refusedAfter are how many upstreams end under a request, one
	// after the other and without a success, before it is suspected and refused.
	suspectedAfter = 2
	refusedAfter   = 3
	// evidenceLife is how long a crash counts.
	evidenceLife = 5 * time.Minute
	// clockSlack is how much reports of one event may differ in their age.
	clockSlack = 10 * time.Millisecond
	// togetherWithin is the time within which upstreams end that end by one cause. A retry
	// may begin and break off meanwhile.
	togetherWithin = 50 * time.Millisecond
	// generationSize is how many requests are remembered at least. Up to twice as many are.
	generationSize = 2048
)

// Crash is the end of an upstream while it ran a request.
type Crash struct {
	Request  Fingerprint
	Upstream turn.Instance
	// Began and Ended are how long ago the request began to run and the upstream ended.
	Began, Ended time.Duration
	// Served is how long ago the request was last served at the router that tells of
	// the crash, zero for never.
	Served time.Duration
}

// Standing is what a ledger says of a request.
type Standing int

// The standings of a request.
const (
	Unremarkable Standing = iota
	Suspected
	Refused
)

// record is the evidence against one request.
type record struct {
	// count is how many crashes count, first and last when their upstreams ended.
	count       int
	first, last time.Time
	// ended are the upstreams of all its crashes.
	ended map[turn.Instance]bool
}

// ledger counts the upstreams that ended under each request. Its zero value is empty.
//
// Upstreams that end together, as in a power cut, count once: a crash only counts if the
// request began to run after the crash before it, and clearly later. A success clears the
// request, so a popular one that runs everywhere collects nothing.
type ledger struct {
	// records are those with a recent crash, older those of the generation before. When
	// records is full it becomes older, and what was older is dropped.
	records map[Fingerprint]*record
	older   map[Fingerprint]*record
}

// report takes a crash, and returns the standing of its request if that has changed.
func (l *ledger) report(now time.Time, c Crash) Standing {
	r := l.of(now, c.Request)
	if r.count > 0 && c.Served > 0 && now.Add(-c.Served).After(r.last) {
		l.clear(c.Request)
		r = l.of(now, c.Request)
	}
	if r.ended[c.Upstream] {
		return Unremarkable
	}
	r.ended[c.Upstream] = true
	began, ended := now.Add(-c.Began), now.Add(-c.Ended)
	if r.count > 0 && (began.Before(r.last.Add(-clockSlack)) || ended.Before(r.last.Add(togetherWithin))) {
		return Unremarkable
	}
	if r.count == 0 {
		r.first = ended
	}
	r.count++
	r.last = ended
	switch {
	case r.count >= refusedAfter:
		return Refused
	case r.count >= suspectedAfter:
		return Suspected
	default:
		return Unremarkable
	}
}

// since returns how long ago the first crash under a request was.
func (l *ledger) since(now time.Time, request Fingerprint) time.Duration {
	if r := l.records[request]; r != nil {
		return now.Sub(r.first)
	}
	return 0
}

func (l *ledger) clear(request Fingerprint) {
	delete(l.records, request)
	delete(l.older, request)
}

// of returns the record of a request, a new one if there is none that still counts.
func (l *ledger) of(now time.Time, request Fingerprint) *record {
	r := l.records[request]
	if r == nil {
		r = l.older[request]
	}
	if r == nil || (r.count > 0 && now.Sub(r.last) >= evidenceLife) {
		r = &record{ended: make(map[turn.Instance]bool)}
	}
	l.keep(request, r)
	return r
}

// keep puts a record into the latest generation.
func (l *ledger) keep(request Fingerprint, r *record) {
	if l.records[request] == r {
		return
	}
	if l.records == nil || len(l.records) >= generationSize {
		l.older = l.records
		l.records = make(map[Fingerprint]*record)
	}
	l.records[request] = r
	delete(l.older, request)
}
