package turn

import (
	"cmp"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/registry"
)

const (
	// lastingTargets is for how many targets an upstream has to be slow before that counts as lasting. Until then a
	// request that would be late there waits, since most slow phases are over within half a second. Afterwards it is
	// sent as if the upstream were as usual, or it would never be served.
	lastingTargets = 2
	// tolerableSlowdown is the slowdown up to which a request goes to an idle upstream though it will be late:
	// waiting gains little.
	tolerableSlowdown pace.Slowdown = 1.25
	// rechecksPerTarget is how often per target the waiting requests are tried while an upstream is slow. A statement
	// fades without an event that would start them.
	rechecksPerTarget = 8
	// defaultPaceTarget applies to services of which no target is known.
	defaultPaceTarget = 500 * time.Millisecond
	// overheadReserve is the part of the target that a longer overhead may take without a shorter backlog. The limit of
	// the backlog leaves more than half of the target for the overhead and the network.
	overheadReserve = 0.2
	// thousandths is the unit of usualThousandths.
	thousandths = 1000
)

// PaceChange reports that an upstream has turned slow, or works as usual again.
type PaceChange struct {
	Upstream registry.Upstream
	Change   pace.Change
	Stated   pace.Slowdown
}

// paceState is what a pool knows of slowdowns besides the estimates of its engines.
type paceState struct {
	// lowestTarget is that of the requests whose upstreams stated a slowdown. It is used if no route of the service has
	// a target time to the first event.
	lowestTarget       time.Duration
	isRecheckScheduled bool
}

// foreignLoad is the number of requests that wait at an upstream and aren't known to this home, by a statement
// that is valid until some time.
type foreignLoad struct {
	waiting int
	until   time.Time
}

// paceView is the part of View on slowdowns.
type paceView struct {
	paceTarget, serviceTime time.Duration
}

func (p *Pool) paceTarget() time.Duration {
	return cmp.Or(p.target, p.pace.lowestTarget, defaultPaceTarget)
}

func (p *Pool) paceView() paceView {
	return paceView{paceTarget: p.paceTarget(), serviceTime: p.serviceTime}
}

// slowdown returns the estimated slowdown of an upstream.
func (v *View) slowdown(e *engine) pace.Slowdown { return e.pace.Slowdown(v.now, v.paceTarget) }

// workClock returns the reading of the clock by which an upstream reads its backlog. Without it, tokens would count as read
// at the speed of the moment: too many after a slow phase, and the upstream would be flooded.
func (v *View) workClock(e *engine) time.Time { return e.pace.Clock(v.now, v.paceTarget) }

// backlogEnd returns when an upstream has probably read all prompts, and the zero time if there are none.
func (v *View) backlogEnd(e *engine) time.Time {
	end := e.backlog.endsAt(v.latency)
	if end.IsZero() {
		return end
	}
	return v.now.Add(v.slowdown(e).Stretch(end.Sub(v.workClock(e))))
}

// reading returns how long an upstream takes to read a number of tokens, and by how much it exceeds the part of the target
// that is left for the rest until a first event.
func (v *View) reading(e *engine, tokens int) time.Duration {
	slowdown := v.slowdown(e)
	reserve := time.Duration(overheadReserve * float64(v.paceTarget))
	return slowdown.Stretch(v.latency.reading(tokens)) + max(v.longerOverhead(slowdown)-reserve, 0)
}

// longerOverhead returns by how much longer than usual the time to a first event is besides reading.
func (v *View) longerOverhead(slowdown pace.Slowdown) time.Duration {
	overhead := v.latency.overhead()
	return slowdown.Stretch(overhead) - overhead
}

// slowedWork returns the tokens that an upstream would usually read in the time until the first event of a prompt, less the
// usual overhead.
func (v *View) slowedWork(e *engine, tokens int) float64 {
	slowdown := v.slowdown(e)
	if slowdown == pace.Usual {
		return float64(tokens)
	}
	return float64(slowdown)*float64(tokens) + v.latency.speed()*v.longerOverhead(slowdown).Seconds()*1000
}

