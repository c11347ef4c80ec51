package quarantine

import (
	"sync"
	"time"
)

// Verdict is what a router tells all others of a request.
type Verdict struct {
	Request Fingerprint
	// Standing is Unremarkable when an earlier verdict is taken back.
	Standing Standing
	// Since is how long ago the first crash under the request was.
	Since time.Duration
	// Term is for how long a request that is Refused is refused in all, and Left from now on.
	Term, Left time.Duration
}

// Watch is one router's part in finding requests that crash upstreams. Its zero value is
// ready to use. It is safe for concurrent use.
//
// Each crash is reported to a few routers that are chosen by the request, which count. They
// tell all routers when a request is suspected and when it is refused. A router that has
// served the request since its first crash objects, which clears it.
type Watch struct {
	mu     sync.Mutex
	ledger ledger
	list   list
	recent recent
}

// Refuses returns for how long a request is refused, zero if it isn't.
func (w *Watch) Refuses(now time.Time, request Fingerprint) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list.left(now, request)
}

// IsOnProbation reports whether a request was refused of late. It is sent, and not
// repeated if it breaks off.
func (w *Watch) IsOnProbation(now time.Time, request Fingerprint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list.isOnProbation(now, request)
}

// Served notes that an upstream has answered a request. It returns a verdict for all
// routers if the request is refused, or was of late: a run that began before may end well.
func (w *Watch) Served(now time.Time, request Fingerprint) (Verdict, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recent.add(now, request)
	if !w.list.release(request) {
		return Verdict{}, false
	}
	w.ledger.clear(request)
	return Verdict{Request: request}, true
}

// Crashed notes that an upstream ended while it ran a request of this router. It returns
// either what has to be reported to those that count, or a verdict for all routers, if
// the request was refused of late and is refused again.
func (w *Watch) Crashed(now time.Time, crash Crash) (Crash, Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ago, served := w.recent.ago(now, crash.Request); served {
		crash.Served = max(ago, 1)
	}
	if !w.list.isOnProbation(now, crash.Request) {
		return crash, Verdict{}
	}
	return crash, w.refuse(now, crash.Request, crash.Ended)
}

// refuse refuses a request for its next term.
func (w *Watch) refuse(now time.Time, request Fingerprint, since time.Duration) Verdict {
	term := w.list.nextTerm(request)
	w.list.refuse(now, request, term, term)
	return Verdict{Request: request, Standing: Refused, Since: since, Term: term, Left: term}
}

// Report takes a crash of any router, as one of those that count. It returns a verdict for
// all routers if there is one.
func (w *Watch) Report(now time.Time, crash Crash) (Verdict, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	standing := w.ledger.report(now, crash)
	if standing == Unremarkable || w.list.left(now, crash.Request) > 0 {
		return Verdict{}, false
	}
	v := Verdict{Request: crash.Request, Standing: standing, Since: w.ledger.since(now, crash.Request)}
	if w.servedSince(now, v) {
		w.ledger.clear(crash.Request)
		return Verdict{}, false
	}
	if standing == Refused {
		v = w.refuse(now, crash.Request, v.Since)
	}
	return v, true
}

// Receive takes the verdict of another router. It returns an objection for all routers if
// this one has served the request meanwhile, and whether the verdict changed what is refused.
func (w *Watch) Receive(now time.Time, v Verdict) (objection Verdict, objects, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.Standing == Unremarkable {
		w.ledger.clear(v.Request)
		return Verdict{}, false, w.list.release(v.Request)
	}
	if w.servedSince(now, v) {
		w.ledger.clear(v.Request)
		return Verdict{Request: v.Request}, true, w.list.release(v.Request)
	}
	if v.Standing == Refused {
		changed = w.list.refuse(now, v.Request, v.Left, v.Term)
	}
	return Verdict{}, false, changed
}

// Refused returns a verdict for each request that is refused, for a router that has
// just connected.
func (w *Watch) Refused(now time.Time) []Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []Verdict
	for request, e := range w.list.entries {
		if left := w.list.left(now, request); left > 0 {
			all = append(all, Verdict{Request: request, Standing: Refused, Term: e.term, Left: left})
		}
	}
	return all
}

// servedSince reports whether this router has served a request since its first crash.
func (w *Watch) servedSince(now time.Time, v Verdict) bool {
	ago, served := w.recent.ago(now, v.Request)
	return served && ago < v.Since
}
