package pace

import (
	"math"
	"time"
)

const (
	// memory is how long after its last statement a process counts as one that states its slowdown.
	memory = time.Minute
	// minRatio and maxRatio bound the ratio of observed to expected times.
	minRatio = 0.25
	maxRatio = 4
	// ratioWeight is the weight of the latest observation in the ratio, and maxStep the largest deviation of an
	// observation that counts, in natural logarithms. A request that waits for an unknown reason takes several times as
	// long as expected, and it mustn't send the next ones elsewhere.
	ratioWeight = 1.0 / 32
	maxStep     = 0.5
	// clockTargets is for how many targets a statement counts in full for the work clock. A process that reads a long
	// prompt states nothing before its first event, and by a clock that runs too fast that would seem overdue.
	clockTargets = 3
)

// Estimate is the estimated slowdown of one process of an upstream. Its zero value is as usual. The target that is
// passed to its methods is the target time to the first event: a request that is placed by a statement older than a
// part of it may be late. It isn't safe for concurrent use.
type Estimate struct {
	// stated is the latest stated slowdown, zero if there is none.
	stated   Slowdown
	statedAt time.Time
	// ratio is the ratio of observed to expected times to the first event; zero means one.
	ratio  float64
	period period
	// offset is by how much the work clock differed from time at syncedAt.
	offset   time.Duration
	syncedAt time.Time
}

// Record records a slowdown that the process has stated, and reports whether the process has turned slow or usual. A
// statement that is older than a recorded one, or out of bounds, is ignored.
func (e *Estimate) Record(at time.Time, target time.Duration, stated Slowdown) Change {
	if !stated.IsValid() || (e.stated != 0 && at.Before(e.statedAt)) {
		return Unchanged
	}
	e.sync(at, target)
	if !e.IsKnown(at) {
		e.ratio = 0
	}
	e.stated, e.statedAt = stated, at
	return e.period.record(at, target, stated)
}

// IsKnown reports whether the process has stated a slowdown lately.
func (e *Estimate) IsKnown(now time.Time) bool { return e.stated != 0 && now.Sub(e.statedAt) < memory }

// Stated returns the latest stated slowdown however old it is, or Usual if the process hasn't stated one lately.
func (e *Estimate) Stated(now time.Time) Slowdown {
	if !e.IsKnown(now) {
		return Usual
	}
	return e.stated
}

// Slowdown returns the estimated slowdown: the stated one, which fades, times the ratio of observed to expected times.
func (e *Estimate) Slowdown(now time.Time, target time.Duration) Slowdown {
	if e.stated == 0 {
		return Usual
	}
	age := e.age(now)
	if age < target/2 {
		return e.stated * Slowdown(e.boundedRatio()) // most often, and it is asked for each waiting request
	}
	return Slowdown(e.course(target).at(age))
}

// Clock returns the reading of a clock that advances by the usual duration of the work that the process does. Before
// the first statement it shows the time.
func (e *Estimate) Clock(now time.Time, target time.Duration) time.Time {
	if e.stated == 0 {
		return now
	}
	return now.Add(e.offsetAt(now, target))
}

// Duration returns how long the process will take for work that usually takes d.
func (e *Estimate) Duration(now time.Time, target, d time.Duration) time.Duration {
	if e.stated == 0 || d <= 0 {
		return d
	}
	return e.course(target).duration(e.age(now), d)
}

// FallsTo returns the time until the slowdown is at most a level if nothing more is stated, or zero if it never is.
func (e *Estimate) FallsTo(now time.Time, target time.Duration, level Slowdown) time.Duration {
	if e.stated == 0 {
		return 0
	}
	return e.course(target).fallsTo(e.age(now), float64(level))
}

// SlowFor returns for how long the process has stated that it is slow, zero if its latest statement isn't that or has
// faded.
func (e *Estimate) SlowFor(now time.Time, target time.Duration) time.Duration {
	return e.period.duration(now, target)
}

// Observe moves the ratio by the time to a first event, from which the stated slowdown has been taken out. It does nothing for a process that
// doesn't state its slowdown.
func (e *Estimate) Observe(now time.Time, target, expected, took time.Duration) {
	if !e.IsKnown(now) || expected <= 0 || took <= 0 {
		return
	}
	e.sync(now, target)
	ratio := e.currentRatio()
	deviation := math.Log(float64(took) / (float64(expected) * ratio))
	ratio *= math.Exp(ratioWeight * min(max(deviation, -maxStep), maxStep))
	e.ratio = min(max(ratio, minRatio), maxRatio)
}

func (e *Estimate) currentRatio() float64 {
	if e.ratio == 0 {
		return 1
	}
	return e.ratio
}

// boundedRatio returns the ratio, bounded so that its product with the stated slowdown is within Min and Max.
func (e *Estimate) boundedRatio() float64 {
	return min(max(e.currentRatio(), float64(Min/e.stated)), float64(Max/e.stated))
}

// course returns the expected course since the latest statement, by which requests are placed. One placed by an older
// statement than half of the target may be late.
func (e *Estimate) course(target time.Duration) course {
	return newCourse(float64(e.stated), e.boundedRatio(), target/2, target/2+target)
}

// clockCourse returns the course of the work clock since the latest statement.
func (e *Estimate) clockCourse(target time.Duration) course {
	return newCourse(float64(e.stated), e.boundedRatio(), clockTargets*target, clockTargets*target)
}

func (e *Estimate) age(now time.Time) time.Duration { return max(now.Sub(e.statedAt), 0) }

// sync moves the start of the work clock's current course to now, before the course changes.
func (e *Estimate) sync(now time.Time, target time.Duration) {
	if now.Before(e.syncedAt) {
		return
	}
	if e.stated != 0 {
		e.offset = e.offsetAt(now, target)
	}
	e.syncedAt = now
}

func (e *Estimate) offsetAt(now time.Time, target time.Duration) time.Duration {
	if !now.After(e.syncedAt) {
		return e.offset
	}
	return e.offset + e.clockCourse(target).work(e.age(e.syncedAt), e.age(now)) - now.Sub(e.syncedAt)
}
