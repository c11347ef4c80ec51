package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/stream"
	"nutmeglock.example/nutmeglock/upstream"
)

// fingerprint returns a hash that is the same for repetitions of this request.
func (j *job) fingerprint() quarantine.Fingerprint {
	if j.cachedFingerprint == 0 {
		j.cachedFingerprint = quarantine.FingerprintOf(quarantine.Request{
			Account: j.account, Method: j.request.Method, Host: j.request.Host, URI: j.request.RequestURI, Body: j.body,
		})
	}
	return j.cachedFingerprint
}

// checkQuarantine refuses a request that is quarantined for crashing upstreams.
func (j *job) checkQuarantine() *refusal.Error {
	if j.handler.Quarantine == nil {
		return nil
	}
	left := j.handler.Quarantine.RefusedFor(time.Now(), j.fingerprint())
	if left <= 0 {
		return nil
	}
	refused := refusal.New(refusal.CrashesUpstreams, "upstreams crashed while they ran this request", left)
	refused.Outcome = j.outcome()
	return refused
}

// isOnProbation reports whether the request was recently quarantined.
func (j *job) isOnProbation() bool {
	return j.handler.Quarantine != nil && j.handler.Quarantine.IsOnProbation(time.Now(), j.fingerprint())
}

// recordServed reports to the quarantine that an upstream has answered the request.
func (j *job) recordServed() {
	if j.handler.Quarantine != nil {
		j.handler.Quarantine.RecordServed(time.Now(), j.fingerprint())
	}
}

// recordBroken reports to the quarantine that the upstream closed its connection while it ran the
// request.
func (j *job) recordBroken(ticket home.Ticket) {
	if j.handler.Quarantine != nil {
		j.handler.Quarantine.RecordBroken(j.fingerprint(), ticket.Upstream(), j.sentAt)
	}
}

// isCutOff reports whether an answer that seems to have ended was cut off by the end of its upstream. That
// can't be seen of an answer with neither a length nor chunks.
func (j *job) isCutOff(ctx context.Context, ticket home.Ticket, answer *upstream.Answer) bool {
	return answer.Unframed && j.handler.Quarantine != nil && j.handler.Quarantine.HasEnded(ctx, ticket.Upstream())
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
