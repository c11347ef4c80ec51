package forward

import (
	"errors"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/refusal"
)

// sampleEvery is how many requests that were served in time share one log line.
// Failures, refusals and late answers always have theirs.
const sampleEvery = 32

// usableRetryAfter is the part of its time left that a caller waits at most
// before it comes back.
const usableRetryAfter = 0.3

// begin sends the header of an upstream's answer, once.
func (j *job) begin(status int, header http.Header, length int64) {
	if j.begun {
		return
	}
	j.begun = true
	j.firstEvent = time.Now()
	out := j.writer.Header()
	attempt.StripHopByHop(header)
	for name, values := range header {
		out[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		out["Content-Type"] = nil // net/http would guess one that the upstream didn't send
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	j.writer.WriteHeader(status)
}

// pass passes on an answer that was read to its end.
func (j *job) pass(w *whole) {
	length := int64(len(w.body))
	if j.request.Method == http.MethodHead {
		length = -1
	}
	j.begin(w.status, w.header, length)
	_, err := j.writer.Write(w.body)
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		j.handler.Log.Info("caller took no answer", "request", j.intake.ID, "error", err)
	}
}

// refuse answers a request with a refusal. After the header has gone out the
// answer is broken off instead, visibly, since it can't be whole any more.
func (j *job) refuse(e *refusal.Error) {
	j.logRefusal(e)
	h := j.handler
	h.Metrics.Refusals.WithLabelValues(string(e.Reason)).Inc()
	if j.account != "" {
		h.Metrics.RefusedTokens.WithLabelValues(string(j.account), string(e.Reason)).Add(j.cost())
	}
	if j.begun || e.Reason == refusal.CallerGone {
		panic(http.ErrAbortHandler)
	}
	status := e.Reason.Status()
	if e.Outcome != refusal.NotRun && promises(status) {
		status = http.StatusBadGateway
	}
	if e.Outcome == refusal.NotRun && e.Reason == refusal.DeadlinePassed {
		status = http.StatusServiceUnavailable
	}
	h.Metrics.Requests.WithLabelValues(string(j.service), strconv.Itoa(status)).Inc()
	if after := j.retryAfter(e); after > 0 {
		j.writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	j.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	j.writer.WriteHeader(status)
	_, err := j.writer.Write([]byte(string(e.Reason) + "\n"))
	if err != nil {
		h.Log.Info("caller took no refusal", "request", j.intake.ID, "error", err)
	}
}

// promises reports whether a status says that the request wasn't run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// retryAfter returns when the caller comes back: as the refusal says, but no
// later than it would wait with the time that it has left.
func (j *job) retryAfter(e *refusal.Error) time.Duration {
	if e.RetryAfter <= 0 || j.deadline.IsZero() {
		return e.RetryAfter
	}
	usable := time.Duration(usableRetryAfter * float64(time.Until(j.deadline)))
	return max(min(e.RetryAfter, usable), time.Millisecond)
}

func (j *job) logRefusal(e *refusal.Error) {
	j.handler.Log.Warn("request refused",
		"request", j.intake.ID, "reason", e.Reason, "outcome", e.Outcome, "detail", e.Detail,
		"route", j.routeName(), "service", j.service, "account", j.account, "configuration", j.version,
		"sends", j.sends, "runs", j.runs, "events", j.events, "waited-ms", ms(j.waited),
		"age-ms", ms(time.Since(j.arrived)), "retry-after-ms", ms(e.RetryAfter), "cause", causeOf(e.Cause))
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

// failed notes an attempt that failed.
func (j *job) failed(ticket home.Ticket, f *failure) {
	to := ticket.Upstream()
	j.handler.Log.Warn("attempt failed",
		"request", j.intake.ID, "upstream", to.ID, "address", to.Address, "life", to.Life, "reason", f.reason,
		"fingerprint", j.fingerprint(), "sent", f.sent, "not-run", f.notRun, "attempt", j.sends, "events", j.events, "last-event", j.last,
		"unread-tokens", ticket.Work(), "age-ms", ms(time.Since(j.arrived)), "cause", causeOf(f.cause))
}

// answered notes a request that was answered.
func (j *job) answered(ticket home.Ticket) {
	j.noteServed()
	h := j.handler
	now := time.Now()
	first := j.firstEvent.Sub(j.arrived)
	h.Metrics.Requests.WithLabelValues(string(j.service), "answered").Inc()
	if j.account != "" {
		h.Metrics.Service.WithLabelValues(string(j.account)).Add(j.cost())
	}
	h.Metrics.QueueSeconds.WithLabelValues(string(j.service)).Observe(j.waited.Seconds())
	h.Metrics.FirstByteSeconds.WithLabelValues(string(j.service)).Observe(first.Seconds())
	late := first > j.route.Target
	if !late && j.sends == 1 && !h.isSampled() {
		return
	}
	to := ticket.Upstream()
	h.Log.LogAttrs(j.request.Context(), slog.LevelInfo, "request answered",
		slog.String("request", string(j.intake.ID)), slog.Bool("late", late), slog.String("route", j.route.Name),
		slog.String("account", string(j.account)), slog.String("upstream", string(to.ID)), slog.Int("sends", j.sends),
		slog.Uint64("configuration", uint64(j.version)), slog.Int("unread-tokens", ticket.Work()),
		slog.Float64("waited-ms", ms(j.waited)), slog.Float64("first-ms", ms(first)),
		slog.Float64("total-ms", ms(now.Sub(j.arrived))), slog.Int("events", j.events))
}

// ms returns a duration in milliseconds, to a tenth.
func ms(d time.Duration) float64 { return math.Round(float64(d)/float64(time.Millisecond)*10) / 10 }
