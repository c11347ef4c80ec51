package claim

import (
	"context"
	"encoding/hex"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/timer"
)

const (
	// sweepPage is how many rows one scan reads, and at most removes.
	sweepPage = 100
	// busyShare is the expired part of a page, as one in so many, from which
	// the sweeper goes on without a rest.
	busyShare = 4
	// restTicks is how many ticks a sweeper rests otherwise. With 460 routers
	// and 2.5 million rows each row is seen about every half hour; with six
	// routers and 36,000 rows too.
	restTicks = 30
	sweepTick = time.Second
	// settleTick is how often writes that the table did not take are tried.
	settleTick = 2 * time.Second
	// housekeepingTimeout bounds one round of either.
	housekeepingTimeout = 5 * time.Second
)

// Sweeper removes expired rows, a page at a time, at most one a second. Each
// router runs one, from a place on that its id gives, so that they share the table
// without agreeing on anything.
type Sweeper struct {
	Store *Store

	cursor store.Key
	rest   int
}

// Start subscribes the sweeper and the store's settling to timers. stop ends both.
func (w *Sweeper) Start(timers timer.Service) (stop func()) {
	sweeping := timers.Every(sweepTick, func(time.Time) { bounded(w.Tick) })
	settling := timers.Every(settleTick, func(time.Time) { bounded(w.Store.Settle) })
	return func() {
		sweeping.Cancel()
		settling.Cancel()
	}
}

func bounded(fn func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), housekeepingTimeout)
	defer cancel()
	fn(ctx)
}

// Tick sweeps one page, unless the sweeper rests.
func (w *Sweeper) Tick(ctx context.Context) {
	if w.rest > 0 {
		w.rest--
		return
	}
	if removed, err := w.Sweep(ctx); err != nil || removed < sweepPage/busyShare {
		w.rest = restTicks - 1
	}
}

// Sweep removes the expired rows of the next page and returns their number. It
// fails with the table's errors; what it did not remove, a later pass does.
func (w *Sweeper) Sweep(ctx context.Context) (int, error) {
	if w.cursor == "" {
		w.cursor = Prefix + store.Key(hex.EncodeToString(digest(keySize, string(w.Store.Router))))
	}
	rows, err := w.Store.Table.Scan(ctx, Prefix, w.cursor, sweepPage)
	if err != nil {
		return 0, err
	}
	if len(rows) < sweepPage {
		w.cursor = Prefix
	} else {
		w.cursor = rows[len(rows)-1].Key
	}
	txn := w.expired(rows)
	if len(txn.Writes) == 0 {
		return 0, nil
	}
	if err := w.Store.Table.Commit(ctx, txn); err != nil {
		return 0, err
	}
	return len(txn.Writes), nil
}

// expired returns the transaction that removes what has expired, on condition
// that nobody wrote it since: a row in state not-run may be claimed again at
// the very moment at which it expires.
func (w *Sweeper) expired(rows []store.Row) store.Txn {
	var txn store.Txn
	for _, row := range rows {
		claim := &schema.ClaimRow{}
		if proto.Unmarshal(row.Value, claim) != nil || !w.Store.expired(claim) {
			continue
		}
		txn.Checks = append(txn.Checks, store.Check{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, store.Write{Key: row.Key, Delete: true})
	}
	return txn
}
