package inflight

import (
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
)

// Defaults and thresholds of Adaptive.
const (
	// defaultInitial is small enough that no engine queues requests, and large enough
	// that the first evidence comes from more than one request.
	defaultInitial = 4
	// initialDivisor divides Max to give the limit before there is any evidence. The
	// slot count of a release note tends to be too high. The slots of a first burst go
	// to the accounts whose requests arrive first and stay taken until these end, while
	// slots not yet allowed are idle. In the virtual-time model a third of Max gives a
	// utilisation of 0.97 in a first burst, and a gap between the accounts' service of
	// 2.2 times the largest request there and 4.0 times after one account came first;
	// a half gives 0.98, 2.7 and 6.5.
	initialDivisor = 3
	// defaultMax is the largest number of slots that a release note allows.
	defaultMax = 4096
	// staleAfter is the age from which the latest report is ignored. Reports arrive
	// about once a second, and the loss of three in a row is unlikely to be chance.
	staleAfter = 3 * time.Second
	// othersExpireAfter is the age of the latest report from which the requests of
	// other dispatchers in it no longer count: over twice the 13 s for which a usual
	// answer streams.
	othersExpireAfter = 30 * time.Second
	// growthDivisor sets the growth per report while no knee is known: the limit grows
	// by its value divided by this. Doubling overshoots by a whole batch before the
	// delayed report shows it, and requests queued in the engine then hold slots without
	// running: in the virtual-time model the gap between accounts during a flood was 20
	// times the largest request instead of 2.
	growthDivisor = 2
	// probeInterval is the number of full reports without a queue after which the limit
	// is raised by one above a known knee. A probe queues one request for a while, so it
	// should be rare; at one report per second a knee that moved up is found within
	// some seconds. Each probe without a queue halves the interval for the next one.
	probeInterval = 8
	// growthPause is how long the limit doesn't grow after a refusal or a failure.
	growthPause = 5 * time.Second
)

// Adaptive finds the knee of one upstream: the number of requests at which its batch is
// full and none queues. Its zero value is ready to use.
//
// Two consecutive reports with a queue give the knee directly: the batch held Running
// requests and no more fitted. A single one may have caught a request just before it
// joined a batch with room. Setting the limit to that number is idempotent, so several
// delayed reports of one overshoot lower it only once, whereas subtracting or halving at
// each report would empty the batch. The limit grows only on a report taken while it was
// fully used, so that the delay can't make it grow twice for one observation.
//
// Latency is used as well, for engines that lose throughput before they queue: see
// firstTokenLatency.
//
// When reports stop, the last knee stays in effect, since answers that still arrive show
// that the upstream works: the limit never grows past it, and latency and refusals still
// lower the limit. For an upstream that never reported, the limit grows by answers alone.
type Adaptive struct {
	// Initial is the limit before there is any evidence; zero means a third of Max, or
	// 4 if Max is zero too.
	Initial int
	// Max is the maximum of the limit; zero means 4096.
	Max int

	// limit applies to the requests of all dispatchers together. It is zero before the
	// first use.
	limit int
	// knee is the number of requests in flight at which a queue, a refusal, a failure or
	// high latency was last seen, plus successful probes; zero while none was seen.
	knee int
	// kneeFromReports is true if the knee comes from reports with a queue.
	kneeFromReports bool
	// runningWithQueue is Running of the previous report if it had a queue, else zero.
	runningWithQueue int
	// fullReports counts the reports at the knee with the limit fully used since the limit
	// changed, probes the probes since reports last showed a queue, and fullAnswers the
	// answers at the limit, which are used in place of a report.
	fullReports       int
	probes            int
	fullAnswers       int
	latency           firstTokenLatency
	others            [2]int
	reportedAt        time.Time
	growthPausedUntil time.Time
	draining          bool
}

// Limit returns how many requests of this dispatcher may be in flight: the limit less the
// requests of other dispatchers, at least 1 so that there is further evidence, and 0 while
// the upstream drains.
func (a *Adaptive) Limit(now time.Time) int {
	if a.draining {
		return 0
	}
	a.initialize()
	return max(a.limit-a.othersInFlight(now), 1)
}

// othersInFlight returns how many requests other dispatchers have in flight: the lower of
// two reports, since in a single one an own request that was just sent or has just ended
// may look like one of another dispatcher.
func (a *Adaptive) othersInFlight(now time.Time) int {
	if now.Sub(a.reportedAt) > othersExpireAfter {
		return 0
	}
	return min(a.others[0], a.others[1])
}

func (a *Adaptive) initialize() {
	if a.limit > 0 {
		return
	}
	initial := a.Initial
	if initial <= 0 && a.Max > 0 {
		initial = max(a.Max/initialDivisor, 1)
	}
	if initial <= 0 {
		initial = defaultInitial
	}
	a.setLimit(initial)
}

func (a *Adaptive) setLimit(limit int) {
	maxLimit := a.Max
	if maxLimit <= 0 {
		maxLimit = defaultMax
	}
	a.limit = min(max(limit, 1), maxLimit)
	a.fullReports = 0
	a.fullAnswers = 0
}

