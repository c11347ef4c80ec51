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

// testRouters are the watches of a fleet. The first one is the counting router.
type testRouters struct {
	now     time.Time
	watches []*quarantine.Tracker
	crashed int
}

func newRouters(count int) *testRouters {
	f := &testRouters{now: epoch}
	for range count {
		f.watches = append(f.watches, &quarantine.Tracker{})
	}
	return f
}

// broadcast sends a verdict to the routers until one objects, and then that objection.
func (f *testRouters) broadcast(v quarantine.Verdict) {
	for _, w := range f.watches {
		if objection, objects, _ := w.ApplyVerdict(f.now, v); objects {
			f.broadcast(objection)
			return
		}
	}
}

// crash simulates the crash of an upstream that ran the request of a router.
func (f *testRouters) crash(router int, upstream turn.Instance, ran time.Duration) {
	report, verdict := f.watches[router].RecordCrash(f.now, quarantine.Crash{Request: request, Upstream: upstream, StartedAgo: ran})
	if verdict.Status == quarantine.Refused {
		f.broadcast(verdict)
		return
	}
	if verdict, ok := f.watches[0].CountCrash(f.now, report); ok {
		f.broadcast(verdict)
	}
}

// crashNextUpstream simulates a new run of the request that crashes another upstream.
func (f *testRouters) crashNextUpstream(router int) {
	f.now = f.now.Add(2 * runTime)
	f.crashed++
	f.crash(router, upstreamNumber(f.crashed), runTime)
}

func upstreamNumber(n int) turn.Instance {
	return turn.Instance{ID: fleet.UpstreamID(fmt.Sprintf("u%d", n)), StartTime: 1}
}

func (f *testRouters) serve(router int) {
	if verdict, ok := f.watches[router].RecordServed(f.now, request); ok {
		f.broadcast(verdict)
	}
}

// refusingCount returns how many routers refuse the request.
func (f *testRouters) refusingCount() int {
	count := 0
	for _, w := range f.watches {
		if w.RefusedFor(f.now, request) > 0 {
			count++
		}
	}
	return count
}

// Guards against any router sending a request upstream after it has crashed three upstreams.
func TestRequestIsRefusedEverywhereAfterThreeCrashes(t *testing.T) {
	t.Parallel()
	f := newRouters(5)
	for router := 1; router <= 2; router++ {
		f.crashNextUpstream(router)
		require.Zero(t, f.refusingCount())
	}
	f.crashNextUpstream(3)
	require.Equal(t, 5, f.refusingCount())
}

// Guards against refusing a popular request because some of its many runs were at
// upstreams that crashed.
func TestRequestThatIsServedBetweenCrashesIsNotRefused(t *testing.T) {
	t.Parallel()
	for _, server := range []int{0, 1, 4} {
		f := newRouters(5)
		for i := range 50 {
			f.crashNextUpstream(1 + i%3)
			f.now = f.now.Add(runTime / 2)
			f.serve(server)
			require.Zero(t, f.refusingCount(), "served at router %d", server)
		}
	}
}

// Guards against refusing requests that lost many upstreams at once in a power cut.
func TestUpstreamsThatEndTogetherCountOnce(t *testing.T) {
	t.Parallel()
	f := newRouters(3)
	for i := range 40 {
		f.now = f.now.Add(time.Millisecond)
		f.crash(i%3, upstreamNumber(i), time.Second)
	}
	require.Zero(t, f.refusingCount())
}

// Guards against a power cut counting more than once for a request that is retried in it.
func TestRetryThatBreaksOffInTheSamePowerCutDoesNotCount(t *testing.T) {
	t.Parallel()
	f := newRouters(3)
	for i := range 10 {
		f.now = f.now.Add(4 * time.Millisecond)
		f.crash(1, upstreamNumber(i), time.Millisecond)
	}
	require.Zero(t, f.refusingCount())
}

// Guards against counting one crash once for each router that had sent the request there.
func TestCrashThatManyRoutersReportCountsOnce(t *testing.T) {
	t.Parallel()
	f := newRouters(6)
	for router := range f.watches {
		f.crash(router, upstreamNumber(1), runTime)
		f.now = f.now.Add(2 * runTime)
	}
	require.Zero(t, f.refusingCount())
}

// Guards against counting an upstream only once that crashed, restarted under the same ID
// and crashed again.
func TestLivesOfOneUpstreamCountEach(t *testing.T) {
	t.Parallel()
	f := newRouters(2)
	for life := range 3 {
		f.now = f.now.Add(2 * runTime)
		f.crash(1, turn.Instance{ID: "u", StartTime: registry.StartTime(life)}, runTime)
	}
	require.Equal(t, 2, f.refusingCount())
}

