package deployment

import (
	"context"
	"log/slog"
	"time"

	"nutmeglock.example/nutmeglock/quarantine"
)

// QuarantineStore persists the requests that are refused because they crash upstreams, so that they
// are still refused after all routers have restarted.
type QuarantineStore interface {
	// Load returns the stored entries.
	Load(ctx context.Context) ([]quarantine.Entry, error)
	// Save stores an entry and replaces an earlier one for the same request.
	Save(ctx context.Context, e quarantine.Entry) error
	// Drop removes the entry for a request.
	Drop(ctx context.Context, request quarantine.Fingerprint) error
}

// maxPendingVerdicts bounds the verdicts that wait to be stored.
const maxPendingVerdicts = 64

// quarantinePersister loads the stored quarantine entries when the router starts, and stores the
// verdicts of this router.
type quarantinePersister struct {
	store    QuarantineStore
	tracker  *quarantine.Tracker
	log      *slog.Logger
	verdicts chan quarantine.Verdict
}

func (p *quarantinePersister) setUp(store QuarantineStore, tracker *quarantine.Tracker, log *slog.Logger) {
	p.store = store
	p.tracker = tracker
	p.log = log
	p.verdicts = make(chan quarantine.Verdict, maxPendingVerdicts)
}

// enqueue queues a verdict of this router to be stored. It doesn't block: if the queue is full,
// the verdict isn't stored.
func (p *quarantinePersister) enqueue(v quarantine.Verdict) {
	if p.verdicts == nil || v.Status == quarantine.Suspected {
		return
	}
	select {
	case p.verdicts <- v:
	default:
		p.log.Warn("verdict not stored, queue full", "fingerprint", v.Request)
	}
}

// run loads the stored entries, then stores verdicts until ctx ends.
func (p *quarantinePersister) run(ctx context.Context) error {
	p.retryStoreCall(ctx, "load", p.load)
	for {
		select {
		case v := <-p.verdicts:
			p.retryStoreCall(ctx, "save", func(ctx context.Context) error { return p.save(ctx, v) })
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// retryStoreCall repeats a call to the store until it succeeds or ctx ends.
func (p *quarantinePersister) retryStoreCall(ctx context.Context, operation string, call func(context.Context) error) {
	retryUntilSuccess(ctx, call, func(err error) {
		p.log.Warn("quarantine not persisted", "operation", operation, "error", err)
	})
}

func (p *quarantinePersister) load(ctx context.Context) error {
	entries, err := p.store.Load(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	p.tracker.Restore(now, entries)
	if len(entries) == 0 {
		return nil
	}
	p.log.Info("quarantine loaded", "requests", len(entries))
	return nil
}

func (p *quarantinePersister) save(ctx context.Context, v quarantine.Verdict) error {
	if v.Status == quarantine.NotSuspected {
		return p.store.Drop(ctx, v.Request)
	}
	return p.store.Save(ctx, quarantine.Entry{Request: v.Request, Until: time.Now().Add(v.Remaining), Term: v.Term})
}
