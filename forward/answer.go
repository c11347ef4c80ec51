package forward

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/refusal"
)

// maxRetryAfterFraction is the largest part of the caller's remaining time that Retry-After may
// take.
const maxRetryAfterFraction = 0.3

// sendHeader sends the status and header of an upstream's answer, unless that was done already.
func (j *job) sendHeader(status int, header http.Header, length int64) {
	if j.headerSent {
		return
	}
	j.headerSent = true
	j.firstByteAt = time.Now()
	out := j.writer.Header()
	attempt.StripHopByHop(header)
	for name, values := range header {
		out[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		out["Content-Type"] = nil // keeps net/http from guessing one
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	j.writer.WriteHeader(status)
}

// writeAnswer sends a buffered answer to the caller.
func (j *job) writeAnswer(buffered *bufferedAnswer) {
	length := int64(buffered.body.Len())
	if j.request.Method == http.MethodHead {
		length = -1
	}
	j.sendHeader(buffered.status, buffered.header, length)
	_, err := buffered.body.WriteTo(j.writer)
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		j.handler.Log.Info("answer not delivered", "request", j.info.ID, "error", err)
	}
}

// refuse answers a request with a refusal. If the header of an answer was already sent, or the
// caller has disconnected, it aborts the connection instead, so that a partial answer can't pass
// for a complete one.
func (j *job) refuse(e *refusal.Error) {
	j.logRefusal(e)
	h := j.handler
	h.Metrics.Refusals.WithLabelValues(string(e.Reason)).Inc()
	if j.account != "" {
		h.Metrics.RefusedTokens.WithLabelValues(string(j.account), string(e.Reason)).Add(j.cost())
	}
	if j.headerSent || e.Reason == refusal.CallerGone {
		caller.Abort(j.request)
	}
	if j.bodyRead != bodyWhole {
		caller.EndUnread(j.writer, j.request, j.bodyRead == bodyBroken)
	}
	status := e.Reason.Status()
	if e.Outcome != refusal.NotRun && impliesNotRun(status) {
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
		h.routineLogger().Info("refusal not delivered", "request", j.info.ID, "error", err)
	}
}

// impliesNotRun reports whether a status means that the request wasn't run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// retryAfter returns the refusal's Retry-After, limited to a fraction of the time until the
// request's deadline.
func (j *job) retryAfter(e *refusal.Error) time.Duration {
	if e.RetryAfter <= 0 || j.deadline.IsZero() {
		return e.RetryAfter
	}
	usable := time.Duration(maxRetryAfterFraction * float64(time.Until(j.deadline)))
	return max(min(e.RetryAfter, usable), time.Millisecond)
}

// recordAnswer records a completed answer in quarantine, metrics and log.
func (j *job) recordAnswer(ticket home.Ticket) {
	j.recordServed()
	j.recordWhole()
	h := j.handler
	now := time.Now()
	firstByte := j.firstByteAt.Sub(j.arrived)
	h.Metrics.Requests.WithLabelValues(string(j.service), "answered").Inc()
	if j.account != "" {
		h.Metrics.ServiceTokens.WithLabelValues(string(j.account)).Add(j.cost())
	}
	h.Metrics.QueueSeconds.WithLabelValues(string(j.service)).Observe(j.queueTime.Seconds())
	h.Metrics.FirstByteSeconds.WithLabelValues(string(j.service)).Observe(firstByte.Seconds())
	j.logAnswer(ticket, now, firstByte)
}
