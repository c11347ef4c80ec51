package retry_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/retry"
)

var epoch = time.Unix(1_800_000_000, 0)

func failed(change func(*retry.Attempt)) retry.Attempt {
	attempt := retry.Attempt{
		Number: 1, Outcome: refusal.NotRun, Deadline: epoch.Add(time.Minute), ExpectedLatency: time.Second,
	}
	change(&attempt)
	return attempt
}

func TestAllow(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		change func(*retry.Attempt)
		want   bool
	}{
		{"not run", func(*retry.Attempt) {}, true},
		{"outcome unknown", func(a *retry.Attempt) { a.Outcome = refusal.Unknown }, false},
		{"outcome unknown but idempotent", func(a *retry.Attempt) { a.Outcome = refusal.Unknown; a.Idempotent = true }, true},
		{"run", func(a *retry.Attempt) { a.Outcome = refusal.Run }, false},
		{"answer started", func(a *retry.Attempt) { a.Idempotent = true; a.AnswerStarted = true }, false},
		{"answer of a resumable stream started", func(a *retry.Attempt) { a.Outcome = refusal.Run; a.AnswerStarted = true; a.Resumable = true }, true},
		{"no time left", func(a *retry.Attempt) { a.ExpectedLatency = time.Minute }, false},
		{"third attempt", func(a *retry.Attempt) { a.Number = 2 }, true},
		{"too many attempts", func(a *retry.Attempt) { a.Number = 3 }, false},
	}
	for _, c := range cases {
		var budget retry.Budget
		require.Equal(t, c.want, budget.Allow(epoch, failed(c.change)), c.name)
	}
}

// When routers are added, each must use a smaller part of the fleet's burst; otherwise
// the fleet would retry more with every router.
func TestSmallerBurstAllowsFewerRetries(t *testing.T) {
	t.Parallel()
	budget := retry.Budget{Burst: 12}
	budget.SetBurst(3)
	allowed := 0
	for range 12 {
		if budget.Allow(epoch, failed(func(*retry.Attempt) {})) {
			allowed++
		}
	}
	require.Equal(t, 3, allowed)
}

// A slow upstream fails its requests. If each failure were retried, the working upstreams
// would get twice the load and fail as well. Retries must stay at a tenth of the first
// attempts.
func TestFailingUpstreamDoesNotMultiplyLoad(t *testing.T) {
	t.Parallel()
	retries := func(policy retry.Policy) int {
		count := 0
		for i := range 10_000 {
			now := epoch.Add(time.Duration(i) * time.Millisecond)
			policy.RecordFirstAttempt(now)
			if policy.Allow(now, failed(func(a *retry.Attempt) { a.Deadline = now.Add(time.Minute) })) {
				count++
			}
		}
		return count
	}
	require.LessOrEqual(t, retries(&retry.Budget{}), 10_000/10+20+2)
	require.GreaterOrEqual(t, retries(&retry.Budget{}), 10_000/10)
	require.Equal(t, 10_000, retries(&retry.Unlimited{}), "the baseline doubles the load")
}

func TestQuietHoursSaveUpNoMoreThanABurst(t *testing.T) {
	t.Parallel()
	var budget retry.Budget
	budget.RecordFirstAttempt(epoch)
	later := epoch.Add(time.Hour)
	allowed := 0
	for range 100 {
		if budget.Allow(later, failed(func(a *retry.Attempt) { a.Deadline = later.Add(time.Minute) })) {
			allowed++
		}
	}
	require.Equal(t, 20, allowed)
	require.True(t, budget.Allow(later.Add(6*time.Second), failed(func(a *retry.Attempt) { a.Deadline = later.Add(time.Minute) })), "tokens earned by time")
}

func TestBudgetIsSharedByGoroutines(t *testing.T) {
	t.Parallel()
	var budget retry.Budget
	var group sync.WaitGroup
	var mutex sync.Mutex
	allowed := 0
	for range 50 {
		group.Go(func() {
			if budget.Allow(epoch, failed(func(*retry.Attempt) {})) {
				mutex.Lock()
				allowed++
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	require.Equal(t, 20, allowed)
}
