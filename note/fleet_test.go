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

// routers are some routers around one platform, without a network between them.
type routers struct {
	clock    *timer.Fake
	platform *memory.Platform
	all      []*router
	// quiet routers reach no peer and are reached by none.
	quiet map[fleet.RouterID]bool
}

type router struct {
	id        fleet.RouterID
	table     *racing
	store     *note.Store
	holder    *note.Holder
	publisher *note.Publisher
}

func newRouters(n int) *routers {
	clock := timer.NewFake(time.Unix(1_000_000, 0))
	r := &routers{clock: clock, platform: memory.New(clock), quiet: map[fleet.RouterID]bool{}}
	for i := range n {
		r.all = append(r.all, &router{id: fleet.RouterID(fmt.Sprintf("r%d", i))})
		r.start(i)
	}
	return r
}

// start starts a router that remembers nothing.
func (r *routers) start(i int) {
	one := r.all[i]
	one.table = &racing{Table: r.platform}
	one.store = note.NewStore(one.table, r.platform)
	one.holder = note.NewHolder(note.HolderOptions{
		Self: one.id, Store: one.store, Peers: peers{r, one.id}, Timer: r.clock,
		Announce: func(to []fleet.RouterID, version fleet.Version) { r.announce(one.id, to, version) },
		Log:      slog.New(slog.DiscardHandler),
	})
	one.publisher = note.NewPublisher(note.PublisherOptions{
		Store: one.store, Holder: one.holder, Timer: advancing{r.clock}, SnapshotEvery: 4,
	})
}

func (r *routers) announce(from fleet.RouterID, to []fleet.RouterID, version fleet.Version) {
	for _, one := range r.all {
		for _, id := range to {
			if one.id == id && !r.quiet[from] && !r.quiet[id] {
				one.holder.Heard(from, version)
			}
		}
	}
}

// racing lets something happen between a publisher's reads and one of its
// commits. It reads row by row, so that one row of a read may be older than another.
type racing struct {
	store.Table
	before func()
	// skip is how many commits come first.
	skip int
}

func (t *racing) Commit(ctx context.Context, txn store.Txn) error {
	if before := t.before; before != nil && t.skip == 0 {
		t.before = nil
		before()
	}
	t.skip = max(0, t.skip-1)
	return t.Table.Commit(ctx, txn)
}

func (t *racing) Read(ctx context.Context, keys ...store.Key) ([]store.Row, error) {
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

// advancing is a clock on which waiting moves the time.
type advancing struct{ *timer.Fake }

func (a advancing) After(delay time.Duration, fn func(time.Time)) timer.Subscription {
	a.Advance(delay)
	fn(a.Now())
	return a.Fake.After(0, func(time.Time) {})
}

// peers calls the methods of the other routers directly, through JSON.
type peers struct {
	routers *routers
	self    fleet.RouterID
}

func (p peers) Routers() []fleet.RouterID {
	var ids []fleet.RouterID
	for _, one := range p.routers.all {
		if one.id != p.self {
			ids = append(ids, one.id)
		}
	}
	return ids
}

func (p peers) Call(ctx context.Context, to fleet.RouterID, method string, params, result any) error {
	if p.routers.quiet[p.self] || p.routers.quiet[to] {
		return errCutOff
	}
	for _, one := range p.routers.all {
		if one.id == to {
			return call(ctx, one.holder, method, params, result)
		}
	}
	return errCutOff
}

// call calls a method of a holder through JSON.
func call(ctx context.Context, holder *note.Holder, method string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := holder.Methods()[method](ctx, encoded)
	if err != nil {
		return err
	}
	if encoded, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(encoded, result)
}

var errCutOff = errors.New("cut off")
