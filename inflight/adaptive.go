package inflight

import (
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
)

// Defaults and thresholds of Adaptive.
const (
	// defaultInitial is small enough that no engine queues on it, and large
	// enough that first answers come from more than one request.
	defaultInitial = 4
	// initialPart is the part of Max that is allowed before any evidence. The
	// figure of a release note is a guess from above. Slots of a first burst go
	// to whoever asks first and stay for a whole residence, and what is not
	// allowed yet idles. In the virtual-time model a third gives a utilisation
	// of 0.97 in a first burst, a gap of 2.2 times the largest request there and
	// of 4.0 after a first comer; a half gives 0.98, 2.7 and 6.5.
	initialPart = 3
	// defaultMax is the largest number of slots that a release note allows.
	defaultMax = 4096
	// staleAfter is how old the latest report may be. Reports come about once
	// a second; three lost ones in a row are not chance.
	staleAfter = 3 * time.Second
	// othersGone is when another dispatcher's requests, last seen in a report
	// that has not been renewed, no longer count: over twice the 13 s that a
	// usual answer streams for.
	othersGone = 30 * time.Second
	// growth is the part by which the limit grows at a report while no knee was
	// seen. Doubling overshoots by a whole batch before the lagging report
	// shows it, and the requests that queue inside hold slots for nothing: in
	// the virtual-time model the gap beside a flood was 20 times the largest
	// request in place of 2.
	growth = 2
	// probeEvery is how many filled reports without a queue go by until the
	// limit is raised past a known knee by one. A probe queues one request for
	// a while, so it should be rare; at one report a second a knee that moved
	// up is found within some seconds. Each probe that queues nothing halves
	// the wait for the next.
	probeEvery = 8
	// refusalHold is how long the limit does not grow after a refusal.
	refusalHold = 5 * time.Second
)

// Adaptive finds the knee of one upstream. Its zero value is ready to use.
//
// Two reports in a row that show a queue give the knee directly: the batch
// held Running requests and no more fitted in. (One alone may have caught a
// request in the instant before it joined a batch with room.) Setting the
// limit to that figure is idempotent, so several late reports of one overshoot
// lower it once, where subtracting or halving at each would empty the batch.
// The limit grows only on a report taken while it was filled, so that the lag
// can't make it grow twice for one observation.
//
// Latency comes in beside reports, for engines that lose throughput before
// they queue: see latency.
//
// When reports stop, the limit keeps what was learnt, since answers that still
// arrive show that the upstream works: it never grows past the last knee, and
// latency and refusals still lower it. An upstream that never reported grows
// by answers alone.
type Adaptive struct {
	// Initial is the limit before any evidence; zero means a third of Max, and
	// 4 where Max is zero too.
	Initial int
	// Max bounds the limit; zero means 4096.
	Max int

	// total is the limit of all dispatchers' requests together; zero before
	// the first use.
	total int
	// knee is the total at which a queue or a refusal was seen last; zero
	// while none was.
	knee int
	// batch is true when the knee came from reports that showed a queue.
	batch bool
	// queued is what ran at the previous report if that showed a queue.
	queued int
	// filled counts filled reports since the limit changed, raised the probes
	// since a knee was seen, answers the answers that stand in for a report.
	filled   int
	raised   int
	answers  int
	latency  latency
	others   [2]int
	reported time.Time
	heldTill time.Time
	draining bool
}

// Limit returns how many requests of this dispatcher may be in flight: the
// knee less what other dispatchers have there, at least 1 so that the upstream
// goes on giving evidence, and 0 while it drains.
func (a *Adaptive) Limit(now time.Time) int {
	if a.draining {
		return 0
	}
	a.begin()
	return max(a.total-a.othersAt(now), 1)
}

// othersAt returns how many requests of other dispatchers are to be allowed
// for: the lesser of two reports, since a request that had just been sent or
// had just ended makes a single one look like another's.
func (a *Adaptive) othersAt(now time.Time) int {
	if now.Sub(a.reported) > othersGone {
		return 0
	}
	return min(a.others[0], a.others[1])
}

func (a *Adaptive) begin() {
	if a.total > 0 {
		return
	}
	initial := a.Initial
	if initial <= 0 && a.Max > 0 {
		initial = max(a.Max/initialPart, 1)
	}
	if initial <= 0 {
		initial = defaultInitial
	}
	a.set(initial)
}

