package scheduler_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/refusal"
)

// Every upstream of a service drains by its own report, which only its
// dispatcher reads. A request that waits, and one that arrives at another
// router, can't be served: they are refused at once with when to come back,
// and not when their deadline nears. When one upstream takes work again,
// requests are let in again.
func TestServiceWhoseUpstreamsAllDrainIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		load := &reporting{}
		f := newFleet(t, viewOf(1, 3, 1))
		f.client = &http.Client{Transport: load}
		ids := f.startAll(3)
		defer f.stopAll()
		f.load(ids[0], "account-0", 3, time.Hour)
		time.Sleep(time.Second)
		waiting := make(chan error, 1)
		go func() { waiting <- f.one("account-0", time.Second) }()
		time.Sleep(time.Second)
		load.draining.Store(true)
		time.Sleep(3 * time.Second)
		select {
		case err := <-waiting:
			requireNoUpstream(t, err)
		default:
			require.Fail(t, "the request still waits")
		}
		for _, id := range ids {
			begun := time.Now()
			requireNoUpstream(t, f.run(f.routers[id], "account-0", 300, time.Second))
			require.Zero(t, time.Since(begun))
		}
		load.draining.Store(false)
		time.Sleep(3 * time.Second)
		go func() { waiting <- f.one("account-0", time.Second) }()
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

// Two routers start apart and find each other a little later. Each one that
// dispatches an upstream by its own view tells the other as soon as it hears
// that the upstream drains, maybe before the other believes that it is the
// dispatcher. If the other dropped its word then, nobody would repeat it for a
// minute, and callers would wait for a slot until their deadlines near.
func TestWordOfADispatcherOutlivesAnotherView(t *testing.T) {
	t.Parallel()
	for after := time.Duration(0); after < 2*time.Second; after += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			load := &reporting{}
			f := newFleet(t, viewOf(1, 6, 1))
			f.client = &http.Client{Transport: load}
			defer f.stopAll()
			ids := f.startAll(2)
			f.net.cut(ids[0], ids[1])
			time.Sleep(10 * time.Second)
			f.net.connect(ids[0], ids[1])
			time.Sleep(after)
			load.draining.Store(true)
			time.Sleep(10 * time.Second)
			for _, id := range ids {
				begun := time.Now()
				requireNoUpstream(t, f.run(f.routers[id], "account-0", 300, time.Second))
				require.Zero(t, time.Since(begun), "%s after %s", id, after)
			}
		})
	}
}
