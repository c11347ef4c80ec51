package forward

import (
	"fmt"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/turn"
)

// maxReturnedTurns bounds how often one request returns its turn.
const maxReturnedTurns = 8

// AvoidedError reports that a request wasn't sent to an upstream, because it has stated that it wants none.
type AvoidedError struct {
	Upstream fleet.UpstreamID
	Term     avoidance.Term
}

// Error names the upstream and what it stated.
func (e *AvoidedError) Error() string {
	return fmt.Sprintf("upstream %s wants no requests: %s", e.Upstream, e.Term.Reason)
}

// recordStatements records what an answer states about further requests to its upstream.
func (j *job) recordStatements(u registry.Upstream, status int, info AnswerInfo) {
	avoidance := j.handler.Avoidance
	if avoidance == nil {
		return
	}
	isForeign := isSuccess(status) && !info.Signed // not from the upstream itself
	if info.Leaving && !isForeign {
		avoidance.RecordLeaving(time.Now(), u, j.info.ID)
	}
	if info.Backoff > 0 {
		avoidance.RecordBackoff(time.Now(), u, info.Backoff, j.info.ID)
	}
}

// permit returns *AvoidedError if a request must not be sent to an upstream now. It is asked last of all: the turn may have
// been granted, and the connection begun, before the upstream's statement arrived.
func (j *job) permit(u registry.Upstream) error {
	if j.handler.Avoidance == nil {
		return nil
	}
	term, avoided := j.handler.Avoidance.Avoided(time.Now(), u)
	if !avoided {
		return nil
	}
	return &AvoidedError{Upstream: u.ID, Term: term}
}

// spendPatience lets the waits for turns so far shorten the next ones, if the upstream wanted no requests. Upstreams that come
// out of their backoffs one after the other and refuse again would otherwise hold a request for its whole patience each.
func (j *job) spendPatience(f *failure) {
	if f.backoff > 0 || f.reason == retry.UpstreamAvoided {
		j.spentPatience = j.queueTime
	}
}

// returnTurn returns the turn of a request that wasn't sent, as if it had never been granted.
func (j *job) returnTurn(ticket home.Ticket, e *AvoidedError) *failure {
	ticket.End(time.Now(), turn.Unsent)
	j.sends--
	j.tried = slices.Clone(j.tried[:len(j.tried)-1]) // the search for another upstream may still read it
	j.returnedTurns++
	j.handler.Metrics.AvoidedSends.WithLabelValues(string(e.Term.Reason)).Inc()
	return &failure{reason: retry.UpstreamAvoided, notRun: true, final: j.returnedTurns >= maxReturnedTurns, cause: e}
}
