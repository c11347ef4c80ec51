package turn

import (
	"time"

	"nutmeglock.example/nutmeglock/outlier"
	"nutmeglock.example/nutmeglock/registry"
)

// Ticket is a demand that waits for its turn or has it.
type Ticket struct {
	pool   *Pool
	demand Demand
	asked  time.Time
	// patience is how long it may wait.
	patience time.Duration
	// order are the upstreams that the demand belongs to, as of a generation of
	// the pool's list.
	order      []*engine
	generation int
	// preferred is where the ticket counts as waiting.
	preferred *engine
	// granted is closed with the turn; engine, upstream and work are set before.
	granted chan struct{}
	// refused gets refusal when the pool refuses the ticket by itself.
	refused chan *RefusedError
	refusal *RefusedError
	engine  *engine
	// upstream is the entry as of the turn. That of the engine changes with the list.
	upstream registry.Upstream
	uncached int
	// fetchFrom is the address of an upstream whose cache has more of the prompt.
	fetchFrom string
	// work is the tokens that the upstream has to read before the first event.
	work    int
	started time.Time
	read    bool
	ended   bool
}

// Patience returns how long the ticket may wait for its turn.
func (t *Ticket) Patience() time.Duration { return t.patience }

// Granted returns a channel that is closed once the ticket has its turn.
func (t *Ticket) Granted() <-chan struct{} { return t.granted }

// Refused returns a channel that gets an error if the ticket's turn can't come any more, since
// the last upstream that it could go to has left. The ticket needs no GiveUp then.
func (t *Ticket) Refused() <-chan *RefusedError { return t.refused }

// Upstream returns where the request goes. It may be called once the ticket
// has its turn.
func (t *Ticket) Upstream() registry.Upstream { return t.upstream }

// Work returns the tokens that the upstream had to read before the request's
// first event when it was sent.
func (t *Ticket) Work() int { return t.work }

// FetchFrom returns the address of the upstream whose cache has more of the
// prompt, empty when none has or fetching isn't worth it.
func (t *Ticket) FetchFrom() string { return t.fetchFrom }

// GiveUp ends the wait of a ticket. It returns nil when the turn came meanwhile. It may be
// called again, and after a refusal.
func (t *Ticket) GiveUp(now time.Time) *RefusedError {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.isGranted() || t.refusal != nil {
		return t.refusal
	}
	p.dequeue(t)
	p.account(t.demand.Account).deny(now, &t.demand)
	wait := max(p.expected(now, t.preferred, &t.demand), 0)
	t.refusal = &RefusedError{Wait: wait, Waited: now.Sub(t.asked), RetryAfter: max(wait, leastRetryAfter)}
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

// First notes that the first event has come: the prompt was read. It does nothing before the
// ticket has its turn, as another router may be mistaken.
func (t *Ticket) First(now time.Time) {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !t.isGranted() || t.read || t.ended {
		return
	}
	p.speed.observe(t.work, now.Sub(t.started))
	t.setRead(now)
	p.pump(now)
}

func (t *Ticket) setRead(now time.Time) {
	if t.read {
		return
	}
	t.read = true
	t.engine.unread -= t.uncached
	t.engine.busy = now
}

// Outcome is what became of a request that had its turn.
type Outcome int

const (
	// Served requests were answered.
	Served Outcome = iota + 1
	// Unsent requests weren't sent, and say nothing about the upstream.
	Unsent
	// Left requests were given up by their callers.
	Left
	// Refused requests were rejected by the upstream without being run.
	Refused
	// Failed requests got no whole answer.
	Failed
	// Unreachable upstreams can't be connected to.
	Unreachable
)

// End notes that the request has ended at its upstream. It does nothing before the ticket has
// its turn.
func (t *Ticket) End(now time.Time, outcome Outcome) {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !t.isGranted() || t.ended {
		return
	}
	t.setRead(now)
	t.ended = true
	t.engine.inFlight--
	if outcome == Unsent || outcome == Refused || outcome == Unreachable {
		p.account(t.demand.Account).own.Add(now, serviceWindow, -t.demand.cost())
	}
	p.judge(now, t.engine, outcome)
	p.pump(now)
}

// judge notes an outcome in the upstream's standing.
func (p *Pool) judge(now time.Time, e *engine, outcome Outcome) {
	out := false
	switch outcome {
	case Served:
		p.detector.Success(e.instance)
	case Refused, Failed:
		out = p.detector.Failure(now, e.instance, outlier.Soft)
	case Unreachable:
		out = p.detector.Failure(now, e.instance, outlier.Hard)
	case Unsent, Left:
	}
	if out && p.OnOutlier != nil {
		p.OnOutlier(e.upstream)
	}
}
