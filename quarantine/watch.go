package quarantine

import (
	"sync"
	"time"
)

// Verdict is what a router broadcasts about a request.
type Verdict struct {
	Request Fingerprint
	// Status is Unremarkable when an earlier verdict is withdrawn.
	Status Status
	// FirstCrashAgo is how long ago the first crash of the request was.
	FirstCrashAgo time.Duration
	// Term is the whole time for which a Refused request is refused, Left what remains of
	// it.
	Term, Remaining time.Duration
}

// Tracker detects and refuses requests that crash upstreams, together with the watches of
// the other routers. Its zero value is ready to use. It is safe for concurrent use.
//
// Each crash is reported to a few counting routers, which are chosen by the request. They
// broadcast a verdict when a request becomes suspected or refused. A router that has
// served the request since its first crash objects, which clears the request.
type Tracker struct {
	mu       sync.Mutex
	crashes  crashCounter
	refusals refusalList
	served   servedRequests
}

// RefusedFor returns how long a request is still refused, zero if it isn't.
func (w *Tracker) RefusedFor(now time.Time, request Fingerprint) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refusals.remaining(now, request)
}

// IsOnProbation reports whether a request was recently refused. Such a request is sent
// upstream, but not retried if it fails.
func (w *Tracker) IsOnProbation(now time.Time, request Fingerprint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refusals.isOnProbation(now, request)
}

// RecordServed records that an upstream has answered a request. If the request is refused or on
// probation, it clears it and returns a verdict to broadcast: a run that started before
// the refusal may succeed.
func (w *Tracker) RecordServed(now time.Time, request Fingerprint) (Verdict, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.served.add(now, request)
	if !w.refusals.release(request) {
		return Verdict{}, false
	}
	w.crashes.clear(request)
	return Verdict{Request: request}, true
}

// RecordCrash records that an upstream crashed while it ran a request of this router. It
// returns the crash to report to the counting routers or, if the request was on probation
// and is refused again, a verdict to broadcast.
func (w *Tracker) RecordCrash(now time.Time, crash Crash) (Crash, Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ago, served := w.served.since(now, crash.Request); served {
		crash.ServedAgo = max(ago, 1)
	}
	if !w.refusals.isOnProbation(now, crash.Request) {
		return crash, Verdict{}
	}
	return crash, w.startTerm(now, crash.Request, crash.CrashedAgo)
}

// startTerm refuses a request for its next term.
func (w *Tracker) startTerm(now time.Time, request Fingerprint, since time.Duration) Verdict {
	term := w.refusals.nextTerm(request)
	w.refusals.refuse(now, request, term, term)
	return Verdict{Request: request, Status: Refused, FirstCrashAgo: since, Term: term, Remaining: term}
}

// CountCrash counts a crash that a router reported to this one as a counting router. It
// returns a verdict to broadcast, if there is one.
func (w *Tracker) CountCrash(now time.Time, crash Crash) (Verdict, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	standing := w.crashes.count(now, crash)
	if standing == NotSuspected || w.refusals.remaining(now, crash.Request) > 0 {
		return Verdict{}, false
	}
	v := Verdict{Request: crash.Request, Status: standing, FirstCrashAgo: w.crashes.sinceFirstCrash(now, crash.Request)}
	if w.servedSinceFirstCrash(now, v) {
		w.crashes.clear(crash.Request)
		return Verdict{}, false
	}
	if standing == Refused {
		v = w.startTerm(now, crash.Request, v.FirstCrashAgo)
	}
	return v, true
}

// ApplyVerdict applies the verdict of another router. If this router has served the request
// since its first crash, it returns an objection to broadcast. It also returns whether the
// verdict changed which requests are refused.
func (w *Tracker) ApplyVerdict(now time.Time, v Verdict) (objection Verdict, objects, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.Status == NotSuspected {
		w.crashes.clear(v.Request)
		return Verdict{}, false, w.refusals.release(v.Request)
	}
	if w.servedSinceFirstCrash(now, v) {
		w.crashes.clear(v.Request)
		return Verdict{Request: v.Request}, true, w.refusals.release(v.Request)
	}
	if v.Status == Refused {
		changed = w.refusals.refuse(now, v.Request, v.Remaining, v.Term)
	}
	return Verdict{}, false, changed
}

// ActiveVerdicts returns a verdict for each refused request, to be sent to a router that has just
// connected.
func (w *Tracker) ActiveVerdicts(now time.Time) []Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	var verdicts []Verdict
	for request, t := range w.refusals.terms {
		if left := w.refusals.remaining(now, request); left > 0 {
			verdicts = append(verdicts, Verdict{Request: request, Status: Refused, Term: t.term, Remaining: left})
		}
	}
	return verdicts
}

// servedSinceFirstCrash reports whether this router has served a request since its first crash.
func (w *Tracker) servedSinceFirstCrash(now time.Time, v Verdict) bool {
	ago, served := w.served.since(now, v.Request)
	return served && ago < v.FirstCrashAgo
}