func (a *Adaptive) set(total int) {
	most := a.Max
	if most <= 0 {
		most = defaultMax
	}
	a.total = min(max(total, 1), most)
	a.filled = 0
	a.answers = 0
}

// Reported takes the upstream's own report. One that is older than the latest
// is dropped.
func (a *Adaptive) Reported(now time.Time, load Load, own int) {
	if !load.At.After(a.reported) {
		return
	}
	a.begin()
	a.reported = load.At
	a.draining = load.Draining
	inEngine := load.Running + load.Queued
	a.others = [2]int{max(inEngine-own, 0), a.others[0]}
	if load.Queued > 0 {
		a.sawQueue(now, load.Running)
		return
	}
	a.queued = 0
	if inEngine >= a.total {
		a.wasFilled(now, inEngine)
	}
}

// sawQueue sets the limit to what ran while others queued, at the second
// report in a row. A lower limit stays while latency or a refusal holds it.
func (a *Adaptive) sawQueue(now time.Time, running int) {
	knee := max(running, a.queued)
	again := a.queued > 0
	a.queued = running
	if !again {
		return
	}
	a.knee = knee
	a.batch = true
	a.raised = 0
	held := now.Before(a.heldTill) || (a.latency.high() && !a.batch)
	if knee < a.total || !held {
		a.set(knee)
	}
}

// wasFilled grows the limit after a report or answers that show that many in
// flight and nothing queued. A dispatcher that takes an upstream over starts
// from what its predecessor had found to fit.
func (a *Adaptive) wasFilled(now time.Time, inFlight int) {
	if now.Before(a.heldTill) || (a.latency.high() && !a.atBatch(now)) {
		return
	}
	total := max(a.total, inFlight)
	step := max(total/growth, 1)
	switch {
	case a.knee == 0:
		a.set(total + step)
	case total < a.knee:
		a.set(min(total+step, a.knee))
	default:
		a.probe(total)
	}
}

// probe raises the limit past the knee by one from time to time, since the
// knee moves with the lengths of prompts and answers.
func (a *Adaptive) probe(total int) {
	a.filled++
	if a.filled < max(probeEvery>>a.raised, 1) {
		return
	}
	a.raised = min(a.raised+1, probeEvery)
	a.knee = total
	a.set(total + 1)
}

// Ended takes the evidence of one request.
func (a *Adaptive) Ended(now time.Time, sample Sample) {
	a.begin()
	switch sample.Result {
	case dispatch.Refused:
		a.refused(now, sample)
	case dispatch.Draining:
		a.draining = true
	case dispatch.Failed:
		a.failed(now)
	case dispatch.Answered:
		a.answered(now, sample)
	case dispatch.Unused:
	}
}

// refused lowers the limit below what was in flight at the refused request.
// Refusals of one burst carry about the same figure and lower it once.
func (a *Adaptive) refused(now time.Time, sample Sample) {
	full := sample.InFlight - 1 + a.othersAt(now)
	a.heldTill = now.Add(refusalHold)
	if full < 1 || full >= a.total {
		return
	}
	a.knee = full
	a.set(full)
}

// failed halves the limit, once in each hold: the many requests that break
// with one lost connection are one failure.
func (a *Adaptive) failed(now time.Time) {
	if now.Before(a.heldTill) {
		return
	}
	a.heldTill = now.Add(refusalHold)
	if a.knee == 0 {
		a.knee = a.total
	}
	a.set(a.total / 2)
}

// atBatch reports whether the limit is no more than the batch that fresh
// reports showed. A request that a probe queued inside waits for another to
// end, ten times a usual first token; lowering the limit for that would leave
// a slot of the batch empty.
func (a *Adaptive) atBatch(now time.Time) bool {
	return a.batch && now.Sub(a.reported) <= staleAfter && a.total <= a.knee+1
}

func (a *Adaptive) answered(now time.Time, sample Sample) {
	if a.latency.add(sample.FirstToken) && a.latency.high() && !a.atBatch(now) {
		a.knee = a.total
		a.set(a.total - max(a.total/10, 1))
		a.batch = false
		return
	}
	if now.Sub(a.reported) <= staleAfter {
		return
	}
	// Without reports a full round of answers at the limit stands in for one.
	if sample.InFlight < a.total {
		return
	}
	a.answers++
	if a.answers < a.total {
		return
	}
	a.answers = 0
	if a.reported.IsZero() || a.total < a.knee {
		a.wasFilled(now, a.total)
	}
}
