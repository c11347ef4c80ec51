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

// routers are the watches of a fleet, of which the first counts.
type routers struct {
	now     time.Time
	watches []*quarantine.Watch
	ended   int
}

func newRouters(count int) *routers {
	f := &routers{now: epoch}
	for range count {
		f.watches = append(f.watches, &quarantine.Watch{})
	}
	return f
}

// tell brings a verdict to all routers, and objections back.
func (f *routers) tell(v quarantine.Verdict) {
	for _, w := range f.watches {
		if objection, objects, _ := w.Receive(f.now, v); objects {
			f.tell(objection)
			return
		}
	}
}

// crash ends an upstream under the request, which a router sent.
func (f *routers) crash(router int, upstream turn.Instance, ran time.Duration) {
	report, verdict := f.watches[router].Crashed(f.now, quarantine.Crash{Request: request, Upstream: upstream, Began: ran})
	if verdict.Standing == quarantine.Refused {
		f.tell(verdict)
		return
	}
	if verdict, some := f.watches[0].Report(f.now, report); some {
		f.tell(verdict)
	}
}

// crashNext ends another upstream under a run of the request that begins now.
func (f *routers) crashNext(router int) {
	f.now = f.now.Add(2 * runTime)
	f.ended++
	f.crash(router, upstreamNumber(f.ended), runTime)
}

func upstreamNumber(n int) turn.Instance {
	return turn.Instance{ID: fleet.UpstreamID(fmt.Sprintf("u%d", n)), Life: 1}
}

func (f *routers) serve(router int) {
	if verdict, some := f.watches[router].Served(f.now, request); some {
		f.tell(verdict)
	}
}

// refusing returns how many routers refuse the request.
func (f *routers) refusing() int {
	count := 0
	for _, w := range f.watches {
		if w.Refuses(f.now, request) > 0 {
			count++
		}
	}
	return count
}

// Guards against a request that crashes upstreams being sent on after the third, at any router.
func TestRequestIsRefusedEverywhereAfterThreeCrashes(t *testing.T) {
	t.Parallel()
	f := newRouters(5)
	for router := 1; router <= 2; router++ {
		f.crashNext(router)
		require.Zero(t, f.refusing())
	}
	f.crashNext(3)
	require.Equal(t, 5, f.refusing())
}

// Guards against a popular request being refused because some of its many runs were at
// upstreams that crashed.
func TestRequestThatIsServedBetweenCrashesIsNotRefused(t *testing.T) {
	t.Parallel()
	for _, server := range []int{0, 1, 4} {
		f := newRouters(5)
		for i := range 50 {
			f.crashNext(1 + i%3)
			f.now = f.now.Add(runTime / 2)
			f.serve(server)
			require.Zero(t, f.refusing(), "served at router %d", server)
		}
	}
}

// Guards against requests being refused after a power cut, in which they lose many upstreams at once.
func TestUpstreamsThatEndTogetherCountOnce(t *testing.T) {
	t.Parallel()
	f := newRouters(3)
	for i := range 40 {
		f.now = f.now.Add(time.Millisecond)
		f.crash(i%3, upstreamNumber(i), time.Second)
	}
	require.Zero(t, f.refusing())
}

// Guards against a power cut that counts more than once for a request that is retried in it.
func TestRetryThatBreaksOffInTheSamePowerCutDoesNotCount(t *testing.T) {
	t.Parallel()
	f := newRouters(3)
	for i := range 10 {
		f.now = f.now.Add(4 * time.Millisecond)
		f.crash(1, upstreamNumber(i), time.Millisecond)
	}
	require.Zero(t, f.refusing())
}

// Guards against one crash that counts for each router that had sent the request there.
func TestCrashThatManyRoutersReportCountsOnce(t *testing.T) {
	t.Parallel()
	f := newRouters(6)
	for router := range f.watches {
		f.crash(router, upstreamNumber(1), runTime)
		f.now = f.now.Add(2 * runTime)
	}
	require.Zero(t, f.refusing())
}

// Guards against an upstream that starts again under its id and counts only once.
func TestLivesOfOneUpstreamCountEach(t *testing.T) {
	t.Parallel()
	f := newRouters(2)
	for life := range 3 {
		f.now = f.now.Add(2 * runTime)
		f.crash(1, turn.Instance{ID: "u", Life: registry.Life(life)}, runTime)
	}
	require.Equal(t, 2, f.refusing())
}

