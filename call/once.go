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
	// claimTimeout bounds a claim while it holds a slot.
	claimTimeout = 2 * time.Second
	// keepTimeout is how long an answer waits until it is kept. A caller that
	// has seen it can then be sure to get it again. When the table is down the
	// answer goes out all the same and is kept later.
	keepTimeout = 250 * time.Millisecond
)

// claimable refuses a request that can't be claimed before it waits for a slot.
func (e *execution) claimable() error {
	if !e.request.claimed() {
		return nil
	}
	if e.runner.Claims == nil {
		return refusal.New(refusal.ClaimsUnavailable, "This router keeps no claims.", 0)
	}
	return e.runner.Claims.Available()
}

// takeClaim claims the request, or replays the answer of its first run. It is
// asked for with a slot in hand, so that an account that floods the queue does
// not fill the table with claims of requests that are turned away.
func (e *execution) takeClaim(ctx context.Context, slot dispatch.Slot) (replayed bool, err error) {
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	taken, answer, err := e.runner.Claims.Claim(claimCtx, claim.Request{
		Account: fleet.AccountID(e.request.Account.GetId()), Key: e.request.Key, Method: e.request.Method,
		Path: e.request.Path, Body: e.request.Body, Deadline: e.request.Deadline,
	})
	if err != nil || answer != nil {
		slot.Done(dispatch.Done{Result: dispatch.Unused})
	}
	if err != nil {
		return false, e.refuse(ctx, err)
	}
	if answer != nil {
		return true, e.replay(answer)
	}
	e.claim = taken
	return false, nil
}

// outliveCaller returns a context that ends at the deadline alone. A caller
// whose connection breaks repeats its order through another router; that
// router can only give it an answer if this one goes on to get it.
func (e *execution) outliveCaller(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithoutCancel(ctx), e.request.Deadline)
}

// replay writes the answer of the request's first run.
func (e *execution) replay(answer *claim.Answer) error {
	header := e.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(ReplayedHeader, "true")
	e.started = true
	e.w.WriteHeader(answer.Status)
	if _, err := e.w.Write(answer.Body); err != nil {
		return &BrokenError{Outcome: refusal.Run, Cause: err}
	}
	return nil
}

// keepAnswer keeps a whole answer for repeats of its request.
func (t *try) keepAnswer(ctx context.Context, answer *attempt.Answer, body []byte) {
	if t.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepTimeout)
	defer cancel()
	t.claim.Finish(ctx, claim.Answer{Status: answer.Status, Header: answer.Header, Body: body})
}

// endClaim says what became of a claimed request that has no kept answer.
func (e *execution) endClaim(ctx context.Context, err error) {
	if e.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepTimeout)
	defer cancel()
	var refused *refusal.Error
	if errors.As(err, &refused) && refused.Outcome == refusal.NotRun {
		e.claim.Release(ctx)
		return
	}
	e.claim.Lose(ctx)
}
