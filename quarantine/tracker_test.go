package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

const (
	request = quarantine.Fingerprint(7)
	runTime = 100 * time.Millisecond
)

var epoch = time.Unix(1_800_000_000, 0)

// testRouters holds the Trackers of a fleet. The first one is the counting router.
type testRouters struct {
	now      time.Time
	trackers []*quarantine.Tracker
	crashed  int
}

func newRouters(count int) *testRouters {
	r := &testRouters{now: epoch}
	for range count {
		r.trackers = append(r.trackers, &quarantine.Tracker{})
	}
	return r
}

// broadcast sends a verdict to the routers until one objects, and then that objection.
func (r *testRouters) broadcast(v quarantine.Verdict) {
	for _, tracker := range r.trackers {
		if objection, objects, _ := tracker.ApplyVerdict(r.now, v); objects {
			r.broadcast(objection)
			return
		}
	}
}

// crash simulates the crash of an upstream that ran the request of a router.
func (r *testRouters) crash(router int, upstream turn.Instance, ran time.Duration) {
	report, verdict := r.trackers[router].RecordCrash(r.now, quarantine.Crash{Request: request, Upstream: upstream, StartedAgo: ran})
	if verdict.Status == quarantine.Refused {
		r.broadcast(verdict)
		return
	}
	if verdict, ok := r.trackers[0].CountCrash(r.now, report); ok {
		r.broadcast(verdict)
	}
}

// crashNextUpstream simulates a new run of the request that crashes another upstream.
func (r *testRouters) crashNextUpstream(router int) {
	r.now = r.now.Add(2 * runTime)
	r.crashed++
	r.crash(router, upstreamNumber(r.crashed), runTime)
}

func upstreamNumber(n int) turn.Instance {
	return turn.Instance{ID: fleet.UpstreamID(fmt.Sprintf("u%d", n)), StartTime: 1}
}

func (r *testRouters) serve(router int) {
	if verdict, ok := r.trackers[router].RecordServed(r.now, request); ok {
		r.broadcast(verdict)
	}
}

// refusingCount returns how many routers refuse the request.
func (r *testRouters) refusingCount() int {
	count := 0
	for _, tracker := range r.trackers {
		if tracker.RefusedFor(r.now, request) > 0 {
			count++
		}
	}
	return count
}

// Guards against any router sending a request upstream after it has crashed three upstreams.
func TestRequestIsRefusedEverywhereAfterThreeCrashes(t *testing.T) {
	t.Parallel()
	r := newRouters(5)
	for router := 1; router <= 2; router++ {
		r.crashNextUpstream(router)
		require.Zero(t, r.refusingCount())
	}
	r.crashNextUpstream(3)
	require.Equal(t, 5, r.refusingCount())
}

// Guards against refusing a popular request because some of its many runs were at
// upstreams that crashed.
func TestRequestThatIsServedBetweenCrashesIsNotRefused(t *testing.T) {
	t.Parallel()
	for _, server := range []int{0, 1, 4} {
		r := newRouters(5)
		for i := range 50 {
			r.crashNextUpstream(1 + i%3)
			r.now = r.now.Add(runTime / 2)
			r.serve(server)
			require.Zero(t, r.refusingCount(), "served at router %d", server)
		}
	}
}

// Guards against refusing requests that lost many upstreams at once in a power cut.
func TestUpstreamsThatCrashTogetherCountOnce(t *testing.T) {
	t.Parallel()
	r := newRouters(3)
	for i := range 40 {
		r.now = r.now.Add(time.Millisecond)
		r.crash(i%3, upstreamNumber(i), time.Second)
	}
	require.Zero(t, r.refusingCount())
}

// Guards against counting a power cut more than once for a request that is retried during
// it.
func TestRetryThatFailsInTheSamePowerCutDoesNotCount(t *testing.T) {
	t.Parallel()
	r := newRouters(3)
	for i := range 10 {
		r.now = r.now.Add(4 * time.Millisecond)
		r.crash(1, upstreamNumber(i), time.Millisecond)
	}
	require.Zero(t, r.refusingCount())
}

// Guards against counting one crash once for each router that had sent the request there.
func TestCrashThatManyRoutersReportCountsOnce(t *testing.T) {
	t.Parallel()
	r := newRouters(6)
	for router := range r.trackers {
		r.crash(router, upstreamNumber(1), runTime)
		r.now = r.now.Add(2 * runTime)
	}
	require.Zero(t, r.refusingCount())
}

// Guards against counting only one crash of an upstream that restarts under the same ID
// and crashes again.
func TestEachCrashOfARestartedUpstreamCounts(t *testing.T) {
	t.Parallel()
	r := newRouters(2)
	for start := range 3 {
		r.now = r.now.Add(2 * runTime)
		r.crash(1, turn.Instance{ID: "u", StartTime: registry.StartTime(start)}, runTime)
	}
	require.Equal(t, 2, r.refusingCount())
}

