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

// puller keeps one kind of knowledge as new as other routers announce it. Each kind has
// its own, so that a small and urgent update doesn't wait for a large one.
type puller struct {
	// name is what the log calls this kind of knowledge.
	name string
	// held returns the version that this router has.
	held func() uint64
	// fetch asks another router for what is newer than a version there, takes it, and
	// returns the size of the answer in bytes.
	fetch func(ctx context.Context, from fleet.RouterID, held uint64) (int, error)
	timer timer.Service
	log   *slog.Logger
	// guard contains panics; nil lets them pass.
	guard *recovery.Guard

	sources follow.Sources

	mu sync.Mutex
	// due is when the next look is scheduled, zero for none.
	due time.Time
}

// announce notes that another router has a version. Unless this router has it by then,
// it asks after a delay.
func (p *puller) announce(router fleet.RouterID, version uint64, delay time.Duration) {
	p.sources.Announce(router, version)
	if version > p.held() {
		p.schedule(delay)
	}
}

// forget drops a router that is no longer connected.
func (p *puller) forget(router fleet.RouterID) { p.sources.Forget(router) }

// schedule makes pull look after a delay, unless it does so earlier.
func (p *puller) schedule(delay time.Duration) {
	due := p.timer.Now().Add(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.due.IsZero() && !due.Before(p.due) {
		return
	}
	p.due = due
	p.timer.After(delay, func(time.Time) { p.look(due) })
}

func (p *puller) look(due time.Time) {
	p.mu.Lock()
	if p.due.Equal(due) {
		p.due = time.Time{}
	}
	p.mu.Unlock()
	p.pull()
}

// pull asks the next source, if there is one.
func (p *puller) pull() {
	held := p.held()
	router, again := p.sources.Next(p.timer.Now(), held)
	if again > 0 {
		p.schedule(again)
	}
	if router != "" {
		go p.call(router, held)
	}
}

func (p *puller) call(router fleet.RouterID, held uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	begun := p.timer.Now()
	size := 0
	err := p.guard.Do(recovery.Update, func() (err error) {
		size, err = p.fetch(ctx, router, held)
		return err
	}, "other", router, "update", p.name)
	p.log.Info("asked another router", "other", router, "update", p.name, "error", err, "before", held, "now", p.held(),
		"bytes", size, "waited-ms", p.timer.Now().Sub(begun).Milliseconds())
	p.sources.End(router)
	p.pull()
}
