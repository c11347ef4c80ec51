package forward

import (
	"context"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

// finder returns a turn at another upstream, nil when there is none.
type finder func(ctx context.Context) home.Ticket

// watch looks for another upstream while that of an attempt is silent. It ends the attempt
// only once the other one takes the request, because a silent upstream may still answer.
type watch struct {
	ctx    context.Context //nolint:containedctx // of the attempt, which the watch doesn't outlive
	cancel context.CancelCauseFunc
	find   finder
	probe  upstream.Probe

	mu    sync.Mutex
	timer *time.Timer
	// limit is how long the upstream may be silent, zero for ever.
	limit time.Duration
	// progress counts what the upstream has sent.
	progress int
	// since is when the upstream was last heard, or the request sent.
	since time.Time
	// passing is true while the caller is written to, which may take long.
	passing bool
	settled bool
	next    home.Ticket
	silence silence
}

// silence is how long an upstream was silent, of what limit, when its attempt ended.
type silence struct {
	lasted time.Duration
	limit  time.Duration
}

// newWatch returns the watch of an attempt, which is ended by cancel with errSilent.
func newWatch(ctx context.Context, cancel context.CancelCauseFunc, limit time.Duration, find finder, guard *recovery.Guard) *watch {
	w := &watch{ctx: ctx, cancel: cancel, limit: limit, find: find, since: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	if limit > 0 {
		w.timer = time.AfterFunc(limit, func() { guard.Run(recovery.Request, w.silent) })
	}
	return w
}

// silent looks for another upstream, and again after another limit if there is none. It doesn't
// if bytes have arrived that weren't read: this router is late then, and not the upstream.
func (w *watch) silent() {
	progress, waiting := w.state()
	if !waiting {
		return
	}
	var ticket home.Ticket
	if !w.probe.Arrived() {
		ticket = w.find(w.ctx)
	}
	if !w.moveTo(ticket, progress) && ticket != nil {
		ticket.End(time.Now(), turn.Unsent)
	}
}

// state returns the progress so far, and whether the upstream is waited for.
func (w *watch) state() (progress int, waiting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.progress, !w.settled && !w.passing
}

// moveTo ends the attempt in favour of a turn at another upstream. It returns false if there is
// no turn, if the attempt has ended, or if its upstream has sent something meanwhile.
func (w *watch) moveTo(ticket home.Ticket, progress int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.settled || w.progress != progress:
		return false
	case ticket == nil:
		w.timer.Reset(w.limit)
		return false
	}
	w.next = ticket
	w.settle()
	w.cancel(errSilent)
	return true
}

// heard suspends the wait: the upstream has sent something, which is passed on now.
func (w *watch) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress++
	w.since = time.Now()
	w.passing = true
}

// passed begins the wait anew, with another limit.
func (w *watch) passed(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passing = false
	if w.timer == nil || w.settled {
		return
	}
	w.limit = limit
	w.timer.Reset(limit)
}

// settle notes how long the upstream has been silent when its attempt ends.
func (w *watch) settle() {
	if w.settled {
		return
	}
	w.settled = true
	w.silence = silence{lasted: time.Since(w.since), limit: w.limit}
}

// keep ends the watch. It returns false if the attempt has ended in favour of another one.
func (w *watch) keep() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.next == nil
}

// stop ends the watch. It returns the turn in whose favour the attempt has ended, if any, and
// how long the upstream was silent.
func (w *watch) stop() (home.Ticket, silence) {
	w.keep()
	return w.next, w.silence
}

// findOther returns how an attempt of this request finds another upstream.
//
// The finder runs beside the attempt, so what it needs is copied.
func (j *job) findOther() finder {
	demand := j.demand()
	demand.Patience = resumePatience
	return func(ctx context.Context) home.Ticket {
		ticket, err := j.wait(ctx, demand)
		if err != nil {
			j.logKept(ctx, err)
			return nil
		}
		if j.allowMove(ctx) {
			return ticket
		}
		ticket.End(time.Now(), turn.Unsent)
		return nil
	}
}

// allowMove takes a retry from the budget for a request that leaves a silent upstream.
func (j *job) allowMove(ctx context.Context) bool {
	allowed := j.handler.retries(j).Allow(time.Now(), retry.Attempt{
		Count: 1, Outcome: refusal.Unknown, Idempotent: true, Deadline: j.deadline,
	})
	if !allowed {
		j.logKept(ctx, errNoRetries)
		return false
	}
	j.count(retry.UpstreamSilent)
	return true
}

// logKept notes that the request stays at a silent upstream, unless its attempt has ended.
func (j *job) logKept(ctx context.Context, reason error) {
	if ctx.Err() != nil {
		return
	}
	j.handler.Log.Info("silent upstream is kept", "request", j.intake.ID, "service", j.service,
		"age-ms", ms(time.Since(j.arrived)), "reason", reason)
}
