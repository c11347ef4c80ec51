package deployment

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/timer"
)

// pullTimeout bounds one call to another router.
const pullTimeout = time.Second

// puller fetches the versions of one kind of knowledge that other routers announce. Each kind
// has a puller of its own, so that a small, urgent update doesn't wait for a large one.
type puller struct {
	// name identifies this kind of knowledge in the log.
	name string
	// heldVersion returns the version that this router has.
	heldVersion func() uint64
	// fetch requests the updates after a version from another router, applies them, and
	// returns the size of the answer in bytes.
	fetch func(ctx context.Context, from fleet.RouterID, heldVersion uint64) (int, error)
	timer timer.Service
	log   *slog.Logger
	// guard recovers from panics; nil lets them propagate.
	guard *recovery.Guard

	sources follow.Sources

	mu sync.Mutex
	// nextPull is when the next pull is scheduled, zero for none.
	nextPull time.Time
}

// handleAnnouncement records that another router has a version. If this router's version is
// older, it schedules a pull after a delay, in case no update arrives before.
func (p *puller) handleAnnouncement(router fleet.RouterID, version uint64, delay time.Duration) {
	p.sources.Announce(router, version)
	if version > p.heldVersion() {
		p.schedule(delay)
	}
}

// forget drops a router that is no longer connected.
func (p *puller) forget(router fleet.RouterID) { p.sources.Forget(router) }

// schedule schedules a pull after a delay, unless an earlier one is already scheduled.
func (p *puller) schedule(delay time.Duration) {
	due := p.timer.Now().Add(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.nextPull.IsZero() && !due.Before(p.nextPull) {
		return
	}
	p.nextPull = due
	p.timer.After(delay, func(time.Time) { p.pullScheduled(due) })
}

// pullScheduled runs the pull that was scheduled for due.
func (p *puller) pullScheduled(due time.Time) {
	p.mu.Lock()
	if p.nextPull.Equal(due) {
		p.nextPull = time.Time{}
	}
	p.mu.Unlock()
	p.pull()
}

// pull requests an update from the next source, if there is one.
func (p *puller) pull() {
	heldVersion := p.heldVersion()
	router, delay := p.sources.Next(p.timer.Now(), heldVersion)
	if delay > 0 {
		p.schedule(delay)
	}
	if router != "" {
		go p.pullFrom(router, heldVersion)
	}
}

// pullFrom fetches an update from a router, then pulls again in case there is a newer version.
func (p *puller) pullFrom(router fleet.RouterID, heldVersion uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	start := p.timer.Now()
	size := 0
	err := p.guard.Do(recovery.Update, func() (err error) {
		size, err = p.fetch(ctx, router, heldVersion)
		return err
	}, "other", router, "update", p.name)
	p.log.Info("asked another router", "other", router, "update", p.name, "error", err, "before", heldVersion, "now", p.heldVersion(),
		"bytes", size, "waited-ms", p.timer.Now().Sub(start).Milliseconds())
	p.sources.End(router)
	p.pull()
}
