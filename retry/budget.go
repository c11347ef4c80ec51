package retry

import (
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/refusal"
)

// Defaults of Budget.
const (
	// defaultRatio lets a tenth of the first tries be repeated. Single broken
	// connections are far rarer, and an upstream that fails everything adds
	// at most a tenth to the others' load.
	defaultRatio = 0.1
	// defaultBurst covers the requests of one router that break together when
	// an upstream is lost; it also bounds what a quiet hour saves up.
	defaultBurst = 20
	// floorPerSecond is earned without first tries, so that an occasional
	// request in a quiet night can be repeated.
	floorPerSecond = 0.2
	// defaultAttempts bounds the attempts of one request. A third failure at a
	// third upstream says more about the request than about the upstreams.
	defaultAttempts = 3
)

// Budget is a Policy that spends a token for each retry and earns a part of a
// token with each first try. Each router keeps its own: the fleet's ratio of
// retries to first tries is then within the same bound without a message, as
// each router's is. Its zero value is ready to use.
type Budget struct {
	// Ratio is how many retries each first try earns; zero means 0.1.
	Ratio float64
	// Burst bounds the retries saved up; zero means 20.
	Burst float64
	// Attempts bounds the attempts of one request; zero means 3.
	Attempts int

	mutex  sync.Mutex
	spent  float64
	at     time.Time
	begins bool
}

// Resize bounds the retries saved up anew: a router's part of the fleet's bound
// changes with the number of routers.
func (b *Budget) Resize(burst float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.Burst = burst
}

// First counts a first try.
func (b *Budget) First(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.earn(now)
	b.spent = max(b.spent-orDefault(b.Ratio, defaultRatio), 0)
}

// Allow reports whether the attempt may be repeated, and takes a token when it
// may. What the attempt forbids takes no token.
func (b *Budget) Allow(now time.Time, attempt Attempt) bool {
	if !b.permitted(now, attempt) {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.earn(now)
	if b.spent+1 > orDefault(b.Burst, defaultBurst) {
		return false
	}
	b.spent++
	return true
}

// permitted reports whether a retry does no harm and can still be of use.
//
// A second run of a request that is not idempotent sends two teams to one
// manhole; the caller would notice it only later, so it is repeated only if the
// upstream is known not to have run it. After a byte went out, another
// attempt's answer would be spliced to the first one's; it may go on only if
// the stream can be resumed.
func (b *Budget) permitted(now time.Time, attempt Attempt) bool {
	attempts := b.Attempts
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	safe := attempt.Outcome == refusal.NotRun || attempt.Idempotent || attempt.Resumable
	whole := !attempt.AnswerStarted || attempt.Resumable
	inTime := now.Add(attempt.Expected).Before(attempt.Deadline)
	return safe && whole && inTime && attempt.Count < attempts
}

// earn adds the floor for the time since the last call.
func (b *Budget) earn(now time.Time) {
	if b.begins && now.After(b.at) {
		b.spent = max(b.spent-floorPerSecond*now.Sub(b.at).Seconds(), 0)
	}
	if !b.begins || now.After(b.at) {
		b.at = now
		b.begins = true
	}
}

func orDefault(value, otherwise float64) float64 {
	if value <= 0 {
		return otherwise
	}
	return value
}

// Unlimited repeats whatever is safe, without a budget. It is the baseline of
// Budget.
type Unlimited struct{ budget Budget }

// First does nothing.
func (*Unlimited) First(time.Time) {}

// Allow reports whether the attempt is safe to repeat.
func (u *Unlimited) Allow(now time.Time, attempt Attempt) bool {
	return u.budget.permitted(now, attempt)
}