// Guards against a late objection that leaves the request refused at some routers.
func TestRouterThatServedTheRequestMeanwhileClearsIt(t *testing.T) {
	t.Parallel()
	f := newRouters(4)
	f.crashNextUpstream(1)
	f.now = f.now.Add(runTime)
	served := f.now
	f.crashNextUpstream(1)
	f.crashNextUpstream(1)
	require.Equal(t, 4, f.refusingCount())
	other := &quarantine.Tracker{}
	other.RecordServed(served, request)
	f.watches = append(f.watches, other)
	f.broadcast(quarantine.Verdict{Request: request, Status: quarantine.Refused, FirstCrashAgo: f.now.Sub(epoch), Term: time.Minute, Remaining: time.Minute})
	require.Zero(t, f.refusingCount())
}

// Guards against another three crashes each time a term is over.
func TestCrashAfterATermRefusesAtOnceForLonger(t *testing.T) {
	t.Parallel()
	f := newRouters(3)
	for range 3 {
		f.crashNextUpstream(1)
	}
	term := f.watches[1].RefusedFor(f.now, request)
	f.now = f.now.Add(term + time.Second)
	require.Zero(t, f.refusingCount())
	f.crashNextUpstream(2)
	require.Equal(t, 3, f.refusingCount())
	require.Greater(t, f.watches[1].RefusedFor(f.now, request), term)
}

// Guards against a known request that crashes more than three upstreams in a day.
func TestKnownRequestEndsAtMostThreeUpstreamsInADay(t *testing.T) {
	t.Parallel()
	f := newRouters(3)
	for range 3 {
		f.crashNextUpstream(1)
	}
	known := f.now
	crashes := 0
	for f.now.Sub(known) < 24*time.Hour {
		f.now = f.now.Add(time.Second)
		if f.refusingCount() > 0 {
			continue
		}
		require.True(t, f.watches[2].IsOnProbation(f.now, request))
		f.crashNextUpstream(2)
		require.Equal(t, 3, f.refusingCount())
		crashes++
	}
	require.Equal(t, 3, crashes)
}

// Guards against a harmless request that stays refused although a run of it succeeded.
func TestRunThatSucceedsAfterTheVerdictClearsTheRequest(t *testing.T) {
	t.Parallel()
	f := newRouters(4)
	for range 3 {
		f.crashNextUpstream(1)
	}
	require.Equal(t, 4, f.refusingCount())
	f.serve(2)
	require.Zero(t, f.refusingCount())
}

// Guards against a request that stays suspected for ever although it was served after its
// term.
func TestSuccessAfterATermClearsTheRequest(t *testing.T) {
	t.Parallel()
	f := newRouters(3)
	for range 3 {
		f.crashNextUpstream(1)
	}
	f.now = f.now.Add(f.watches[1].RefusedFor(f.now, request) + time.Second)
	f.serve(2)
	f.crashNextUpstream(1)
	f.crashNextUpstream(2)
	require.Zero(t, f.refusingCount())
}

// Guards against a router that starts later and doesn't refuse what the others refuse.
func TestRouterThatConnectsLearnsWhatIsRefused(t *testing.T) {
	t.Parallel()
	f := newRouters(2)
	for range 3 {
		f.crashNextUpstream(1)
	}
	newWatch := &quarantine.Tracker{}
	for _, v := range f.watches[0].ActiveVerdicts(f.now) {
		newWatch.ApplyVerdict(f.now, v)
	}
	require.Positive(t, newWatch.RefusedFor(f.now, request))
}

// Guards against a restarted fleet that has lost its refused requests.
func TestEntryThatWasKeptIsRefusedAfterARestart(t *testing.T) {
	t.Parallel()
	kept := quarantine.Entry{Request: request, Until: epoch.Add(time.Minute), Term: time.Minute}
	f := newRouters(2)
	for _, w := range f.watches {
		w.Restore(f.now, []quarantine.Entry{kept})
	}
	require.Equal(t, 2, f.refusingCount())
	f.now = epoch.Add(time.Minute + time.Second)
	require.Zero(t, f.refusingCount())
	f.crashNextUpstream(1)
	require.Equal(t, 2, f.refusingCount(), "one crash is enough on probation")
}

// Guards against expired entries that make the first crash refuse a request.
func TestExpiredEntryIsIgnored(t *testing.T) {
	t.Parallel()
	f := newRouters(1)
	f.watches[0].Restore(f.now, []quarantine.Entry{{Request: request, Until: epoch.Add(-2 * time.Hour), Term: time.Minute}})
	f.crashNextUpstream(0)
	require.Zero(t, f.refusingCount())
}

// Guards against memory that grows with the number of requests whose upstreams crash.
func TestEvidenceIsBounded(t *testing.T) {
	t.Parallel()
	var w quarantine.Tracker
	const many = 20_000
	for i := range many {
		w.RecordServed(epoch, quarantine.Fingerprint(1+i))
		w.CountCrash(epoch.Add(time.Duration(i)*time.Millisecond), quarantine.Crash{Request: quarantine.Fingerprint(1 + i), Upstream: upstreamNumber(i)})
	}
	records, served := w.Sizes()
	require.LessOrEqual(t, records, many/4)
	require.LessOrEqual(t, served, many/4)
}
