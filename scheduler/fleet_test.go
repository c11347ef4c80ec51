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

// upstreams counts what is in flight at each upstream, as the upstream sees it.
type upstreams struct {
	mu      sync.Mutex
	running map[string]int
	most    map[string]int
	served  map[string]int
	cost    map[string]fleet.Tokens
}

func (u *upstreams) begin(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[id]++
	u.most[id] = max(u.most[id], u.running[id])
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

func (u *upstreams) mostOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.most[id]
}

// total returns what runs at all upstreams now.
func (u *upstreams) total() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	sum := 0
	for _, n := range u.running {
		sum += n
	}
	return sum
}

func (u *upstreams) resetMost() {
	u.mu.Lock()
	defer u.mu.Unlock()
	clear(u.most)
}

func newFixed(slots int) inflight.Limiter { return inflight.Fixed(slots) }

// bounded admits as long as the account's bound is kept.
type bounded struct{}

func (bounded) Admit(_, _ time.Time, queue admission.Queue) *refusal.Error {
	if queue.Account >= queue.AccountBound {
		return refusal.New(refusal.AccountQueueFull, "too many wait", time.Second)
	}
	return nil
}

type fixedView struct{ view *note.View }

func (f fixedView) Current() *note.View { return f.view }

// source is a note.Source whose view changes.
type source struct{ atomic.Pointer[note.View] }

// Current returns the view in force.
func (s *source) Current() *note.View { return s.Load() }

func viewOf(accounts, ups, slots int) *note.View {
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

// testFleet is several routers in one process.
type testFleet struct {
	t       *testing.T
	net     *network
	ups     *upstreams
	view    *note.View
	routers map[fleet.RouterID]*testRouter
	sharing scheduler.Sharing
	client  *http.Client
	// notes and vms replace what single routers see.
	notes map[fleet.RouterID]note.Source
	vms   map[fleet.RouterID]store.VMs
	limit func(slots int) inflight.Limiter
	// order replaces the fair one.
	order func() share.Order[fleet.Number]
	// placement replaces the least loaded upstream.
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
		t: t, net: newNetwork(), view: view, routers: make(map[fleet.RouterID]*testRouter),
		ups: &upstreams{
			running: make(map[string]int), most: make(map[string]int),
			served: make(map[string]int), cost: make(map[string]fleet.Tokens),
		},
	}
	return f
}

// start starts a router with nothing remembered and connects it to the others.
func (f *testFleet) start(id fleet.RouterID, life fleet.Incarnation) {
	f.t.Helper()
	notes := f.notes[id]
	if notes == nil {
		notes = fixedView{f.view}
	}
	order := f.order
	if order == nil {
		order = func() share.Order[fleet.Number] { return &share.Fair[fleet.Number]{} }
	}
	place := f.placement
	if place == nil {
		place = placement.LeastLoaded{}
	}
	limit := f.limit
	if limit == nil {
		limit = newFixed
	}
	s := scheduler.New(scheduler.Options[share.Order[fleet.Number], inflight.Limiter, placement.Policy]{
		Self: id, Incarnation: life, Notes: notes, VMs: f.vms[id], Peers: f.net.port(id, life),
		Order: order, Limiter: limit,
		Admission: bounded{}, MaxWaiting: 10_000, MaxWaitingTotal: 100_000, Sharing: f.sharing, Placement: place, Client: f.client,
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	r := &testRouter{Scheduler: s, stop: cancel, ctx: ctx, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = s.Run(ctx)
	}()
	for other := range f.routers {
		f.net.connect(id, other)
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

// kill ends a router without a word: its requests end, its connections break.
func (f *testFleet) kill(id fleet.RouterID) {
	r := f.routers[id]
	delete(f.routers, id)
	r.stop()
	<-r.done
	f.net.mu.Lock()
	delete(f.net.ports, id)
	f.net.mu.Unlock()
	for other := range f.routers {
		f.net.cut(id, other)
	}
}

func (f *testFleet) stopAll() {
	for id := range f.routers {
		f.kill(id)
	}
	// What is on the wire arrives nowhere, and streams see that their router is gone.
	time.Sleep(10*wire + 2*time.Second)
}

// one runs one request through the first router.
func (f *testFleet) one(account string, took time.Duration) error {
	return f.run(f.routers["router-0"], account, 300, took)
}

// work returns a request of an account with an hour to wait.
func (f *testFleet) work(account string) dispatch.Work {
	return dispatch.Work{
		Account: f.view.Account(fleet.AccountID(account)), Service: f.view.Service("model"), Estimate: 300,
		Deadline: time.Now().Add(time.Hour),
	}
}

func (f *testFleet) run(r *testRouter, account string, cost fleet.Tokens, took time.Duration) error {
	slot, err := r.Acquire(r.ctx, f.work(account))
	if err != nil {
		return err
	}
	upstream := slot.Upstream().GetId()
	f.ups.begin(upstream)
	select {
	case <-time.After(took):
		f.ups.end(upstream, account, cost)
		slot.Done(dispatch.Done{Result: dispatch.Answered, Cost: cost, FirstToken: took / 10})
	case <-r.ctx.Done():
		f.ups.end(upstream, account, 0)
	}
	return nil
}

// load keeps n requests of an account at a router until the router is killed.
func (f *testFleet) load(id fleet.RouterID, account string, n int, took time.Duration) {
	r := f.routers[id]
	for range n {
		go func() {
			for r.ctx.Err() == nil {
				if err := f.run(r, account, 300, took); err != nil {
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

// full checks over some seconds that so many requests run at all upstreams
// together. A single look could fall between a request's end and the next
// one's begin, a few milliseconds of each second.
func (f *testFleet) full(slots int) {
	f.t.Helper()
	const looks, part = 100, 0.97
	sum := 0
	for range looks {
		time.Sleep(37 * time.Millisecond)
		total := f.ups.total()
		require.LessOrEqual(f.t, total, slots)
		sum += total
	}
	require.GreaterOrEqual(f.t, float64(sum)/looks, part*float64(slots))
}

// atMost checks that no upstream ever ran more than limit since the last reset.
func (f *testFleet) atMost(limit int) {
	f.t.Helper()
	f.ups.mu.Lock()
	defer f.ups.mu.Unlock()
	for id, most := range f.ups.most {
		require.LessOrEqual(f.t, most, limit, id)
	}
}
