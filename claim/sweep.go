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
	// sweepPageSize is how many rows a scan reads, and thus how many it can remove.
	sweepPageSize = 100
	// busyPageDivisor divides sweepPageSize: with at least sweepPageSize/busyPageDivisor
	// expired rows on a page, the sweeper reads the next page without idle ticks.
	busyPageDivisor = 4
	// idleTicks is the number of ticks per page otherwise. Each row is then
	// scanned about every half hour, with 460 routers and 2.5 million rows as
	// well as with six routers and 36,000 rows.
	idleTicks = 30
	// sweepInterval is the time between two ticks.
	sweepInterval = time.Second
	// retryInterval is the time between two calls of RetryWrites.
	retryInterval = 2 * time.Second
	// housekeepingTimeout bounds one tick or call of RetryWrites.
	housekeepingTimeout = 5 * time.Second
)

// Sweeper removes expired rows, at most one page a second. Each router runs one
// and starts at a hash of its id, which spreads the routers over the table
// without coordination.
type Sweeper struct {
	Store *Store

	cursor    store.Key
	skipTicks int
}

// Start calls Tick and the store's RetryWrites periodically until stop is called.
func (w *Sweeper) Start(timers timer.Service) (stop func()) {
	sweeps := timers.Every(sweepInterval, func(time.Time) { runWithTimeout(w.Tick) })
	retries := timers.Every(retryInterval, func(time.Time) { runWithTimeout(w.Store.RetryWrites) })
	return func() {
		sweeps.Cancel()
		retries.Cancel()
	}
}

func runWithTimeout(fn func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), housekeepingTimeout)
	defer cancel()
	fn(ctx)
}

// Tick sweeps one page, or does nothing during idle ticks.
func (w *Sweeper) Tick(ctx context.Context) {
	if w.skipTicks > 0 {
		w.skipTicks--
		return
	}
	if removed, err := w.Sweep(ctx); err != nil || removed < sweepPageSize/busyPageDivisor {
		w.skipTicks = idleTicks - 1
	}
}

// Sweep removes the expired rows of the next page and returns their number. It
// fails with the table's errors; a later pass removes the rows then.
func (w *Sweeper) Sweep(ctx context.Context) (int, error) {
	if w.cursor == "" {
		w.cursor = Prefix + store.Key(hex.EncodeToString(digest(rowKeySize, string(w.Store.Router))))
	}
	rows, err := w.Store.Table.Scan(ctx, Prefix, w.cursor, sweepPageSize)
	if err != nil {
		return 0, err
	}
	if len(rows) < sweepPageSize {
		w.cursor = Prefix
	} else {
		w.cursor = rows[len(rows)-1].Key
	}
	txn := w.removalTxn(rows)
	if len(txn.Writes) == 0 {
		return 0, nil
	}
	if err := w.Store.Table.Commit(ctx, txn); err != nil {
		return 0, err
	}
	return len(txn.Writes), nil
}

// removalTxn returns a transaction that removes the expired rows, provided that
// they are unchanged: a row in state not-run may be claimed again just when it
// expires.
func (w *Sweeper) removalTxn(rows []store.Row) store.Txn {
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
