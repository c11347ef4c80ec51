package forward

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/refusal"
)

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
		h.routine().Info("caller took no refusal", "request", j.intake.ID, "error", err)
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
	j.logAnswer(ticket, now, first)
}
