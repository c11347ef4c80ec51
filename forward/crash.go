package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"nutmeglock.example/nutmeglock/diagnosis"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/stream"
	"nutmeglock.example/nutmeglock/upstream"
)

// soundInterval is the time between two records of how far an answer has come.
const soundInterval = 250 * time.Millisecond

// wholeSampleInterval is the number of whole answers of which one is recorded while no upstream crashes.
const wholeSampleInterval = 8

// fingerprint returns a hash that is the same for repetitions of this request.
func (j *job) fingerprint() quarantine.Fingerprint { return j.subject().Request }

// subject returns what the quarantine recognises this request by.
func (j *job) subject() quarantine.Subject {
	if j.cachedSubject.Request == 0 {
		j.cachedSubject = quarantine.Subject{
			Service: j.service,
			Request: quarantine.FingerprintOf(quarantine.Request{
				Account: j.account, Method: j.request.Method, Host: j.request.Host, URI: j.request.RequestURI, Body: j.body,
			}),
			Parts: j.parts(),
		}
	}
	return j.cachedSubject
}

// parts returns the parts of the prompt that the request may share with others.
func (j *job) parts() prompt.Parts {
	if !j.hasParts {
		j.hasParts = true
		j.cachedParts = j.handler.Codec.ParseParts(j.header)
	}
	return j.cachedParts
}

// soundSubject returns the subject of an answer without the fingerprint of the request, which takes a hash of the
// body.
func (j *job) soundSubject() quarantine.Subject {
	return quarantine.Subject{Service: j.service, Parts: j.parts()}
}

// activeQuarantine returns the quarantine, nil if there is none or there is nothing to do.
func (j *job) activeQuarantine(now time.Time) Quarantine {
	if q := j.handler.Quarantine; q != nil && q.IsActive(now) {
		return q
	}
	return nil
}

// checkQuarantine refuses a request that is quarantined for crashing upstreams.
func (j *job) checkQuarantine() *refusal.Error {
	now := time.Now()
	q := j.activeQuarantine(now)
	if q == nil {
		return nil
	}
	return j.quarantineRefusal(q.RefusedFor(now, j.subject()))
}

// admitToUpstream is checkQuarantine for a request that is sent if it isn't refused.
func (j *job) admitToUpstream(ctx context.Context) *refusal.Error {
	now := time.Now()
	q := j.activeQuarantine(now)
	if q == nil {
		return nil
	}
	return j.quarantineRefusal(q.Admit(ctx, now, j.subject()))
}

func (j *job) quarantineRefusal(left time.Duration) *refusal.Error {
	if left <= 0 {
		return nil
	}
	refused := refusal.New(refusal.CrashesUpstreams, "upstreams crashed while they ran this request", left)
	refused.Outcome = j.outcome()
	return refused
}

// isSuspected reports whether the request may crash upstreams, so that it isn't retried.
func (j *job) isSuspected() bool {
	now := time.Now()
	q := j.activeQuarantine(now)
	return q != nil && q.IsSuspected(now, j.subject())
}

// recordServed reports to the quarantine that an upstream has answered the request.
func (j *job) recordServed() {
	now := time.Now()
	if q := j.activeQuarantine(now); q != nil {
		q.RecordServed(now, j.subject())
	}
}

// recordWhole reports to the quarantine that the answer is whole. While it isn't active, that is done of a
// sample, so that the parts of most requests are known to be sound when an upstream crashes.
func (j *job) recordWhole() {
	q := j.handler.Quarantine
	if q == nil {
		return
	}
	now := time.Now()
	if q.IsActive(now) || j.handler.whole.Add(1)%wholeSampleInterval == 0 {
		q.RecordSound(now, j.soundSubject(), true)
	}
}

// recordProgress reports to the quarantine, at intervals, that events have been arriving for a while.
func (j *job) recordProgress(now time.Time) {
	if now.Before(j.progress.recordAt) {
		return
	}
	if q := j.activeQuarantine(now); q != nil {
		j.progress.recordAt = now.Add(soundInterval)
		q.RecordSound(now, j.soundSubject(), false)
	}
}

// recordBroken reports to the quarantine that the upstream closed its connection while it ran the
// request.
func (j *job) recordBroken(ticket home.Ticket) {
	if j.handler.Quarantine == nil {
		return
	}
	j.handler.Quarantine.RecordBroken(BrokenRequest{
		Subject: j.subject(), Upstream: ticket.Upstream(), SentAt: j.sentAt,
		Stage: diagnosis.StageOf(j.progress.sinceHeader(), j.progress.sinceFirstEvent()),
	})
}

// isCutOff reports whether an answer that seems to have ended was cut off by the end of its upstream. That
// can't be seen of an answer with neither a length nor chunks.
func (j *job) isCutOff(ctx context.Context, ticket home.Ticket, answer *upstream.Answer) bool {
	return answer.Unframed && j.handler.Quarantine != nil && j.handler.Quarantine.HasEnded(ctx, ticket.Upstream(), j.progress.isLateAt(time.Now(), j.sentAt))
}

// isUpstreamDisconnect reports whether an exchange failed because the upstream closed or reset its
// connection, as it does in a crash.
func isUpstreamDisconnect(ctx context.Context, cause error) bool {
	if ctx.Err() != nil {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, stream.ErrPartialEvent, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(cause, end) {
			return true
		}
	}
	return false
}