// inFlight returns the requests that all routers have in flight at an upstream, and those that wait there of others.
func (v *View) inFlight(e *engine) int {
	if v.now.Before(e.foreign.until) {
		return e.fleetInFlight() + e.foreign.waiting
	}
	return e.fleetInFlight()
}

// servesInTime reports whether an upstream that is slow for the moment serves a request in time that usually takes
// some time there. It is true of all others, since waiting for them gains nothing.
func (v *View) servesInTime(e *engine, r *Request, usual time.Duration) bool {
	slowFor := e.pace.SlowFor(v.now, v.paceTarget)
	return slowFor == 0 || slowFor >= lastingTargets*v.paceTarget || v.slowdown(e) <= v.highestSlowdown(r, usual)
}

// highestSlowdown returns the slowdown up to which a request is in time, or waiting gains too little.
func (v *View) highestSlowdown(r *Request, usual time.Duration) pace.Slowdown {
	target := cmp.Or(r.Target, v.paceTarget)
	return max(pace.Slowdown(float64(target)/float64(max(usual, 1))), tolerableSlowdown)
}

const (
	// slowLoadWeight is the weight of the slots in use in the score of a plain upstream that takes twice as long as
	// usual or longer. With it, an upstream as usual with a free slot goes first, and one without a free slot last.
	slowLoadWeight = 0.2
	// lateScore is added to the score of an upstream at which a request would be late.
	lateScore = 10
)

// slowedLoad returns the score of a plain upstream with some part of its slots in use.
func (v *View) slowedLoad(e *engine, r *Request, load float64) float64 {
	weight := float64(min(max(v.slowdown(e)-pace.Usual, 0), 1))
	if weight == 0 {
		return load
	}
	idle := 1 - 0.5/float64(max(e.upstream.Slots, 1))
	score := load*(1-weight+weight*slowLoadWeight) + weight*idle
	if !v.servesInTime(e, r, v.serviceTime) {
		score += lateScore
	}
	return score
}

// slowedLimit returns the number of requests in flight below which a plain upstream is open. Those beyond its slots
// wait for longer at a slow upstream, so they are fewer.
func (v *View) slowedLimit(e *engine, limit float64) float64 {
	slots := float64(e.upstream.Slots)
	return slots + (limit-slots)/float64(max(v.slowdown(e), pace.Usual))
}

// usualThousandths returns how many requests an upstream as usual would have to have in flight to serve as many as
// this one in the same time, in thousandths.
func (v *View) usualThousandths(e *engine) int {
	return int(v.slowdown(e).Shrink(time.Duration(v.inFlight(e)) * thousandths))
}

// RecordLoad records what the upstream has stated of its load in an answer that arrived at some time. It has no effect before
// the grant and after the end. Waiting requests are started by RecordFirstEvent or End, which follow.
func (t *Ticket) RecordLoad(at time.Time, s pace.Statement) {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !t.isGranted() || t.ended || !s.Slowdown.IsValid() {
		return
	}
	t.stated = s.Slowdown
	if target := t.request.Target; target > 0 && (p.pace.lowestTarget == 0 || target < p.pace.lowestTarget) {
		p.pace.lowestTarget = target
	}
	e := t.engine
	change := e.pace.Record(at, p.paceTarget(), s.Slowdown)
	if change != pace.Unchanged && p.OnPaceChange != nil {
		p.OnPaceChange(PaceChange{Upstream: e.upstream, Change: change, Stated: s.Slowdown})
	}
	e.foreign = foreignLoad{}
	if excess := s.Waiting - e.fleetInFlight(); p.isHome() && s.HasCounts && excess > 0 {
		e.foreign = foreignLoad{waiting: excess, until: at.Add(p.paceTarget() * 3 / 2)}
	}
	p.scheduleRecheck(at)
}

// statedThroughout returns the slowdown of the ticket's upstream while it served the request, and false if it is unknown.
// Upstreams that state nothing work as usual.
func (t *Ticket) statedThroughout(now time.Time) (pace.Slowdown, bool) {
	switch {
	case !t.engine.pace.IsKnown(now):
		return pace.Usual, true
	case t.stated == 0:
		return 0, false
	}
	return pace.Common(cmp.Or(t.statedBefore, pace.Usual), t.stated)
}

