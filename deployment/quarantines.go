package deployment

import (
	"context"
	"log/slog"
	"time"

	"nutmeglock.example/nutmeglock/quarantine"
)

// Quarantines keeps at the platform which requests are refused because they crash
// upstreams, so that it lasts while no router runs.
type Quarantines interface {
	// Load returns what was kept.
	Load(ctx context.Context) ([]quarantine.Entry, error)
	// Save keeps an entry in place of an earlier one of the same request.
	Save(ctx context.Context, e quarantine.Entry) error
	// Drop removes the entry of a request.
	Drop(ctx context.Context, request quarantine.Fingerprint) error
}

// unkept bounds the verdicts that wait to be kept.
const unkept = 64

// quarantineKeeper loads what was kept when the router starts, and keeps what it finds.
type quarantineKeeper struct {
	store    Quarantines
	watch    *quarantine.Watch
	log      *slog.Logger
	verdicts chan quarantine.Verdict
}

func (k *quarantineKeeper) open(store Quarantines, watch *quarantine.Watch, log *slog.Logger) {
	k.store = store
	k.watch = watch
	k.log = log
	k.verdicts = make(chan quarantine.Verdict, unkept)
}

// keep keeps a verdict of this router later. It never waits.
func (k *quarantineKeeper) keep(v quarantine.Verdict) {
	if k.verdicts == nil || v.Standing == quarantine.Suspected {
		return
	}
	select {
	case k.verdicts <- v:
	default:
		k.log.Warn("verdict not kept, too many wait", "fingerprint", v.Request)
	}
}

// run loads what was kept, and keeps verdicts until ctx ends.
func (k *quarantineKeeper) run(ctx context.Context) error {
	k.persist(ctx, "load", k.load)
	for {
		select {
		case v := <-k.verdicts:
			k.persist(ctx, "save", func(ctx context.Context) error { return k.save(ctx, v) })
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// persist makes a call until it succeeds or ctx ends.
func (k *quarantineKeeper) persist(ctx context.Context, operation string, call func(context.Context) error) {
	persist(ctx, call, func(err error) {
		k.log.Warn("quarantine not persisted", "operation", operation, "error", err)
	})
}

func (k *quarantineKeeper) load(ctx context.Context) error {
	kept, err := k.store.Load(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	k.watch.Restore(now, kept)
	if len(kept) == 0 {
		return nil
	}
	k.log.Info("quarantine loaded", "requests", len(kept))
	return nil
}

func (k *quarantineKeeper) save(ctx context.Context, v quarantine.Verdict) error {
	if v.Standing == quarantine.Unremarkable {
		return k.store.Drop(ctx, v.Request)
	}
	return k.store.Save(ctx, quarantine.Entry{Request: v.Request, Until: time.Now().Add(v.Left), Term: v.Term})
}
