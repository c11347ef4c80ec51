package deployment

import (
	"context"
	"log/slog"
	"time"

	"nutmeglock.example/nutmeglock/diagnosis"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// QuarantineStore persists what is refused because it crashes upstreams, so that it is still refused after
// all routers have restarted.
type QuarantineStore interface {
	// Load returns the stored requests and causes.
	Load(ctx context.Context) ([]quarantine.Entry, []diagnosis.Entry, error)
	// Save stores an entry and replaces an earlier one for the same request.
	Save(ctx context.Context, e quarantine.Entry) error
	// Drop removes the entry for a request.
	Drop(ctx context.Context, request quarantine.Fingerprint) error
	// SaveCause stores an entry and replaces an earlier one for the same cause.
	SaveCause(ctx context.Context, e diagnosis.Entry) error
	// DropCause removes the entry for a cause.
	DropCause(ctx context.Context, id diagnosis.CauseID) error
}

const (
	// maxPendingVerdicts bounds the verdicts that wait to be stored.
	maxPendingVerdicts = 64
	// quarantineReloadInterval is how often the stored entries are read again while a cause is refused, by
	// one of the routers that are connected. An operator may have lifted it, and a router that is cut
	// off from the others learns from there what is refused.
	quarantineReloadInterval = 5 * time.Second
)

// storedVerdict is a change of the store. It has a name for the log.
type storedVerdict struct {
	name string
	id   string
	save func(ctx context.Context) error
}

// quarantinePersister loads the stored quarantine entries when the router starts, and stores the
// verdicts of this router.
type quarantinePersister struct {
	store    QuarantineStore
	monitor  *crashMonitor
	log      *slog.Logger
	verdicts chan storedVerdict
}

func (p *quarantinePersister) setUp(store QuarantineStore, monitor *crashMonitor, log *slog.Logger) {
	p.store = store
	p.monitor = monitor
	p.log = log
	p.verdicts = make(chan storedVerdict, maxPendingVerdicts)
}

// enqueue queues a verdict of this router to be stored. It doesn't block: if the queue is full,
// the verdict isn't stored.
func (p *quarantinePersister) enqueue(v quarantine.Verdict) {
	switch v.Status {
	case quarantine.NotSuspected:
		p.add(storedVerdict{"drop", v.Request.String(), func(ctx context.Context) error { return p.store.Drop(ctx, v.Request) }})
	case quarantine.Refused:
		entry := quarantine.Entry{Request: v.Request, Until: time.Now().Add(v.Remaining), Term: v.Term}
		p.add(storedVerdict{"save", v.Request.String(), func(ctx context.Context) error { return p.store.Save(ctx, entry) }})
	case quarantine.Suspected:
	}
}

// enqueueCause is enqueue for a verdict on parts of prompts.
func (p *quarantinePersister) enqueueCause(v diagnosis.Verdict) {
	id := v.Cause.ID()
	switch v.Status {
	case quarantine.NotSuspected:
		p.add(storedVerdict{"drop", id.String(), func(ctx context.Context) error { return p.store.DropCause(ctx, id) }})
	case quarantine.Refused:
		entry := diagnosis.Entry{Cause: v.Cause, Term: v.Term}
		p.add(storedVerdict{"save", id.String(), func(ctx context.Context) error { return p.store.SaveCause(ctx, entry) }})
	case quarantine.Suspected:
	}
}

func (p *quarantinePersister) add(v storedVerdict) {
	if p.verdicts == nil {
		return
	}
	select {
	case p.verdicts <- v:
	default:
		p.log.Warn("verdict not stored, queue full", "id", v.id)
	}
}

// storeAgain stores what is refused once more, as the store may have lost it. One of the connected routers does so.
func (p *quarantinePersister) storeAgain() {
	if !p.isResponsible() {
		return
	}
	now := time.Now()
	for _, v := range p.monitor.tracker.ActiveVerdicts(now) {
		if v.Status == quarantine.Refused {
			p.enqueue(v)
		}
	}
	for _, v := range p.monitor.parts.tracker.Refused(now) {
		p.enqueueCause(v)
	}
}

// isResponsible reports whether this router looks after the stored entries on behalf of those that it is connected to.
func (p *quarantinePersister) isResponsible() bool {
	m := p.monitor
	return rendezvous.Pick(rendezvous.KeyOf("quarantine", "reload"), append(m.otherRouters(), m.self)) == m.self
}

// run loads the stored entries, then stores verdicts until ctx ends.
func (p *quarantinePersister) run(ctx context.Context) error {
	p.retryStoreCall(ctx, "load", p.load)
	reload := time.NewTicker(quarantineReloadInterval)
	defer reload.Stop()
	for {
		select {
		case v := <-p.verdicts:
			p.retryStoreCall(ctx, v.name, v.save)
		case <-reload.C:
			p.reload(ctx)
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

// reload loads the stored entries again if this router is to do so.
func (p *quarantinePersister) reload(ctx context.Context) {
	m := p.monitor
	if !m.parts.tracker.HasRefusals() && !m.trials.isCutOff() {
		return
	}
	if !p.isResponsible() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, retryCallTimeout)
	defer cancel()
	if err := p.load(ctx); err != nil {
		p.log.Warn("quarantine not persisted", "operation", "reload", "error", err)
	}
}

func (p *quarantinePersister) load(ctx context.Context) error {
	requests, causes, err := p.store.Load(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	p.monitor.restore(now, requests, causes)
	if len(requests)+len(causes) > 0 {
		p.log.Info("quarantine loaded", "requests", len(requests), "causes", len(causes))
	}
	return nil
}
