package turn

import "time"

const (
	// initialSpeed is the assumed speed, in tokens per millisecond, and initialOverhead the
	// assumed time to a first event besides reading, before anything is observed. The speed
	// is below that of the known engines, so that a router that has just started sends too
	// little rather than too much.
	initialSpeed    = 40.0
	initialOverhead = 40 * time.Millisecond
	// minSpeed and maxSpeed bound the estimated speed, in tokens per millisecond, and
	// maxOverhead the overhead.
	minSpeed    = 5.0
	maxSpeed    = 2000.0
	maxOverhead = 300 * time.Millisecond
	// latencyMemory is the number of recent observations that the estimate rests on.
	latencyMemory = 60
	// priorObservations is the number of observations that the initial estimate counts for,
	// each of a prompt of shortPrompt and one of longPrompt tokens.
	priorObservations = 2
	shortPrompt       = 1_000
	longPrompt        = 20_000
	// lengthSpread is the standard deviation of the prompts' lengths, in tokens, below which
	// the speed can't be told from the overhead.
	lengthSpread = 500.0
	// overheadStep is the change of the overhead at an observation, in milliseconds.
	overheadStep = 2.0
	// maxLatencyRatio bounds the weight of a single slow upstream: an observation counts as
	// at most this multiple of the expected latency.
	maxLatencyRatio = 3
)

// prefillLatency estimates the time from sending a prompt to its first event. It fits a
// line to the recent observations: the slope is the time to read a token, and the
// intercept all that is needed besides. Its zero value is the initial estimate.
type prefillLatency struct {
	// Decayed sums over the observations: their count, tokens (x) and milliseconds (y).
	count, sumX, sumY, sumXX, sumXY float64
	// perToken is the fitted slope, in milliseconds; zero means initial. intercept is the
	// median of what was needed besides reading, in milliseconds.
	perToken, intercept float64
}

func (l *prefillLatency) speed() float64 {
	if l.perToken == 0 {
		return initialSpeed
	}
	return 1 / l.perToken
}

// overhead returns the time to a first event besides reading.
func (l *prefillLatency) overhead() time.Duration {
	if l.perToken == 0 {
		return initialOverhead
	}
	return milliseconds(l.intercept)
}

// reading returns how long it takes to read a number of tokens.
func (l *prefillLatency) reading(tokens int) time.Duration {
	return milliseconds(float64(tokens) / l.speed())
}

// firstEvent returns the time to the first event of a prompt that is read at once.
func (l *prefillLatency) firstEvent(tokens int) time.Duration {
	return l.reading(tokens) + l.overhead()
}

// tokensIn returns how many tokens are read in a time.
func (l *prefillLatency) tokensIn(d time.Duration) int {
	return int(max(d, 0).Seconds() * 1000 * l.speed())
}

// observe updates the estimate from the time to the first event of a request. Tokens is
// what had to be read before that event, including the request's own prompt.
func (l *prefillLatency) observe(tokens int, took time.Duration) {
	if l.perToken == 0 {
		l.initialize()
	}
	took = min(took, maxLatencyRatio*l.firstEvent(tokens))
	x, y := float64(tokens), took.Seconds()*1000
	l.add(x, y)
	l.fit()
	l.trackOverhead(y - x*l.perToken)
}

// initialize makes the initial estimate count as a few observations, which others replace.
func (l *prefillLatency) initialize() {
	l.intercept = initialOverhead.Seconds() * 1000
	for range priorObservations {
		for _, x := range []float64{shortPrompt, longPrompt} {
			l.add(x, l.intercept+x/initialSpeed)
		}
	}
	l.perToken = 1 / initialSpeed
}

func (l *prefillLatency) add(x, y float64) {
	const keep = 1 - 1.0/latencyMemory
	l.count = l.count*keep + 1
	l.sumX = l.sumX*keep + x
	l.sumY = l.sumY*keep + y
	l.sumXX = l.sumXX*keep + x*x
	l.sumXY = l.sumXY*keep + x*y
}

// fit computes the slope of the least-squares line through the observations. It hardly
// moves while all prompts have about the same length.
func (l *prefillLatency) fit() {
	variance := l.sumXX - l.sumX*l.sumX/l.count
	covariance := l.sumXY - l.sumX*l.sumY/l.count
	inertia := l.count * lengthSpread * lengthSpread
	slope := (covariance + inertia*l.perToken) / (variance + inertia)
	l.perToken = min(max(slope, 1/maxSpeed), 1/minSpeed)
}

// trackOverhead moves the overhead towards the median of the observed ones. The mean would
// follow the few requests that waited for a slot or an evicted prefix.
func (l *prefillLatency) trackOverhead(observed float64) {
	if observed > l.intercept {
		l.intercept += overheadStep
	} else {
		l.intercept -= overheadStep
	}
	l.intercept = min(max(l.intercept, 0), maxOverhead.Seconds()*1000)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
