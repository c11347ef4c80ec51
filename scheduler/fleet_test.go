package scheduler_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/placement"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/scheduler"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/share"
	"nutmeglock.example/nutmeglock/store"
)

// upstreams counts the requests that actually run at each upstream.
type upstreams struct {
	mu      sync.Mutex
	running map[string]int
	peak    map[string]int
	served  map[string]int
	cost    map[string]fleet.Tokens
}

func (u *upstreams) begin(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[id]++
	u.peak[id] = max(u.peak[id], u.running[id])
}

func (u *upstreams) end(id, account string, cost fleet.Tokens) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[id]--
	u.served[account]++
	u.cost[account] += cost
}

func (u *upstreams) servedOf(account string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.served[account]
}

func (u *upstreams) peakOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peak[id]
}

// totalRunning returns the number of requests that run at all upstreams.
func (u *upstreams) totalRunning() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	sum := 0
	for _, n := range u.running {
		sum += n
	}
	return sum
}

func (u *upstreams) resetPeaks() {
	u.mu.Lock()
	defer u.mu.Unlock()
	clear(u.peak)
}

func newFixed(slots int) inflight.Limiter { return inflight.Fixed(slots) }

// bounded admits requests up to the account's limit, whatever their deadlines.
type bounded struct{}

func (bounded) Admit(_, _ time.Time, queue admission.Queue) *refusal.Error {
	if queue.AccountWaiting >= queue.AccountBound {
		return refusal.New(refusal.AccountQueueFull, "too many waiting requests", time.Second)
	}
	return nil
}

type fixedNotes struct{ view *note.View }

func (f fixedNotes) Current() *note.View { return f.view }

// switchableNotes is a note.Source whose view tests can replace.
type switchableNotes struct{ atomic.Pointer[note.View] }

// Current returns the current view.
func (s *switchableNotes) Current() *note.View { return s.Load() }

func newView(accounts, ups, slots int) *note.View {
	state := &schema.FleetState{Version: 1, Services: []*schema.Service{{Id: "model", Kind: "model", Number: 1}}}
	for i := range accounts {
		state.Accounts = append(state.Accounts, &schema.Account{Id: fmt.Sprintf("account-%d", i), Weight: 1, Number: uint32(100 + i)})
	}
	for i := range ups {
		state.Upstreams = append(state.Upstreams, &schema.Upstream{
			Id: fmt.Sprintf("upstream-%d", i), Service: "model", Address: "127.0.0.1:1", Slots: uint32(slots), Number: uint32(1000 + i),
		})
	}
	return note.NewView(state)
}

// testFleet runs several routers in one process.
type testFleet struct {
	t          *testing.T
	network    *network
	upstreams  *upstreams
	view       *note.View
	routers    map[fleet.RouterID]*testRouter
	sharing    scheduler.Sharing
	pollClient *http.Client
	// notes and vms override the sources of single routers.
	notes   map[fleet.RouterID]note.Source
	vms     map[fleet.RouterID]store.VMLister
	limiter func(slots int) inflight.Limiter
	// sharePolicy overrides share.Fair.
	sharePolicy func() share.Policy[fleet.ShortID]
	// placement overrides placement.LeastLoaded.
	placement placement.Policy
}

type testRouter struct {
	*scheduler.Scheduler
	stop context.CancelFunc
	ctx  context.Context
	done chan struct{}
}

func newFleet(t *testing.T, view *note.View) *testFleet {
	t.Helper()
	f := &testFleet{
		t: t, network: newNetwork(), view: view, routers: make(map[fleet.RouterID]*testRouter),
		upstreams: &upstreams{
			running: make(map[string]int), peak: make(map[string]int),
			served: make(map[string]int), cost: make(map[string]fleet.Tokens),
		},
	}
	return f
}