// Guards against a late objection that leaves the request refused at some routers.
func TestRouterThatServedTheRequestMeanwhileClearsIt(t *testing.T) {
	t.Parallel()
	r := newRouters(4)
	r.crashNextUpstream(1)
	r.now = r.now.Add(runTime)
	served := r.now
	r.crashNextUpstream(1)
	r.crashNextUpstream(1)
	require.Equal(t, 4, r.refusingCount())
	other := &quarantine.Tracker{}
	other.RecordServed(served, request)
	r.trackers = append(r.trackers, other)
	r.broadcast(quarantine.Verdict{Request: request, Status: quarantine.Refused, FirstCrashAgo: r.now.Sub(epoch), Term: time.Minute, Remaining: time.Minute})
	require.Zero(t, r.refusingCount())
}

// Guards against a request that may crash another three upstreams after each term.
func TestCrashAfterATermRefusesAtOnceForLonger(t *testing.T) {
	t.Parallel()
	r := newRouters(3)
	for range 3 {
		r.crashNextUpstream(1)
	}
	term := r.trackers[1].RefusedFor(r.now, request)
	r.now = r.now.Add(term + time.Second)
	require.Zero(t, r.refusingCount())
	r.crashNextUpstream(2)
	require.Equal(t, 3, r.refusingCount())
	require.Greater(t, r.trackers[1].RefusedFor(r.now, request), term)
}

// Guards against a known request that crashes more than three upstreams in a day.
func TestKnownRequestCrashesAtMostThreeUpstreamsInADay(t *testing.T) {
	t.Parallel()
	r := newRouters(3)
	for range 3 {
		r.crashNextUpstream(1)
	}
	known := r.now
	crashes := 0
	for r.now.Sub(known) < 24*time.Hour {
		r.now = r.now.Add(time.Second)
		if r.refusingCount() > 0 {
			continue
		}
		require.True(t, r.trackers[2].IsOnProbation(r.now, request))
		r.crashNextUpstream(2)
		require.Equal(t, 3, r.refusingCount())
		crashes++
	}
	require.Equal(t, 3, crashes)
}

// Guards against a harmless request that stays refused although a run of it succeeded.
func TestRunThatSucceedsAfterTheVerdictClearsTheRequest(t *testing.T) {
	t.Parallel()
	r := newRouters(4)
	for range 3 {
		r.crashNextUpstream(1)
	}
	require.Equal(t, 4, r.refusingCount())
	r.serve(2)
	require.Zero(t, r.refusingCount())
}

// Guards against a request that stays suspected for ever although it was served after its
// term.
func TestSuccessAfterATermClearsTheRequest(t *testing.T) {
	t.Parallel()
	r := newRouters(3)
	for range 3 {
		r.crashNextUpstream(1)
	}
	r.now = r.now.Add(r.trackers[1].RefusedFor(r.now, request) + time.Second)
	r.serve(2)
	r.crashNextUpstream(1)
	r.crashNextUpstream(2)
	require.Zero(t, r.refusingCount())
}

// Guards against a newly connected router that forwards requests that the others refuse.
func TestNewRouterReceivesRefusedRequests(t *testing.T) {
	t.Parallel()
	r := newRouters(2)
	for range 3 {
		r.crashNextUpstream(1)
	}
	newTracker := &quarantine.Tracker{}
	for _, v := range r.trackers[0].ActiveVerdicts(r.now) {
		newTracker.ApplyVerdict(r.now, v)
	}
	require.Positive(t, newTracker.RefusedFor(r.now, request))
}

// Guards against a restarted fleet that has lost its refused requests.
func TestPersistedEntryIsRefusedAfterARestart(t *testing.T) {
	t.Parallel()
	persisted := quarantine.Entry{Request: request, Until: epoch.Add(time.Minute), Term: time.Minute}
	r := newRouters(2)
	for _, tracker := range r.trackers {
		tracker.Restore(r.now, []quarantine.Entry{persisted})
	}
	require.Equal(t, 2, r.refusingCount())
	r.now = epoch.Add(time.Minute + time.Second)
	require.Zero(t, r.refusingCount())
	r.crashNextUpstream(1)
	require.Equal(t, 2, r.refusingCount(), "one crash is enough on probation")
}

// Guards against expired entries that make the first crash refuse a request.
func TestExpiredEntryIsIgnored(t *testing.T) {
	t.Parallel()
	r := newRouters(1)
	r.trackers[0].Restore(r.now, []quarantine.Entry{{Request: request, Until: epoch.Add(-2 * time.Hour), Term: time.Minute}})
	r.crashNextUpstream(0)
	require.Zero(t, r.refusingCount())
}

// Guards against memory that grows with the number of requests whose upstreams crash.
func TestEvidenceIsBounded(t *testing.T) {
	t.Parallel()
	var tracker quarantine.Tracker
	const many = 20_000
	for i := range many {
		tracker.RecordServed(epoch, quarantine.Fingerprint(1+i))
		tracker.CountCrash(epoch.Add(time.Duration(i)*time.Millisecond), quarantine.Crash{Request: quarantine.Fingerprint(1 + i), Upstream: upstreamNumber(i)})
	}
	records, served := tracker.Sizes()
	require.LessOrEqual(t, records, many/4)
	require.LessOrEqual(t, served, many/4)
}
