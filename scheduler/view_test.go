package scheduler_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/store"
)

// bytesSent returns the bytes sent between all routers.
func (n *network) bytesSent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

// A release note adds an upstream, and its dispatcher has the note before a router
// where a request waits. The router can't use the grant. If it asked again at once,
// the slot would be granted and returned over and over; if it never did, the
// request would wait for ever.
func TestGrantForAnUpstreamThatIsNotKnownYet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		newer, older := newView(2, 2, 1), newView(2, 1, 1)
		f := newFleet(t, newer)
		notes := &switchableNotes{}
		notes.Store(older)
		f.notes = map[fleet.RouterID]note.Source{"router-0": notes}
		f.startAll(2)
		defer f.stopAll()
		// Both slots are in use; router-0 does not know the upstream of the second one.
		f.keepLoad("router-1", "account-1", 1, time.Hour)
		time.Sleep(time.Second)
		f.keepLoad("router-0", "account-0", 2, 3*time.Second)
		time.Sleep(2 * time.Second)
		before := f.network.bytesSent()
		time.Sleep(10 * time.Second)
		require.Less(t, f.network.bytesSent()-before, 5000)
		notes.Store(newer)
		time.Sleep(5 * time.Second)
		f.requireFull(2)
	})
}

// An upstream's VM is to be replaced, and the other routers see it as leaving in
// the platform's VM list before its dispatcher does. They must send it no new
// requests, and once they have reported it to the dispatcher, no router may.
func TestUpstreamThatLeavesByTheListGetsNoWork(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(2, 8, 2))
		lists := map[fleet.RouterID]*vmList{"router-0": {}, "router-1": {}, "router-2": {}}
		f.vms = make(map[fleet.RouterID]store.VMLister)
		for id, list := range lists {
			f.vms[id] = list
		}
		ids := f.startAll(3)
		defer f.stopAll()
		dispatcher := f.dispatcherOf(ids[0])
		rest := allExcept(ids, dispatcher)
		f.keepLoad(rest[0], "account-0", 10, time.Second)
		f.keepLoad(rest[1], "account-1", 10, time.Second)
		time.Sleep(5500 * time.Millisecond)
		f.requireFull(16)
		for _, id := range rest {
			lists[id].mu.Lock()
			lists[id].vms = []store.VM{{Name: "upstream-0", Role: store.UpstreamVM, Leaving: true}}
			lists[id].mu.Unlock()
		}
		time.Sleep(4 * time.Second)
		f.upstreams.resetPeaks()
		time.Sleep(10 * time.Second)
		f.upstreams.mu.Lock()
		defer f.upstreams.mu.Unlock()
		require.Zero(t, f.upstreams.peak["upstream-0"])
		require.Len(t, f.upstreams.peak, 7)
	})
}

// A router boots during an outage of the platform and has no release note yet. If
// the others made it a dispatcher, its upstreams would idle while requests wait,
// until the outage ends.
func TestRouterWithoutAReleaseNoteDispatchesNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(1, 12, 2))
		empty := &switchableNotes{}
		f.notes = map[fleet.RouterID]note.Source{"router-2": empty}
		ids := f.startAll(3)
		defer f.stopAll()
		f.keepLoad(ids[0], "account-0", 40, time.Second)
		time.Sleep(2500 * time.Millisecond)
		f.requireFull(24)
		empty.Store(f.view)
		time.Sleep(5 * time.Second)
		f.requireFull(24)
		f.requireAtMost(2)
		dispatchers := make(map[fleet.RouterID]bool)
		for _, u := range f.state(ids[0]).Upstreams {
			dispatchers[u.Dispatcher] = true
		}
		require.Len(t, dispatchers, 3)
	})
}

// limitedEngine answers load polls like an engine that runs at most 8 requests and
// queues the others.
type limitedEngine struct{ fleet *testFleet }

// RoundTrip answers one poll.
func (e limitedEngine) RoundTrip(request *http.Request) (*http.Response, error) {
	running := min(e.fleet.upstreams.totalRunning(), 8)
	queued := e.fleet.upstreams.totalRunning() - running
	body := fmt.Sprintf(`{"running":%d,"queued":%d,"at-unix-ms":%d}`, running, queued, time.Now().UnixMilli())
	return &http.Response{
		StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Header: make(http.Header), Request: request,
	}, nil
}

// The network between two routers is cut, so both dispatch the same upstream. Its
// load reports include the requests of both. With fixed limits it would get twice
// its batch until the cut ends; with adaptive limits both together return to about
// its batch.
func TestTwoDispatchersAreBoundedByTheUpstreamsReports(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(2, 1, 64))
		f.pollClient = &http.Client{Transport: limitedEngine{f}}
		f.limiter = func(int) inflight.Limiter { return &inflight.Adaptive{} }
		ids := f.startAll(2)
		defer f.stopAll()
		f.keepLoad(ids[0], "account-0", 40, time.Second)
		f.keepLoad(ids[1], "account-1", 40, time.Second)
		time.Sleep(30 * time.Second)
		f.network.cut(ids[0], ids[1])
		time.Sleep(20 * time.Second)
		f.upstreams.resetPeaks()
		const samples = 3000
		sum := 0
		for range samples {
			time.Sleep(37 * time.Millisecond)
			sum += f.upstreams.totalRunning()
		}
		mean := float64(sum) / samples
		t.Logf("on average %.1f in flight, at most %d", mean, f.upstreams.peakOf("upstream-0"))
		// At most a quarter above the batch on average, and never both limits together.
		require.LessOrEqual(t, mean, 1.25*8)
		f.requireAtMost(2*8 - 1)
		require.Equal(t, ids[0], f.dispatcherOf(ids[0]))
		require.Equal(t, ids[1], f.dispatcherOf(ids[1]))
	})
}
