package retry

import (
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/refusal"
)

// Defaults of Budget.
const (
	// defaultRatio lets a tenth of the first attempts be retried. Single broken
	// connections are far rarer, and an upstream that fails every request adds at
	// most a tenth to the load of the others.
	defaultRatio = 0.1
	// defaultBurst covers the requests of one router that fail together when an
	// upstream is lost. It also limits the retries saved up during a quiet hour.
	defaultBurst = 20
	// refillPerSecond is the number of tokens earned per second regardless of first
	// attempts, so that an occasional request at a quiet time can be retried.
	refillPerSecond = 0.2
	// defaultAttempts is the maximum number of attempts per request. A third failure
	// at a third upstream points to the request rather than to the upstreams.
	defaultAttempts = 3
)

// Budget is a Policy that spends a token for each retry and earns a fraction of a token
// with each first attempt. Each router has its own. As the ratio of retries to first
// attempts is limited at each router, the same limit holds for the fleet without any
// coordination. Its zero value is ready to use.
type Budget struct {
	// Ratio is the number of retries earned by each first attempt; zero means 0.1.
	Ratio float64
	// Burst is the maximum number of retries saved up; zero means 20.
	Burst float64
	// MaxAttempts is the maximum number of attempts per request; zero means 3.
	MaxAttempts int

	mutex      sync.Mutex
	spent      float64
	refilledAt time.Time
	started    bool
}

// SetBurst sets Burst: a router's part of the fleet's burst changes with the number of
// routers.
func (b *Budget) SetBurst(burst float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.Burst = burst
}

// RecordFirstAttempt counts a first attempt.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	b.spent = max(b.spent-orDefault(b.Ratio, defaultRatio), 0)
}

// Allow reports whether the request may be retried after this attempt. It takes a token
// if the budget allows the retry, and none if the attempt itself rules it out.
func (b *Budget) Allow(now time.Time, attempt Attempt) bool {
	if !b.isRetryable(now, attempt) {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	if b.spent+1 > orDefault(b.Burst, defaultBurst) {
		return false
	}
	b.spent++
	return true
}

// isRetryable reports whether a retry does no harm and can still succeed in time.
//
// A second run of a request that isn't idempotent repeats its effects, which the caller
// would notice only later, so it is retried only if the upstream is known not to have run
// it. Once a byte was sent to the caller, the answer of another attempt would be appended
// to the first one's, so only a stream that can be resumed is continued.
func (b *Budget) isRetryable(now time.Time, attempt Attempt) bool {
	attempts := b.MaxAttempts
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	harmless := attempt.Outcome == refusal.NotRun || attempt.Idempotent || attempt.Resumable
	continuable := !attempt.AnswerStarted || attempt.Resumable
	hasTime := now.Add(attempt.ExpectedLatency).Before(attempt.Deadline)
	return harmless && continuable && hasTime && attempt.Number < attempts
}

// refill adds the tokens earned by the time since the last call.
func (b *Budget) refill(now time.Time) {
	if b.started && now.After(b.refilledAt) {
		b.spent = max(b.spent-refillPerSecond*now.Sub(b.refilledAt).Seconds(), 0)
	}
	if !b.started || now.After(b.refilledAt) {
		b.refilledAt = now
		b.started = true
	}
}

func orDefault(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}

// Unlimited allows every harmless retry without a budget. It is the baseline for
// comparisons with Budget.
type Unlimited struct{ budget Budget }

// RecordFirstAttempt does nothing.
func (*Unlimited) RecordFirstAttempt(time.Time) {}

// Allow reports whether a retry does no harm and can still succeed in time.
func (u *Unlimited) Allow(now time.Time, attempt Attempt) bool {
	return u.budget.isRetryable(now, attempt)
}
