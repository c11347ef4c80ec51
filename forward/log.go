package forward

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"time"

	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/stream"
	"nutmeglock.example/nutmeglock/turn"
)

// answerLogInterval is how many normally answered requests share one log line.
const answerLogInterval = 32

// party is the side that ended an attempt.
type party string

const (
	partyUpstream party = "upstream"
	partyCaller   party = "caller"
	partyRouter   party = "router"
)

// decision is the reason why this router itself ended an attempt.
type decision string

const (
	// decisionSilence means that another upstream took over from a silent one.
	decisionSilence decision = "silence"
	// decisionDeadline means that the caller's or the route's deadline passed.
	decisionDeadline decision = "deadline"
	// decisionStop means that the router's time to stop gracefully was over.
	decisionStop decision = "stop"
)

// attemptEnd returns which side ended a failed attempt, and why if it was this router.
func (j *job) attemptEnd(ctx context.Context, f *failure) (party, decision) {
	var sink *stream.SinkError
	switch {
	case j.nextTicket != nil:
		return partyRouter, decisionSilence
	case errors.Is(context.Cause(ctx), errDeadline):
		return partyRouter, decisionDeadline
	case ctx.Err() == nil && !errors.As(f.cause, &sink):
		return partyUpstream, ""
	case j.handler.shutdown.isRefusing() && !j.isCallerGone():
		return partyRouter, decisionStop
	}
	return partyCaller, ""
}

// logFailure logs a failed attempt.
func (j *job) logFailure(ctx context.Context, ticket home.Ticket, f *failure) {
	to := ticket.Upstream()
	by, why := j.attemptEnd(ctx, f)
	j.handler.Log.Warn("attempt failed",
		"request", j.info.ID, "upstream", to.ID, "address", to.Address, "life", to.StartTime, "software", to.Software, "resumes", j.info.Resumes, "resumed-after", j.info.LastEventID, "reason", f.reason,
		"ended-by", by, "decision", why, "fingerprint", j.fingerprint(), "parts", j.parts(), "sent", f.sent, "not-run", f.notRun,
		"backoff-ms", ms(f.backoff), "leaving", f.leaving,
		"attempt", j.sends, "events", j.eventCount, "last-event", j.lastEventID, "attempt-events", j.progress.events, "header-ms", sinceMS(j.progress.headerAt), "first-event-ms", sinceMS(j.progress.firstEventAt), "unread-tokens", ticket.PendingPrefill(),
		"age-ms", ms(time.Since(j.arrived)), "attempt-ms", ms(time.Since(j.sentAt)), "left-ms", ms(time.Until(j.deadline)),
		"silent-ms", ms(j.silence.lasted), "silence-limit-ms", ms(j.silence.limit), "latency-ms", ms(j.handler.latency()),
		"cause", errorText(f.cause))
}

// latency returns the recent scheduling latency of this process.
func (h *Handler) latency() time.Duration {
	if h.SchedulingLatency == nil {
		return 0
	}
	return h.SchedulingLatency()
}

// logRefusal logs a refusal. One of a request that was never sent may be counted in a summary
// instead.
func (j *job) logRefusal(e *refusal.Error) {
	log := j.handler.Log
	if j.sends == 0 {
		kind := refusal.Kind{Reason: e.Reason, Account: j.account, Route: j.routeName()}
		if j.handler.refusals.Add(time.Now(), kind, j.info.ID, time.Since(j.arrived)) {
			return
		}
		log = j.handler.routineLogger()
	}
	log.Warn("request refused",
		"request", j.info.ID, "reason", e.Reason, "outcome", e.Outcome, "detail", e.Detail,
		"route", j.routeName(), "service", j.service, "account", j.account, "configuration", j.version,
		"resumes", j.info.Resumes, "resumed-after", j.info.LastEventID, "sends", j.sends, "runs", j.possibleRuns, "events", j.eventCount, "waited-ms", ms(j.queueTime),
		"age-ms", ms(time.Since(j.arrived)), "retry-after-ms", ms(e.RetryAfter), "reserved", isReserved(e), "cause", errorText(e.Cause))
}

// isReserved reports whether a turn is kept for a retry of the refused request.
func isReserved(e *refusal.Error) bool {
	var refused *turn.RefusedError
	return errors.As(e.Cause, &refused) && refused.Reserved
}

// LogRefusals logs a summary of the refusals since the last call that weren't logged one by one.
// Call it once a second. The summaries go to Log, not RoutineLog, since each covers many
// requests.
func (h *Handler) LogRefusals() {
	for _, summary := range h.refusals.Take() {
		h.Log.Warn("requests refused", "reason", summary.Reason, "account", summary.Account, "route", summary.Route,
			"count", summary.Count, "first", summary.FirstIDs, "longest-ms", ms(summary.LongestWait))
	}
}

// routineLogger returns the log for requests that were answered or never sent.
func (h *Handler) routineLogger() *slog.Logger {
	if h.RoutineLog == nil {
		return h.Log
	}
	return h.RoutineLog
}

// logAnswer logs an answered request. Of new requests that were answered in time at the first
// attempt, only a sample is logged.
func (j *job) logAnswer(ticket home.Ticket, now time.Time, firstByte time.Duration) {
	h := j.handler
	late := firstByte > j.route.LatencyTarget
	if !late && j.sends == 1 && !j.resumes() && !h.isSampled() {
		return
	}
	to := ticket.Upstream()
	h.routineLogger().LogAttrs(j.request.Context(), slog.LevelInfo, "request answered",
		slog.String("request", string(j.info.ID)), slog.Bool("late", late), slog.String("route", j.route.Name),
		slog.String("account", string(j.account)), slog.String("upstream", string(to.ID)), slog.String("software", string(to.Software)),
		slog.String("began-software", string(j.began.Software)), slog.String("began-known-by", string(j.began.Source)), slog.String("resumes", string(j.info.Resumes)),
		slog.Uint64("resumed-after", j.info.LastEventID), slog.Int("sends", j.sends),
		slog.Uint64("configuration", uint64(j.version)), slog.Int("unread-tokens", ticket.PendingPrefill()),
		slog.Float64("waited-ms", ms(j.queueTime)), slog.Float64("first-ms", ms(firstByte)),
		slog.Float64("total-ms", ms(now.Sub(j.arrived))), slog.Int("events", j.eventCount))
}

func errorText(err error) string {
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

// sinceMS returns how long ago something was in milliseconds, -1 if it never was.
func sinceMS(at time.Time) float64 {
	return max(ms(sinceOrNever(at)), -1)
}

// ms returns a duration in milliseconds, rounded to a tenth.
func ms(d time.Duration) float64 { return math.Round(float64(d)/float64(time.Millisecond)*10) / 10 }

// recordLeaving counts and logs a request that is sent to an upstream that is leaving.
func (j *job) recordLeaving(to registry.Upstream) {
	if j.handler.LeavingSince == nil {
		return
	}
	since, leaving := j.handler.LeavingSince(to)
	if !leaving {
		return
	}
	j.handler.Metrics.SentToLeavingSeconds.Observe(max(sinceOrNever(since), 0).Seconds())
	j.handler.Log.Warn("request sent to a leaving upstream", "request", j.info.ID, "upstream", to.ID, "life", to.StartTime,
		"known-ms", ms(sinceOrNever(since)), "attempt", j.sends, "age-ms", ms(time.Since(j.arrived)))
}
