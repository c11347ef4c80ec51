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

// sent returns the bytes that all routers sent to each other.
func (n *network) sent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

// A release note adds an upstream, and its dispatcher has the note before the
// router at which a request waits. The router can't use the grant. Without a
// pause the slot would be granted and given back over and over, and without a
// repeated ask the request would wait for ever.
func TestGrantForAnUpstreamThatIsNotKnownYet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		newer, older := viewOf(2, 2, 1), viewOf(2, 1, 1)
		f := newFleet(t, newer)
		late := &source{}
		late.Store(older)
		f.notes = map[fleet.RouterID]note.Source{"router-0": late}
		f.startAll(2)
		defer f.stopAll()
		// Both slots are taken; the second is one that router-0 does not know.
		f.load("router-1", "account-1", 1, time.Hour)
		time.Sleep(time.Second)
		f.load("router-0", "account-0", 2, 3*time.Second)
		time.Sleep(2 * time.Second)
		before := f.net.sent()
		time.Sleep(10 * time.Second)
		require.Less(t, f.net.sent()-before, 5000)
		late.Store(newer)
		time.Sleep(5 * time.Second)
		f.full(2)
	})
}

// An upstream's VM is to be replaced, and one router sees it as leaving in the
// platform's list before the others. Nothing new may go there from that
// router, nor from the others once the router has told the dispatcher.
func TestUpstreamThatLeavesByTheListGetsNoWork(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(2, 8, 2))
		lists := map[fleet.RouterID]*vmList{"router-0": {}, "router-1": {}, "router-2": {}}
		f.vms = make(map[fleet.RouterID]store.VMs)
		for id, list := range lists {
			f.vms[id] = list
		}
		ids := f.startAll(3)
		defer f.stopAll()
		dispatcher := f.dispatcherOf(ids[0])
		rest := others(ids, dispatcher)
		f.load(rest[0], "account-0", 10, time.Second)
		f.load(rest[1], "account-1", 10, time.Second)
		time.Sleep(5500 * time.Millisecond)
		f.full(16)
		for _, id := range rest {
			lists[id].mu.Lock()
			lists[id].vms = []store.VM{{Name: "upstream-0", Role: store.UpstreamVM, Leaving: true}}
			lists[id].mu.Unlock()
		}
		time.Sleep(4 * time.Second)
		f.ups.resetMost()
		time.Sleep(10 * time.Second)
		f.ups.mu.Lock()
		defer f.ups.mu.Unlock()
		require.Zero(t, f.ups.most["upstream-0"])
		require.Len(t, f.ups.most, 7)
	})
}

// A router boots while the platform is down and holds no release note yet. If
// the others took it for a dispatcher, the upstreams that fall to it would
// idle while work waits, for as long as the outage lasts.
func TestRouterWithoutAReleaseNoteDispatchesNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(1, 12, 2))
		empty := &source{}
		f.notes = map[fleet.RouterID]note.Source{"router-2": empty}
		ids := f.startAll(3)
		defer f.stopAll()
		f.load(ids[0], "account-0", 40, time.Second)
		time.Sleep(2500 * time.Millisecond)
		f.full(24)
		empty.Store(f.view)
		time.Sleep(5 * time.Second)
		f.full(24)
		f.atMost(2)
		dispatchers := make(map[fleet.RouterID]bool)
		for _, u := range f.state(ids[0]).Upstreams {
			dispatchers[u.Dispatcher] = true
		}
		require.Len(t, dispatchers, 3)
	})
}

// engine answers polls with what runs at the first upstream.
type engine struct{ f *testFleet }

// RoundTrip answers one poll.
func (e engine) RoundTrip(request *http.Request) (*http.Response, error) {
	running := min(e.f.ups.total(), 8)
	queued := e.f.ups.total() - running
	body := fmt.Sprintf(`{"running":%d,"queued":%d,"at-unix-ms":%d}`, running, queued, time.Now().UnixMilli())
	return &http.Response{
		StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Header: make(http.Header), Request: request,
	}, nil
}

// The network between two routers is cut, so that both dispatch one upstream.
// Each sees in the upstream's reports what the other sends there. With a fixed
// limit the upstream would run twice its batch until the cut ends; with the
// adaptive one both together come back to about what fits.
func TestTwoDispatchersAreBoundedByTheUpstreamsReports(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(2, 1, 64))
		f.client = &http.Client{Transport: engine{f}}
		f.limit = func(int) inflight.Limiter { return &inflight.Adaptive{} }
		ids := f.startAll(2)
		defer f.stopAll()
		f.load(ids[0], "account-0", 40, time.Second)
		f.load(ids[1], "account-1", 40, time.Second)
		time.Sleep(30 * time.Second)
		f.net.cut(ids[0], ids[1])
		time.Sleep(20 * time.Second)
		f.ups.resetMost()
		const looks = 3000
		sum := 0
		for range looks {
			time.Sleep(37 * time.Millisecond)
			sum += f.ups.total()
		}
		mean := float64(sum) / looks
		t.Logf("on average %.1f in flight, at most %d", mean, f.ups.mostOf("upstream-0"))
		// A quarter above the batch on average, and never both limits at once.
		require.LessOrEqual(t, mean, 1.25*8)
		f.atMost(2*8 - 1)
		require.Equal(t, ids[0], f.dispatcherOf(ids[0]))
		require.Equal(t, ids[1], f.dispatcherOf(ids[1]))
	})
}
