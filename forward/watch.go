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

// ticketFinder returns a turn at another upstream, nil when there is none. hasEvents tells whether
// the attempt has received events, which only the same software version can continue.
type ticketFinder func(ctx context.Context, hasEvents bool) home.Ticket

// silenceWatch looks for another upstream while that of an attempt is silent. It ends the attempt
// only once another upstream has a turn for the request, because the silent one may still answer.
type silenceWatch struct {
	ctx    context.Context //nolint:containedctx // of the attempt, which the watch doesn't outlive
	cancel context.CancelCauseFunc
	find   ticketFinder
	probe  upstream.Probe

	mu    sync.Mutex
	timer *time.Timer
	// limit is how long the upstream may be silent; zero means no limit.
	limit time.Duration
	// receivedCount counts how often the upstream has sent something.
	receivedCount int
	// silentSince is when the upstream last sent something, or when the attempt began.
	silentSince time.Time
	// writing is true while data is written to the caller, which may take long.
	writing    bool
	ended      bool
	nextTicket home.Ticket
	silence    silence
}

// silence describes the silence at the end of an attempt: how long it had lasted and the limit.
type silence struct {
	lasted time.Duration
	limit  time.Duration
}

// newSilenceWatch returns the watch of an attempt. It ends the attempt by calling cancel with
// errUpstreamSilent.
func newSilenceWatch(ctx context.Context, cancel context.CancelCauseFunc, limit time.Duration, find ticketFinder, guard *recovery.Guard) *silenceWatch {
	w := &silenceWatch{ctx: ctx, cancel: cancel, limit: limit, find: find, silentSince: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	if limit > 0 {
		w.timer = time.AfterFunc(limit, func() { guard.Run(recovery.Request, w.onSilence) })
	}
	return w
}

// onSilence looks for another upstream, and tries again after the limit if there is none. It
// doesn't look if unread bytes have arrived: then this router is late, not the upstream.
func (w *silenceWatch) onSilence() {
	received, waiting := w.snapshot()
	if !waiting {
		return
	}
	var ticket home.Ticket
	if !w.probe.HasUnread() {
		ticket = w.find(w.ctx, received > 0)
	}
	if !w.switchTo(ticket, received) && ticket != nil {
		ticket.End(time.Now(), turn.Unsent)
	}
}

// snapshot returns receivedCount, and whether the upstream is being waited for.
func (w *silenceWatch) snapshot() (received int, waiting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.receivedCount, !w.ended && !w.writing
}

// switchTo ends the attempt in favour of a turn at another upstream. It returns false if there is
// no turn, if the watch has ended, or if the upstream has sent something since receivedCount was
// read.
func (w *silenceWatch) switchTo(ticket home.Ticket, received int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ended || w.receivedCount != received:
		return false
	case ticket == nil:
		w.timer.Reset(w.limit)
		return false
	}
	w.nextTicket = ticket
	w.end()
	w.cancel(errUpstreamSilent)
	return true
}

// suspend stops the wait when the upstream has sent something, until that is written to the caller.
func (w *silenceWatch) suspend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.receivedCount++
	w.silentSince = time.Now()
	w.writing = true
}

// resume starts the wait again, with a new limit.
func (w *silenceWatch) resume(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	if w.timer == nil || w.ended {
		return
	}
	w.limit = limit
	w.timer.Reset(limit)
}

// end records how long the upstream was silent when the watch ends.
func (w *silenceWatch) end() {
	if w.ended {
		return
	}
	w.ended = true
	w.silence = silence{lasted: time.Since(w.silentSince), limit: w.limit}
}

// keepUpstream ends the watch. It returns false if the attempt was already ended in favour of
// another upstream.
func (w *silenceWatch) keepUpstream() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end()
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.nextTicket == nil
}

// stop ends the watch. It returns the turn in whose favour the attempt was ended, if any, and the
// silence at the end.
func (w *silenceWatch) stop() (home.Ticket, silence) {
	w.keepUpstream()
	return w.nextTicket, w.silence
}

// otherUpstreamFinder returns the finder of an attempt's watch. It runs concurrently with the
// attempt, so it uses a turn request of its own.
func (j *job) otherUpstreamFinder() ticketFinder {
	request := j.turnRequest()
	request.Patience = resumeMaxWait
	software := j.ticket.Upstream().Software
	return func(ctx context.Context, hasEvents bool) home.Ticket {
		if hasEvents && j.handler.Origins != nil {
			if software == "" {
				return nil
			}
			request.Software = software
		}
		ticket, err := j.waitInQueue(ctx, request)
		if err != nil {
			j.logSilentKept(ctx, err)
			return nil
		}
		if j.allowSwitch(ctx) {
			return ticket
		}
		ticket.End(time.Now(), turn.Unsent)
		return nil
	}
}

// allowSwitch takes a retry from the budget for leaving a silent upstream.
func (j *job) allowSwitch(ctx context.Context) bool {
	allowed := j.handler.retries(j).Allow(time.Now(), retry.Attempt{
		Number: 1, Outcome: refusal.Unknown, Idempotent: true, Deadline: j.deadline,
	})
	if !allowed {
		j.logSilentKept(ctx, errRetryBudget)
		return false
	}
	j.countRetry(retry.UpstreamSilent)
	return true
}

// logSilentKept logs that the request stays at a silent upstream, unless its attempt has ended.
func (j *job) logSilentKept(ctx context.Context, reason error) {
	if ctx.Err() != nil {
		return
	}
	j.handler.Log.Info("silent upstream is kept", "request", j.info.ID, "service", j.service,
		"age-ms", ms(time.Since(j.arrived)), "reason", reason)
}