// Guards against a late objection that leaves the request refused somewhere.
func TestRouterThatServedTheRequestMeanwhileClearsIt(t *testing.T) {
	t.Parallel()
	f := newRouters(4)
	f.crashNext(1)
	f.now = f.now.Add(runTime)
	served := f.now
	f.crashNext(1)
	f.crashNext(1)
	require.Equal(t, 4, f.refusing())
	late := &quarantine.Watch{}
	late.Served(served, request)
	f.watches = append(f.watches, late)
	f.tell(quarantine.Verdict{Request: request, Standing: quarantine.Refused, Since: f.now.Sub(epoch), Term: time.Minute, Left: time.Minute})
	require.Zero(t, f.refusing())
}

// Guards against three more crashes each time that a term is over.
func TestCrashAfterATermRefusesAtOnceForLonger(t *testing.T) {
	t.Parallel()
	f := newRouters(3)
	for range 3 {
		f.crashNext(1)
	}
	term := f.watches[1].Refuses(f.now, request)
	f.now = f.now.Add(term + time.Second)
	require.Zero(t, f.refusing())
	f.crashNext(2)
	require.Equal(t, 3, f.refusing())
	require.Greater(t, f.watches[1].Refuses(f.now, request), term)
}

// Guards against a request that ends more than three upstreams in a day once it is known.
func TestKnownRequestEndsAtMostThreeUpstreamsInADay(t *testing.T) {
	t.Parallel()
	f := newRouters(3)
	for range 3 {
		f.crashNext(1)
	}
	known := f.now
	crashes := 0
	for f.now.Sub(known) < 24*time.Hour {
		f.now = f.now.Add(time.Second)
		if f.refusing() > 0 {
			continue
		}
		require.True(t, f.watches[2].IsOnProbation(f.now, request))
		f.crashNext(2)
		require.Equal(t, 3, f.refusing())
		crashes++
	}
	require.Equal(t, 3, crashes)
}

// Guards against a sound request that stays refused though a run of it ended well.
func TestRunThatEndsWellAfterTheVerdictClearsTheRequest(t *testing.T) {
	t.Parallel()
	f := newRouters(4)
	for range 3 {
		f.crashNext(1)
	}
	require.Equal(t, 4, f.refusing())
	f.serve(2)
	require.Zero(t, f.refusing())
}

// Guards against a request that stays suspect for ever once it is served after its term.
func TestSuccessAfterATermClearsTheRequest(t *testing.T) {
	t.Parallel()
	f := newRouters(3)
	for range 3 {
		f.crashNext(1)
	}
	f.now = f.now.Add(f.watches[1].Refuses(f.now, request) + time.Second)
	f.serve(2)
	f.crashNext(1)
	f.crashNext(2)
	require.Zero(t, f.refusing())
}

// Guards against a router that starts later and doesn't know what the others refuse.
func TestRouterThatConnectsLearnsWhatIsRefused(t *testing.T) {
	t.Parallel()
	f := newRouters(2)
	for range 3 {
		f.crashNext(1)
	}
	started := &quarantine.Watch{}
	for _, v := range f.watches[0].Refused(f.now) {
		started.Receive(f.now, v)
	}
	require.Positive(t, started.Refuses(f.now, request))
}

// Guards against a fleet that starts anew and knows nothing of a request that crashes upstreams.
func TestEntryThatWasKeptIsRefusedAfterARestart(t *testing.T) {
	t.Parallel()
	kept := quarantine.Entry{Request: request, Until: epoch.Add(time.Minute), Term: time.Minute}
	f := newRouters(2)
	for _, w := range f.watches {
		w.Restore(f.now, []quarantine.Entry{kept})
	}
	require.Equal(t, 2, f.refusing())
	f.now = epoch.Add(time.Minute + time.Second)
	require.Zero(t, f.refusing())
	f.crashNext(1)
	require.Equal(t, 2, f.refusing(), "it was refused of late")
}

// Guards against entries of long ago that refuse a request at once.
func TestEntryOfLongAgoSaysNothing(t *testing.T) {
	t.Parallel()
	f := newRouters(1)
	f.watches[0].Restore(f.now, []quarantine.Entry{{Request: request, Until: epoch.Add(-2 * time.Hour), Term: time.Minute}})
	f.crashNext(0)
	require.Zero(t, f.refusing())
}

// Guards against memory that grows with the requests of a fleet whose upstreams crash.
func TestEvidenceIsBounded(t *testing.T) {
	t.Parallel()
	var w quarantine.Watch
	const many = 20_000
	for i := range many {
		w.Served(epoch, quarantine.Fingerprint(1+i))
		w.Report(epoch.Add(time.Duration(i)*time.Millisecond), quarantine.Crash{Request: quarantine.Fingerprint(1 + i), Upstream: upstreamNumber(i)})
	}
	records, served := w.Sizes()
	require.LessOrEqual(t, records, many/4)
	require.LessOrEqual(t, served, many/4)
}
