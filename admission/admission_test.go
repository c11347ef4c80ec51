package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/refusal"
)

var epoch = time.Unix(1_800_000_000, 0)

func TestAdmit(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		deadline time.Duration
		queue    admission.Queue
		reason   refusal.Reason
		atLeast  time.Duration
		atMost   time.Duration
	}{
		{"room and time", time.Minute, admission.Queue{AccountWaiting: 9, AccountBound: 10, TotalBound: 10, DrainRate: 1}, "", 0, 0},
		{"rate unknown", time.Second, admission.Queue{AccountWaiting: 9, AccountBound: 10, TotalBound: 10}, "", 0, 0},
		{"deadline passed", 0, admission.Queue{AccountBound: 1, TotalBound: 1}, refusal.DeadlinePassed, 0, 0},
		{"account full", time.Minute, admission.Queue{AccountWaiting: 40, AccountBound: 40, TotalBound: 100, DrainRate: 1}, refusal.AccountQueueFull, 11 * time.Second, 14 * time.Second},
		{"account full, rate unknown", time.Minute, admission.Queue{AccountWaiting: 40, AccountBound: 40, TotalBound: 100}, refusal.AccountQueueFull, 5 * time.Second, 7 * time.Second},
		{"router full", time.Minute, admission.Queue{AccountWaiting: 3, AccountBound: 40, TotalWaiting: 100, TotalBound: 100, DrainRate: 10}, refusal.RouterQueueFull, time.Second, 2 * time.Second},
		{"turn after the deadline", 10 * time.Second, admission.Queue{AccountWaiting: 29, AccountBound: 40, TotalBound: 100, DrainRate: 2}, refusal.DeadlineBeforeTurn, 5 * time.Second, 7 * time.Second},
		{"stalled", 10 * time.Second, admission.Queue{AccountWaiting: 29, AccountBound: 40, TotalBound: 100, DrainRate: 1e-300}, refusal.DeadlineBeforeTurn, time.Minute, 75 * time.Second},
	}
	for _, c := range cases {
		refused := admission.Bounded{}.Admit(epoch, epoch.Add(c.deadline), c.queue)
		if c.reason == "" {
			require.Nil(t, refused, c.name)
			continue
		}
		require.NotNil(t, refused, c.name)
		require.Equal(t, c.reason, refused.Reason, c.name)
		require.Equal(t, refusal.NotRun, refused.Outcome, c.name)
		require.GreaterOrEqual(t, refused.RetryAfter, c.atLeast, c.name)
		require.LessOrEqual(t, refused.RetryAfter, c.atMost, c.name)
	}
}

// Twice as many requests arrive as are served, and each caller gives up after ten
// seconds. If the drain rate were ignored, every request would wait until about its deadline
// or longer. A caller that is refused at once can do something else, and the admitted
// requests are served.
func TestSaturationIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	simulate := func(policy admission.Policy) (lateStarts, refusals int) {
		var drain admission.DrainMeter
		var queue []time.Time
		for tick := range 600 {
			now := epoch.Add(time.Duration(tick) * 100 * time.Millisecond)
			deadline := now.Add(10 * time.Second)
			refused := policy.Admit(now, deadline, admission.Queue{
				AccountWaiting: len(queue), AccountBound: 1000, TotalBound: 1000, DrainRate: drain.MaxRate(now),
			})
			if refused != nil {
				refusals++
			} else {
				queue = append(queue, deadline)
			}
			if tick%2 == 0 && len(queue) > 0 {
				if queue[0].Before(now) {
					lateStarts++
				}
				queue = queue[1:]
				drain.AddStart(now)
			}
			drain.SetWaiting(now, len(queue) > 0)
		}
		return lateStarts, refusals
	}
	lateStarts, refusals := simulate(admission.Bounded{})
	require.LessOrEqual(t, lateStarts, 6)
	require.Greater(t, refusals, 200)
	lateStarts, _ = simulate(admission.Unbounded{})
	require.Greater(t, lateStarts, 100, "the baseline starts requests after their deadline")
}

// Hundreds of callers are refused within the same second. With equal retry times they
// would return together and be refused together again.
func TestRefusedCallersDoNotReturnTogether(t *testing.T) {
	t.Parallel()
	waits := make(map[time.Duration]bool)
	for i := range 200 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		refused := admission.Bounded{}.Admit(now, now.Add(time.Minute), admission.Queue{AccountWaiting: 256, AccountBound: 256, TotalBound: 4096, DrainRate: 8})
		waits[refused.RetryAfter.Truncate(100*time.Millisecond)] = true
	}
	require.Greater(t, len(waits), 15)
}

func TestDrainMeterMeasuresOnlyWhileRequestsWait(t *testing.T) {
	t.Parallel()
	var drain admission.DrainMeter
	require.Zero(t, drain.Rate(epoch))
	now := epoch
	drain.SetWaiting(now, true)
	for range 100 {
		now = now.Add(250 * time.Millisecond)
		drain.AddStart(now)
	}
	require.InEpsilon(t, 4, drain.Rate(now), 0.05)
	drain.SetWaiting(now, false)
	now = now.Add(time.Hour)
	require.InEpsilon(t, 4, drain.Rate(now), 0.05, "idle time doesn't count")
	drain.SetWaiting(now, true)
	now = now.Add(90 * time.Second)
	require.Less(t, drain.Rate(now), 0.5, "a stall does")
	require.Positive(t, drain.Rate(now.Add(time.Hour)))
}

// A router has just started an account's first requests, or starts them in bursts. The
// mean of so few starts would refuse requests whose turn comes long before their
// deadline, while slots are free.
func TestHighestRateHasAMarginWithFewStarts(t *testing.T) {
	t.Parallel()
	var drain admission.DrainMeter
	drain.SetWaiting(epoch, true)
	require.Zero(t, drain.MaxRate(epoch.Add(4*time.Second)), "the rate is unknown")
	now := epoch.Add(6 * time.Second)
	drain.AddStart(now)
	require.InDelta(t, 0.18, drain.Rate(now), 0.01)
	require.InDelta(t, 0.68, drain.MaxRate(now), 0.01)
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		drain.AddStart(now)
	}
	require.InEpsilon(t, drain.Rate(now), drain.MaxRate(now), 1e-9, "no margin with many starts")
}
