package quarantine

import (
	"sync"
	"time"
)

// Verdict is the message that a router broadcasts about a request.
type Verdict struct {
	Request Fingerprint
	// Status is NotSuspected when an earlier verdict is withdrawn.
	Status Status
	// FirstCrashAgo is how long ago the first crash of the request was.
	FirstCrashAgo time.Duration
	// Term is the total time for which a Refused request is refused, Remaining the rest of
	// it.
	Term, Remaining time.Duration
}

// Tracker detects and refuses requests that crash upstreams, together with the Trackers
// of the other routers. Its zero value is ready to use. It is safe for concurrent use.
//
// Each crash is reported to a few counting routers, which are chosen by the request. They
// broadcast a verdict when a request becomes suspected or refused. A router that has
// served the request since its first crash objects, which clears the request.
type Tracker struct {
	mu       sync.Mutex
	crashes  crashCounter
	refusals Terms[Fingerprint]
	served   servedRequests
}

// RefusedFor returns how long a request is still refused, zero if it isn't.
func (t *Tracker) RefusedFor(now time.Time, request Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals.Remaining(now, request)
}

// Check returns whether a request may be sent, also after its term.
func (t *Tracker) Check(now time.Time, request Fingerprint) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals.Check(now, request)
}

// NextTrial returns how long it takes until the next trial window of a request.
func (t *Tracker) NextTrial(now time.Time, request Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals.NextTrial(now, request)
}

// IsOnProbation reports whether the term of a request's refusal ended recently. Such a
// request is not retried if it fails.
func (t *Tracker) IsOnProbation(now time.Time, request Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals.IsOnProbation(now, request)
}

// RecordServed records that an upstream has answered a request. A request that is refused
// or on probation is cleared, and a verdict to broadcast is returned: a run that started
// before the refusal may succeed.
func (t *Tracker) RecordServed(now time.Time, request Fingerprint) (Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served.add(now, request)
	if !t.refusals.Release(request) {
		return Verdict{}, false
	}
	t.crashes.clear(request)
	return Verdict{Request: request}, true
}

// RecordCrash records that an upstream crashed while it ran a request of this router. It
// returns the crash to report to the counting routers or, if the request was on probation
// and is refused again, a verdict to broadcast instead.
func (t *Tracker) RecordCrash(now time.Time, crash Crash) (Crash, Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ago, served := t.served.since(now, crash.Request); served {
		crash.ServedAgo = max(ago, 1)
	}
	if !t.refusals.IsOnProbation(now, crash.Request) {
		return crash, Verdict{}
	}
	return crash, t.startTerm(now, crash.Request, crash.CrashedAgo)
}

// startTerm refuses a request for its next term.
func (t *Tracker) startTerm(now time.Time, request Fingerprint, firstCrashAgo time.Duration) Verdict {
	term := t.refusals.Start(now, request)
	return Verdict{Request: request, Status: Refused, FirstCrashAgo: firstCrashAgo, Term: term.Length, Remaining: term.Length}
}

// Refuse refuses a request that is known to crash upstreams, unless it is refused or on probation already, or this router has served it
// since its first crash. It returns a verdict to broadcast, if there is one.
func (t *Tracker) Refuse(now time.Time, request Fingerprint, firstCrashAgo time.Duration) (Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.refusals.Find(now, request)
	if known || t.servedSinceFirstCrash(now, Verdict{Request: request, FirstCrashAgo: firstCrashAgo}) {
		return Verdict{}, false
	}
	return t.startTerm(now, request, firstCrashAgo), true
}

// CountCrash counts a crash that a router reported to this one as a counting router. It
// returns a verdict to broadcast, if there is one.
func (t *Tracker) CountCrash(now time.Time, crash Crash) (Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	status := t.crashes.count(now, crash)
	if status == NotSuspected || t.refusals.Remaining(now, crash.Request) > 0 {
		return Verdict{}, false
	}
	v := Verdict{Request: crash.Request, Status: status, FirstCrashAgo: t.crashes.sinceFirstCrash(now, crash.Request)}
	if t.servedSinceFirstCrash(now, v) {
		t.crashes.clear(crash.Request)
		return Verdict{}, false
	}
	if status == Refused {
		v = t.startTerm(now, crash.Request, v.FirstCrashAgo)
	}
	return v, true
}

// ApplyVerdict applies the verdict of another router. If this router has served the request
// since its first crash, it returns an objection to broadcast. It also returns whether the
// verdict changed which requests are refused.
func (t *Tracker) ApplyVerdict(now time.Time, v Verdict) (objection Verdict, objects, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Status == NotSuspected {
		t.crashes.clear(v.Request)
		return Verdict{}, false, t.refusals.Release(v.Request)
	}
	if t.servedSinceFirstCrash(now, v) {
		t.crashes.clear(v.Request)
		return Verdict{Request: v.Request}, true, t.refusals.Release(v.Request)
	}
	if v.Status == Refused {
		changed = t.refusals.Put(now, v.Request, Term{Until: now.Add(v.Remaining), Length: v.Term})
	}
	return Verdict{}, false, changed
}

// ActiveVerdicts returns a verdict for each refused request, to be sent to a router that
// has just connected.
func (t *Tracker) ActiveVerdicts(now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var verdicts []Verdict
	for request, refusal := range t.refusals.terms {
		if remaining := t.refusals.Remaining(now, request); remaining > 0 {
			verdicts = append(verdicts, Verdict{Request: request, Status: Refused, Term: refusal.Length, Remaining: remaining})
		}
	}
	return verdicts
}

// servedSinceFirstCrash reports whether this router has served a request since its first
// crash.
func (t *Tracker) servedSinceFirstCrash(now time.Time, v Verdict) bool {
	ago, served := t.served.since(now, v.Request)
	return served && ago < v.FirstCrashAgo
}
