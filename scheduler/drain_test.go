package scheduler_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/refusal"
)

// All upstreams of a service report draining, which only their dispatchers read.
// Waiting requests and those that arrive at other routers must be refused at once
// with a retry time, not shortly before their deadlines. When the upstreams accept
// requests again, requests are admitted again.
func TestServiceWhoseUpstreamsAllDrainIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		reporter := &loadReporter{}
		f := newFleet(t, newView(1, 3, 1))
		f.pollClient = &http.Client{Transport: reporter}
		ids := f.startAll(3)
		defer f.stopAll()
		f.keepLoad(ids[0], "account-0", 3, time.Hour)
		time.Sleep(time.Second)
		waiting := make(chan error, 1)
		go func() { waiting <- f.runOnFirst("account-0", time.Second) }()
		time.Sleep(time.Second)
		reporter.draining.Store(true)
		time.Sleep(3 * time.Second)
		select {
		case err := <-waiting:
			requireNoUpstream(t, err)
		default:
			require.Fail(t, "the request still waits")
		}
		for _, id := range ids {
			startedAt := time.Now()
			requireNoUpstream(t, f.runOn(f.routers[id], "account-0", 300, time.Second))
			require.Zero(t, time.Since(startedAt))
		}
		reporter.draining.Store(false)
		time.Sleep(3 * time.Second)
		go func() { waiting <- f.runOnFirst("account-0", time.Second) }()
		time.Sleep(time.Second)
		require.Empty(t, waiting)
		require.Equal(t, 1, f.state(ids[0]).Queues[0].Waiting)
	})
}

func requireNoUpstream(t *testing.T, err error) {
	t.Helper()
	var refused *refusal.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, refusal.NoUpstream, refused.Reason)
	require.Equal(t, refusal.NotRun, refused.Outcome)
	require.NotZero(t, refused.RetryAfter)
}

// Two routers are connected again after a cut. Each reports draining upstreams that
// it dispatches in its own view, possibly before the other considers it their
// dispatcher. If the other dropped that report, it would not be repeated for a
// minute, and requests would wait until shortly before their deadlines.
func TestDrainReportSurvivesDisagreementOnTheDispatcher(t *testing.T) {
	t.Parallel()
	for after := time.Duration(0); after < 2*time.Second; after += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			reporter := &loadReporter{}
			f := newFleet(t, newView(1, 6, 1))
			f.pollClient = &http.Client{Transport: reporter}
			defer f.stopAll()
			ids := f.startAll(2)
			f.network.cut(ids[0], ids[1])
			time.Sleep(10 * time.Second)
			f.network.connect(ids[0], ids[1])
			time.Sleep(after)
			reporter.draining.Store(true)
			time.Sleep(10 * time.Second)
			for _, id := range ids {
				startedAt := time.Now()
				requireNoUpstream(t, f.runOn(f.routers[id], "account-0", 300, time.Second))
				require.Zero(t, time.Since(startedAt), "%s after %s", id, after)
			}
		})
	}
}
