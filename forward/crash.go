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
)

// fingerprint returns what the request has in common with its repetitions.
func (j *job) fingerprint() quarantine.Fingerprint {
	if j.print == 0 {
		j.print = quarantine.FingerprintOf(quarantine.Request{
			Account: j.account, Method: j.request.Method, Host: j.request.Host, URI: j.request.RequestURI, Body: j.body,
		})
	}
	return j.print
}

// checkQuarantine refuses a request that is known to crash upstreams.
func (j *job) checkQuarantine() *refusal.Error {
	if j.handler.Quarantine == nil {
		return nil
	}
	left := j.handler.Quarantine.Refuses(time.Now(), j.fingerprint())
	if left <= 0 {
		return nil
	}
	refused := refusal.New(refusal.CrashesUpstreams, "upstreams ended while they ran this request", left)
	refused.Outcome = j.outcome()
	return refused
}

// isOnProbation reports whether the request was refused of late for crashing upstreams.
func (j *job) isOnProbation() bool {
	return j.handler.Quarantine != nil && j.handler.Quarantine.IsOnProbation(time.Now(), j.fingerprint())
}

// noteServed notes that an upstream has answered the request.
func (j *job) noteServed() {
	if j.handler.Quarantine != nil {
		j.handler.Quarantine.Served(time.Now(), j.fingerprint())
	}
}

// noteBroken notes that the upstream ended its connection while it ran the request.
func (j *job) noteBroken(ticket home.Ticket) {
	if j.handler.Quarantine != nil {
		j.handler.Quarantine.Broken(j.fingerprint(), ticket.Upstream(), j.sent)
	}
}

// endedByUpstream reports whether an exchange failed because the upstream's side of the
// connection ended, as it does in a crash.
func endedByUpstream(ctx context.Context, cause error) bool {
	if ctx.Err() != nil {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, stream.ErrPartial, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(cause, end) {
			return true
		}
	}
	return false
}