// observeFirstEvent updates the estimates from the time to a first event. The stated slowdown is taken out of it: it would
// make all upstreams look slow, and count again with the next request to this one. So would a wait behind other prompts.
func (p *Pool) observeFirstEvent(now time.Time, t *Ticket) {
	slowdown, known := t.statedThroughout(now)
	if !known {
		return
	}
	took := slowdown.Shrink(now.Sub(t.startedAt))
	if p.HasCaches() {
		t.engine.pace.Observe(now, p.paceTarget(), p.latency.firstEvent(t.prefillAhead), took)
	}
	p.latency.observe(t.prefillAhead, took)
}

// observeServiceTime updates the mean service time from a request that was served.
func (p *Pool) observeServiceTime(now time.Time, t *Ticket) {
	if slowdown, known := t.statedThroughout(now); known {
		p.recordServiceTime(slowdown.Shrink(now.Sub(t.startedAt)))
	}
}

// readingWait returns how long an upstream takes to read a number of tokens, of which it was sent a part: at its present
// pace, if it states nothing more. The rest counts as if it were as usual, since slow phases are short and requests that wait
// may go elsewhere. With the whole at the present pace, engines stood idle beside requests that were refused.
func (p *Pool) readingWait(now time.Time, e *engine, tokens int) time.Duration {
	sent := min(p.view(now, 1).estimatedUnread(e), tokens)
	return e.pace.Duration(now, p.paceTarget(), p.latency.reading(sent)) + p.latency.reading(tokens) - p.latency.reading(sent)
}

// slowWait returns the time until a slow upstream that has nothing to do could take a request, which would be late there
// now. An upstream that answers other requests may state sooner that it works as usual.
func (p *Pool) slowWait(now time.Time, e *engine, r *Request) time.Duration {
	if e.pace.SlowFor(now, p.paceTarget()) == 0 || len(e.backlog.prompts) > 0 {
		return 0
	}
	view := p.view(now, 1)
	usual := p.serviceTime
	if p.HasCaches() {
		usual = p.latency.firstEvent(lowestPrefill(now, e, r))
	}
	if view.servesInTime(e, r, usual) {
		return 0
	}
	wait := lastingTargets*p.paceTarget() - e.pace.SlowFor(now, p.paceTarget())
	if faded := e.pace.FallsTo(now, p.paceTarget(), view.highestSlowdown(r, usual)); faded > 0 {
		wait = min(wait, faded)
	}
	return wait
}

// lowestPrefill returns the cost of a prompt at an upstream, in tokens read, if all that is shared can be copied.
func lowestPrefill(now time.Time, e *engine, r *Request) int {
	cached, shared := e.cachedTokens(now, r), 0
	if n := len(r.Prefixes); n > 1 {
		shared = r.Prefixes[n-2].Tokens
	}
	fetchable := max(shared-cached, 0)
	return r.Input - cached - fetchable + int(fetchCost*float64(fetchable))
}

// scheduleRecheck has the waiting requests tried again in a while if an upstream is slow.
func (p *Pool) scheduleRecheck(now time.Time) {
	isSlow := func(e *engine) bool { return e.pace.SlowFor(now, p.paceTarget()) > 0 }
	if p.ScheduleRecheck == nil || p.pace.isRecheckScheduled || p.waitingCount == 0 || !slices.ContainsFunc(p.engines, isSlow) {
		return
	}
	p.pace.isRecheckScheduled = true
	p.ScheduleRecheck(p.paceTarget() / rechecksPerTarget)
}

// Recheck starts the waiting requests that have room because the statement of a slow upstream has faded.
func (p *Pool) Recheck(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.isRecheckScheduled = false
	p.startWaiting(now)
	p.scheduleRecheck(now)
}

// Slowdowns returns the estimated slowdowns of the upstreams that have stated one lately.
func (p *Pool) Slowdowns(now time.Time) []pace.Slowdown {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []pace.Slowdown
	for _, e := range p.engines {
		if e.pace.IsKnown(now) {
			out = append(out, e.pace.Slowdown(now, p.paceTarget()))
		}
	}
	return out
}