// UpdateLoad updates the limit from the upstream's own report. Reports that aren't newer
// than the latest one are ignored.
func (a *Adaptive) UpdateLoad(now time.Time, load Load, own int) {
	if !load.MeasuredAt.After(a.reportedAt) {
		return
	}
	a.initialize()
	a.reportedAt = load.MeasuredAt
	a.draining = load.Draining
	inEngine := load.Running + load.Queued
	a.others = [2]int{max(inEngine-own, 0), a.others[0]}
	if load.Queued > 0 {
		a.handleQueue(now, load.Running)
		return
	}
	a.runningWithQueue = 0
	if inEngine >= a.limit {
		a.grow(now, inEngine)
	}
}

// handleQueue sets the limit at the second and later consecutive reports with a queue, to
// the larger number of running requests in the last two. It doesn't raise the limit while
// growth is paused.
func (a *Adaptive) handleQueue(now time.Time, running int) {
	knee := max(running, a.runningWithQueue)
	consecutive := a.runningWithQueue > 0
	a.runningWithQueue = running
	if !consecutive {
		return
	}
	a.knee = knee
	a.kneeFromReports = true
	a.probes = 0
	growthBlocked := now.Before(a.growthPausedUntil) || (a.latency.isHigh() && !a.kneeFromReports)
	if knee < a.limit || !growthBlocked {
		a.setLimit(knee)
	}
}

// grow raises the limit after a report or answers that show inFlight requests and no
// queue. A dispatcher that takes over an upstream starts from the number of requests that
// its predecessor has in flight.
func (a *Adaptive) grow(now time.Time, inFlight int) {
	if now.Before(a.growthPausedUntil) || (a.latency.isHigh() && !a.isAtReportedKnee(now)) {
		return
	}
	limit := max(a.limit, inFlight)
	step := max(limit/growthDivisor, 1)
	switch {
	case a.knee == 0:
		a.setLimit(limit + step)
	case limit < a.knee:
		a.setLimit(min(limit+step, a.knee))
	default:
		a.probe(limit)
	}
}

// probe raises the limit above the knee by one from time to time, since the knee moves
// with the lengths of prompts and answers.
func (a *Adaptive) probe(limit int) {
	a.fullReports++
	if a.fullReports < max(probeInterval>>a.probes, 1) {
		return
	}
	a.probes = min(a.probes+1, probeInterval)
	a.knee = limit
	a.setLimit(limit + 1)
}

// RecordResult updates the limit from the result of one request.
func (a *Adaptive) RecordResult(now time.Time, sample Sample) {
	a.initialize()
	switch sample.Result {
	case dispatch.Refused:
		a.handleRefusal(now, sample)
	case dispatch.Draining:
		a.draining = true
	case dispatch.Failed:
		a.handleFailure(now)
	case dispatch.Answered:
		a.handleAnswer(now, sample)
	case dispatch.Unused:
	}
}

// handleRefusal sets the limit to one less than the requests in flight at the refused one.
// Refusals of one burst have about the same number in flight and lower it once.
func (a *Adaptive) handleRefusal(now time.Time, sample Sample) {
	accepted := sample.InFlight - 1 + a.othersInFlight(now)
	a.growthPausedUntil = now.Add(growthPause)
	if accepted < 1 || accepted >= a.limit {
		return
	}
	a.knee = accepted
	a.setLimit(accepted)
}

// handleFailure halves the limit, at most once per growthPause: many requests that fail
// with one lost connection count as one failure.
func (a *Adaptive) handleFailure(now time.Time) {
	if now.Before(a.growthPausedUntil) {
		return
	}
	a.growthPausedUntil = now.Add(growthPause)
	if a.knee == 0 {
		a.knee = a.limit
	}
	a.setLimit(a.limit / 2)
}

// isAtReportedKnee reports whether the limit is at most one above the knee that recent
// reports showed. A request that a probe queues in the engine waits for another one to
// end, ten times a usual first token; lowering the limit for that would leave a slot of
// the batch empty.
func (a *Adaptive) isAtReportedKnee(now time.Time) bool {
	return a.kneeFromReports && now.Sub(a.reportedAt) <= staleAfter && a.limit <= a.knee+1
}

func (a *Adaptive) handleAnswer(now time.Time, sample Sample) {
	if a.latency.add(sample.FirstTokenLatency) && a.latency.isHigh() && !a.isAtReportedKnee(now) {
		a.knee = a.limit
		a.setLimit(a.limit - max(a.limit/10, 1))
		a.kneeFromReports = false
		return
	}
	if now.Sub(a.reportedAt) <= staleAfter {
		return
	}
	// Without reports, as many answers at the limit as it allows replace one.
	if sample.InFlight < a.limit {
		return
	}
	a.fullAnswers++
	if a.fullAnswers < a.limit {
		return
	}
	a.fullAnswers = 0
	if a.reportedAt.IsZero() || a.limit < a.knee {
		a.grow(now, a.limit)
	}
}
