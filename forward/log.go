package forward

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"time"

	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/stream"
)

// sampleEvery is how many requests that were served in time share one log line.
const sampleEvery = 32

// party is who ended an attempt.
type party string

const (
	partyUpstream party = "upstream"
	partyCaller   party = "caller"
	partyRouter   party = "router"
)

// decision is why this router ended an attempt by itself.
type decision string

const (
	// decisionSilence is a silent upstream that was left for another one.
	decisionSilence decision = "silence"
	// decisionDeadline is the end of the caller's or the route's time.
	decisionDeadline decision = "deadline"
	// decisionStop is the end of the time that a router has to stop.
	decisionStop decision = "stop"
)

// endOfAttempt returns who ended an attempt of which only a failure is known, and why if it was
// this router.
func (j *job) endOfAttempt(ctx context.Context, f *failure) (party, decision) {
	var sink *stream.SinkError
	switch {
	case j.next != nil:
		return partyRouter, decisionSilence
	case errors.Is(context.Cause(ctx), errDeadline):
		return partyRouter, decisionDeadline
	case ctx.Err() == nil && !errors.As(f.cause, &sink):
		return partyUpstream, ""
	case j.handler.held.isRefusing() && !j.hasLeft():
		return partyRouter, decisionStop
	}
	return partyCaller, ""
}

// logFailure notes an attempt that failed.
func (j *job) logFailure(ctx context.Context, ticket home.Ticket, f *failure) {
	to := ticket.Upstream()
	by, why := j.endOfAttempt(ctx, f)
	j.handler.Log.Warn("attempt failed",
		"request", j.intake.ID, "upstream", to.ID, "address", to.Address, "life", to.Life, "reason", f.reason,
		"ended-by", by, "decision", why, "fingerprint", j.fingerprint(), "sent", f.sent, "not-run", f.notRun,
		"attempt", j.sends, "events", j.events, "last-event", j.last, "unread-tokens", ticket.Work(),
		"age-ms", ms(time.Since(j.arrived)), "attempt-ms", ms(time.Since(j.sent)), "left-ms", ms(time.Until(j.deadline)),
		"silent-ms", ms(j.silence.lasted), "silence-limit-ms", ms(j.silence.limit), "latency-ms", ms(j.handler.latency()),
		"cause", causeOf(f.cause))
}

// latency returns the scheduling latency of this process of late.
func (h *Handler) latency() time.Duration {
	if h.Latency == nil {
		return 0
	}
	return h.Latency()
}

// logRefusal notes a refusal. One of a request that was never sent may be summed.
func (j *job) logRefusal(e *refusal.Error) {
	log := j.handler.Log
	if j.sends == 0 {
		kind := refusal.Kind{Reason: e.Reason, Account: j.account, Route: j.routeName()}
		if j.handler.sums.Add(time.Now(), kind, j.intake.ID, time.Since(j.arrived)) {
			return
		}
		log = j.handler.routine()
	}
	log.Warn("request refused",
		"request", j.intake.ID, "reason", e.Reason, "outcome", e.Outcome, "detail", e.Detail,
		"route", j.routeName(), "service", j.service, "account", j.account, "configuration", j.version,
		"sends", j.sends, "runs", j.runs, "events", j.events, "waited-ms", ms(j.waited),
		"age-ms", ms(time.Since(j.arrived)), "retry-after-ms", ms(e.RetryAfter), "cause", causeOf(e.Cause))
}

// LogRefusals notes the refusals since the last call that had no line of their own. It is to
// be called once a second. Each line stands for many requests, so it goes before those of one.
func (h *Handler) LogRefusals() {
	for _, sum := range h.sums.Take() {
		h.Log.Warn("requests refused", "reason", sum.Reason, "account", sum.Account, "route", sum.Route,
			"count", sum.Count, "first", sum.First, "longest-ms", ms(sum.Longest))
	}
}

// routine returns the log of requests that ended well or were never sent.
func (h *Handler) routine() *slog.Logger {
	if h.Routine == nil {
		return h.Log
	}
	return h.Routine
}

// logAnswer notes a request that was answered, unless it is one of the many in time.
func (j *job) logAnswer(ticket home.Ticket, now time.Time, first time.Duration) {
	h := j.handler
	late := first > j.route.Target
	if !late && j.sends == 1 && !h.isSampled() {
		return
	}
	to := ticket.Upstream()
	h.routine().LogAttrs(j.request.Context(), slog.LevelInfo, "request answered",
		slog.String("request", string(j.intake.ID)), slog.Bool("late", late), slog.String("route", j.route.Name),
		slog.String("account", string(j.account)), slog.String("upstream", string(to.ID)), slog.Int("sends", j.sends),
		slog.Uint64("configuration", uint64(j.version)), slog.Int("unread-tokens", ticket.Work()),
		slog.Float64("waited-ms", ms(j.waited)), slog.Float64("first-ms", ms(first)),
		slog.Float64("total-ms", ms(now.Sub(j.arrived))), slog.Int("events", j.events))
}

func causeOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (j *job) routeName() string {
	if j.route == nil {
		return ""
	}
	return j.route.Name
}

// ms returns a duration in milliseconds, to a tenth.
func ms(d time.Duration) float64 { return math.Round(float64(d)/float64(time.Millisecond)*10) / 10 }