// start starts a router without state and connects it to the others.
func (f *testFleet) start(id fleet.RouterID, incarnation fleet.Incarnation) {
	f.t.Helper()
	notes := f.notes[id]
	if notes == nil {
		notes = fixedNotes{f.view}
	}
	sharePolicy := f.sharePolicy
	if sharePolicy == nil {
		sharePolicy = func() share.Policy[fleet.ShortID] { return &share.Fair[fleet.ShortID]{} }
	}
	placementPolicy := f.placement
	if placementPolicy == nil {
		placementPolicy = placement.LeastLoaded{}
	}
	limiter := f.limiter
	if limiter == nil {
		limiter = newFixed
	}
	s := scheduler.New(scheduler.Options[share.Policy[fleet.ShortID], inflight.Limiter, placement.Policy]{
		Self: id, Incarnation: incarnation, Notes: notes, VMs: f.vms[id], Peers: f.network.newPeers(id, incarnation),
		SharePolicy: sharePolicy, Limiter: limiter,
		Admission: bounded{}, MaxWaiting: 10_000, MaxWaitingTotal: 100_000, Sharing: f.sharing, Placement: placementPolicy, PollClient: f.pollClient,
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	r := &testRouter{Scheduler: s, stop: cancel, ctx: ctx, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = s.Run(ctx)
	}()
	for other := range f.routers {
		f.network.connect(id, other)
	}
	f.routers[id] = r
}

func (f *testFleet) startAll(n int) []fleet.RouterID {
	var ids []fleet.RouterID
	for i := range n {
		id := fleet.RouterID(fmt.Sprintf("router-%d", i))
		f.start(id, 1)
		ids = append(ids, id)
	}
	time.Sleep(3 * time.Second)
	return ids
}

// kill stops a router without notice: its requests end and its connections close.
func (f *testFleet) kill(id fleet.RouterID) {
	r := f.routers[id]
	delete(f.routers, id)
	r.stop()
	<-r.done
	f.network.mu.Lock()
	delete(f.network.peers, id)
	f.network.mu.Unlock()
	for other := range f.routers {
		f.network.cut(id, other)
	}
}

func (f *testFleet) stopAll() {
	for id := range f.routers {
		f.kill(id)
	}
	// Waits until batches in transit are dropped and streams notice that their router has stopped.
	time.Sleep(10*linkDelay + 2*time.Second)
}

// runOnFirst runs one request through router-0.
func (f *testFleet) runOnFirst(account string, duration time.Duration) error {
	return f.runOn(f.routers["router-0"], account, 300, duration)
}

// newRequest returns a request of an account with a deadline in an hour.
func (f *testFleet) newRequest(account string) dispatch.Request {
	return dispatch.Request{
		Account: f.view.Account(fleet.AccountID(account)), Service: f.view.Service("model"), Estimate: 300,
		Deadline: time.Now().Add(time.Hour),
	}
}

func (f *testFleet) runOn(r *testRouter, account string, cost fleet.Tokens, duration time.Duration) error {
	slot, err := r.Acquire(r.ctx, f.newRequest(account))
	if err != nil {
		return err
	}
	upstream := slot.Upstream().GetId()
	f.upstreams.begin(upstream)
	select {
	case <-time.After(duration):
		f.upstreams.end(upstream, account, cost)
		slot.Release(dispatch.Completion{Result: dispatch.Answered, Cost: cost, FirstTokenLatency: duration / 10})
	case <-r.ctx.Done():
		f.upstreams.end(upstream, account, 0)
	}
	return nil
}

// keepLoad keeps n requests of an account at a router until the router stops.
func (f *testFleet) keepLoad(id fleet.RouterID, account string, n int, duration time.Duration) {
	r := f.routers[id]
	for range n {
		go func() {
			for r.ctx.Err() == nil {
				if err := f.runOn(r, account, 300, duration); err != nil {
					return
				}
			}
		}()
	}
}

func (f *testFleet) state(id fleet.RouterID) scheduler.State {
	state, err := f.routers[id].State(f.t.Context())
	require.NoError(f.t, err)
	return state
}

// requireFull checks over some seconds that the upstreams run that many requests in
// total. A single sample could fall between the end of a request and the start of
// the next, which takes a few milliseconds of each second.
func (f *testFleet) requireFull(slots int) {
	f.t.Helper()
	const samples, fraction = 100, 0.97
	sum := 0
	for range samples {
		time.Sleep(37 * time.Millisecond)
		total := f.upstreams.totalRunning()
		require.LessOrEqual(f.t, total, slots)
		sum += total
	}
	require.GreaterOrEqual(f.t, float64(sum)/samples, fraction*float64(slots))
}

// requireAtMost checks that no upstream has run more than limit requests since the last reset.
func (f *testFleet) requireAtMost(limit int) {
	f.t.Helper()
	f.upstreams.mu.Lock()
	defer f.upstreams.mu.Unlock()
	for id, most := range f.upstreams.peak {
		require.LessOrEqual(f.t, most, limit, id)
	}
}
