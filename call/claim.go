package call

import (
	"context"
	"errors"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/claim"
	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
)

const (
	// claimTimeout bounds a claim, during which the request holds a slot.
	claimTimeout = 2 * time.Second
	// storeTimeout bounds how long an answer is held back to be stored. A caller
	// that received it can then get it again. If the table is down, the answer is
	// sent anyway and stored later.
	storeTimeout = 250 * time.Millisecond
)

// checkClaims refuses a request that needs a claim if claims are unavailable, so
// that it need not wait for a slot.
func (e *execution) checkClaims() error {
	if !e.request.needsClaim() {
		return nil
	}
	if e.runner.Claims == nil {
		return refusal.New(refusal.ClaimsUnavailable, "This router keeps no claims.", 0)
	}
	return e.runner.Claims.Available()
}

// acquireClaim claims the request, or replays the answer of its first run. The
// request must already hold a slot, so that an account that floods the queue
// does not fill the table with claims of requests that are then refused.
func (e *execution) acquireClaim(ctx context.Context, slot dispatch.Slot) (replayed bool, err error) {
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	acquired, answer, err := e.runner.Claims.Claim(claimCtx, claim.Request{
		Account: fleet.AccountID(e.request.Account.GetId()), Key: e.request.IdempotencyKey, Method: e.request.Method,
		Path: e.request.Path, Body: e.request.Body, Deadline: e.request.Deadline,
	})
	if err != nil || answer != nil {
		slot.Release(dispatch.Completion{Result: dispatch.Unused})
	}
	if err != nil {
		return false, e.refusalFor(ctx, err)
	}
	if answer != nil {
		return true, e.replay(answer)
	}
	e.claim = acquired
	return false, nil
}

// detachFromCaller returns a context that ends only at the deadline. A caller
// whose connection breaks may repeat its request through another router, which
// can only replay the answer if this router still waits for it.
func (e *execution) detachFromCaller(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithoutCancel(ctx), e.request.Deadline)
}

// replay writes the answer of the request's first run.
func (e *execution) replay(answer *claim.Answer) error {
	header := e.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(ReplayedHeader, "true")
	e.answerStarted = true
	e.w.WriteHeader(answer.Status)
	if _, err := e.w.Write(answer.Body); err != nil {
		return &BrokenError{Outcome: refusal.Run, Cause: err}
	}
	return nil
}

// storeAnswer stores a complete answer for repeats of its request.
func (a *upstreamAttempt) storeAnswer(ctx context.Context, answer *attempt.Answer, body []byte) {
	if a.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	a.claim.Finish(ctx, claim.Answer{Status: answer.Status, Header: answer.Header, Body: body})
}

// endClaim ends the claim of a request without a stored answer: it releases the
// key if the request was certainly not run, else it records the answer as lost.
func (e *execution) endClaim(ctx context.Context, err error) {
	if e.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	var refused *refusal.Error
	if errors.As(err, &refused) && refused.Outcome == refusal.NotRun {
		e.claim.Release(ctx)
		return
	}
	e.claim.MarkLost(ctx)
}
