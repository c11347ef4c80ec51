package turn

import (
	"time"

	"nutmeglock.example/nutmeglock/outlier"
	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/registry"
)

// Ticket is a request that waits for its turn or was granted it.
type Ticket struct {
	pool      *Pool
	request   Request
	arrivedAt time.Time
	// patience is the longest time that it may wait.
	patience time.Duration
	// returned is true if the request was refused before.
	returned bool
	// isDue is true if it returned at the time that was reserved for it, and expected is the wait
	// that was predicted for it.
	isDue    bool
	expected time.Duration
	// timing is when the request has to begin, if its home keeps reservations.
	timing timing
	// order lists the upstreams that may serve the request in order of preference, as of
	// generation of the pool's list.
	order      []*engine
	generation int
	// widerOrder also has upstreams of other groups; nil until it is needed.
	widerOrder []*engine
	// holder is the upstream of another group that has the shared prefix in its cache, as of generation.
	holder cacheHolder
	// preferred is the upstream at which the ticket is counted while it waits, and tokens is
	// what that upstream would probably have to read of its prompt.
	preferred *engine
	tokens    int
	// granted is closed when the turn is granted; the fields from engine to startedAt are
	// set before.
	granted chan struct{}
	// refused receives refusal when the pool refuses the waiting ticket.
	refused chan *RefusedError
	refusal *RefusedError
	engine  *engine
	// upstream is the entry at the time of the grant; that of engine changes with the list.
	upstream registry.Upstream
	uncached int
	// fetchFrom is the address of an upstream whose cache has more of the prompt.
	fetchFrom string
	// keptTokens is how much of the prompt the upstream keeps, unless the rest is copied.
	keptTokens int
	// prefillAhead is the tokens that the upstream has to read before the first event.
	prefillAhead int
	startedAt    time.Time
	prefilled    bool
	// statedBefore is the slowdown that the upstream had stated before the grant, and stated what it stated in its answer.
	statedBefore, stated pace.Slowdown
	ended                bool
}

// Patience returns the longest time that the ticket may wait for its turn.
func (t *Ticket) Patience() time.Duration { return t.patience }

// Granted returns a channel that is closed once the ticket is granted.
func (t *Ticket) Granted() <-chan struct{} { return t.granted }

// Refused returns a channel that receives an error if the last upstream that could serve
// the waiting ticket is removed. Cancel needn't be called then.
func (t *Ticket) Refused() <-chan *RefusedError { return t.refused }

// Upstream returns the upstream that the request is sent to. It must not be called before
// the ticket is granted.
func (t *Ticket) Upstream() registry.Upstream { return t.upstream }

// PendingPrefill returns the tokens that the upstream had to read before the request's first
// event, as of the time of the grant.
func (t *Ticket) PendingPrefill() int { return t.prefillAhead }

// FetchFrom returns the address of an upstream whose cache has more of the prompt than that
// of the request's own upstream, empty when there is none or fetching isn't worth it.
func (t *Ticket) FetchFrom() string { return t.fetchFrom }

// Cancel ends the wait of a ticket. It returns nil when the ticket was granted meanwhile.
// It may be called repeatedly and after a refusal.
func (t *Ticket) Cancel(now time.Time) *RefusedError {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.isGranted() || t.refusal != nil {
		return t.refusal
	}
	if p.startAtPatienceEnd(now, t) {
		return nil
	}
	lack := p.lack(now, t)
	p.dequeue(t)
	p.recordRefused(now, t)
	t.refusal = p.refuseTurn(now, t, lack, max(p.expectedWait(now, t.preferred, &t.request), 0))
	return t.refusal
}

func (t *Ticket) isGranted() bool {
	select {
	case <-t.granted:
		return true
	default:
		return false
	}
}

// RecordFirstEvent records the request's first event, which shows that its prompt has been
// read. It does nothing before the grant, when another router may report one by mistake.
func (t *Ticket) RecordFirstEvent(now time.Time) {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !t.isGranted() || t.prefilled || t.ended {
		return
	}
	p.recordRead(now, t)
	p.observeFirstEvent(now, t)
	t.markPrefilled(now, p.overheadOfFirstEvent())
	p.startWaiting(now)
}

// overheadOfFirstEvent returns how long it usually takes from the end of reading a prompt to the arrival of its first
// event, or zero where other routers' prompts are read in between.
func (p *Pool) overheadOfFirstEvent() time.Duration {
	if !p.grouped {
		return 0
	}
	return p.latency.overhead()
}

// markPrefilled records that the upstream had read the prompt, or given it up, before now and the usual duration of
// some work.
func (t *Ticket) markPrefilled(now time.Time, work time.Duration) {
	if t.prefilled {
		return
	}
	t.prefilled = true
	view := t.pool.view(now, 1)
	t.engine.backlog.remove(t, view.workClock(t.engine).Add(-work))
	readAt := now.Add(-view.slowdown(t.engine).Stretch(work))
	if readAt.After(t.engine.lastBusy) {
		t.engine.lastBusy = readAt
	}
}

// Outcome is the result of a granted request.
type Outcome int

const (
	// Served requests were answered.
	Served Outcome = iota + 1
	// Unsent requests were never sent. They count neither as successes nor as failures of
	// the upstream.
	Unsent
	// Abandoned requests were abandoned by their callers.
	Abandoned
	// Refused requests were rejected by the upstream without being run.
	Refused
	// Failed requests got no complete answer.
	Failed
	// Unreachable requests couldn't be sent: the connection to the upstream failed.
	Unreachable
)

// End records the end of the request at its upstream. It does nothing before the grant.
func (t *Ticket) End(now time.Time, outcome Outcome) {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !t.isGranted() || t.ended {
		return
	}
	t.markPrefilled(now, 0)
	t.ended = true
	t.engine.inFlight--
	t.recordEnd(now, outcome)
	if outcome == Unsent || outcome == Refused || outcome == Unreachable {
		p.account(t.request.Account).servedHere.Add(now, serviceWindow, -t.request.cost())
	}
	p.recordOutcome(now, t, outcome)
	p.startWaiting(now)
}

// recordOutcome reports an outcome to the outlier detector.
func (p *Pool) recordOutcome(now time.Time, t *Ticket, outcome Outcome) {
	e, ejected := t.engine, false
	switch outcome {
	case Served:
		p.detector.RecordSuccess(now, e.instance)
		p.observeServiceTime(now, t)
	case Refused, Failed:
		ejected = p.detector.RecordFailure(now, e.instance, outlier.Soft)
	case Unreachable:
		p.suspectRestart(now, e)
		ejected = p.detector.RecordFailure(now, e.instance, outlier.Hard)
	case Unsent, Abandoned:
	}
	if ejected && p.OnOutlier != nil {
		p.OnOutlier(e.upstream)
	}
}
