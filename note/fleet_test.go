package note_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/timer"
)

// testFleet is a set of routers that share one platform, without a network
// between them.
type testFleet struct {
	clock    *timer.Fake
	platform *memory.Platform
	routers  []*testRouter
	// isolated routers neither reach peers nor are reached by them.
	isolated map[fleet.RouterID]bool
}

type testRouter struct {
	id        fleet.RouterID
	table     *interceptedTable
	store     *note.Store
	replica   *note.Replica
	publisher *note.Publisher
}

func newTestFleet(n int) *testFleet {
	clock := timer.NewFake(time.Unix(1_000_000, 0))
	r := &testFleet{clock: clock, platform: memory.New(clock), isolated: map[fleet.RouterID]bool{}}
	for i := range n {
		r.routers = append(r.routers, &testRouter{id: fleet.RouterID(fmt.Sprintf("r%d", i))})
		r.start(i)
	}
	return r
}

// start starts a router without any state.
func (r *testFleet) start(i int) {
	router := r.routers[i]
	router.table = &interceptedTable{Table: r.platform}
	router.store = note.NewStore(router.table, r.platform)
	router.replica = note.NewReplica(note.ReplicaOptions{
		Self: router.id, Store: router.store, Peers: fleetPeers{r, router.id}, Timer: r.clock,
		Announce: func(to []fleet.RouterID, version fleet.Version) { r.announce(router.id, to, version) },
		Log:      slog.New(slog.DiscardHandler),
	})
	router.publisher = note.NewPublisher(note.PublisherOptions{
		Store: router.store, Replica: router.replica, Timer: advancingClock{r.clock}, SnapshotInterval: 4,
	})
}

func (r *testFleet) announce(from fleet.RouterID, to []fleet.RouterID, version fleet.Version) {
	for _, router := range r.routers {
		for _, id := range to {
			if router.id == id && !r.isolated[from] && !r.isolated[id] {
				router.replica.HandleAnnouncement(from, version)
			}
		}
	}
}

// interceptedTable runs a function before one of the commits, between a
// publisher's reads and its write. It reads row by row, so that one row of a
// read may be older than another.
type interceptedTable struct {
	store.Table
	beforeCommit func()
	// skipCommits is the number of commits to let through first.
	skipCommits int
}

func (t *interceptedTable) Commit(ctx context.Context, txn store.Txn) error {
	if beforeCommit := t.beforeCommit; beforeCommit != nil && t.skipCommits == 0 {
		t.beforeCommit = nil
		beforeCommit()
	}
	t.skipCommits = max(0, t.skipCommits-1)
	return t.Table.Commit(ctx, txn)
}

func (t *interceptedTable) Read(ctx context.Context, keys ...store.Key) ([]store.Row, error) {
	var rows []store.Row
	for _, key := range keys {
		row, err := t.Table.Read(ctx, key)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row...)
	}
	return rows, nil
}

// advancingClock is a fake clock on which a wait advances the time and ends at
// once.
type advancingClock struct{ *timer.Fake }

func (a advancingClock) After(delay time.Duration, fn func(time.Time)) timer.Subscription {
	a.Advance(delay)
	fn(a.Now())
	return a.Fake.After(0, func(time.Time) {})
}

// fleetPeers calls the methods of other routers directly, with JSON-encoded
// parameters and results.
type fleetPeers struct {
	testFleet *testFleet
	self      fleet.RouterID
}

func (p fleetPeers) Routers() []fleet.RouterID {
	var ids []fleet.RouterID
	for _, router := range p.testFleet.routers {
		if router.id != p.self {
			ids = append(ids, router.id)
		}
	}
	return ids
}

func (p fleetPeers) Call(ctx context.Context, to fleet.RouterID, method string, params, result any) error {
	if p.testFleet.isolated[p.self] || p.testFleet.isolated[to] {
		return errUnreachable
	}
	for _, router := range p.testFleet.routers {
		if router.id == to {
			return call(ctx, router.replica, method, params, result)
		}
	}
	return errUnreachable
}

// call calls a method of a replica with JSON-encoded parameters and results.
func call(ctx context.Context, replica *note.Replica, method string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := replica.Methods()[method](ctx, encoded)
	if err != nil {
		return err
	}
	if encoded, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(encoded, result)
}

var errUnreachable = errors.New("peer is isolated")
