package call

import (
	"context"
	"errors"
	"fmt"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/refusal"
)

// retryAfter is the Retry-After of a request whose upstream failed: long enough
// for the failure of the upstream to be detected, short for a waiting person.
const retryAfter = time.Second

// BrokenError is the error of an answer that ended after only a part of it was
// written. The connection to the caller must be aborted, because a normal end
// would make the part look complete.
type BrokenError struct {
	// Outcome is whether the request was run, as far as known.
	Outcome refusal.Outcome
	// Cause is the error that ended the answer.
	Cause error
}

// Error names the outcome and the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("answer incomplete, %s: %v", e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// outcomeOf returns whether the request was run by an attempt that failed with err.
func outcomeOf(err error) refusal.Outcome {
	var (
		failed  *attempt.Error
		refused *refusal.Error
	)
	switch {
	case errors.As(err, &failed):
		return failed.Facts.Outcome()
	case errors.As(err, &refused):
		return refused.Outcome
	default:
		return refusal.Run
	}
}

// worseOutcome returns the outcome of two attempts together: if one of them was
// or may have been run, so was the request, even if the other was not run.
func worseOutcome(a, b refusal.Outcome) refusal.Outcome {
	if a == refusal.Run || b == refusal.Run {
		return refusal.Run
	}
	if a == refusal.Unknown || b == refusal.Unknown {
		return refusal.Unknown
	}
	return refusal.NotRun
}

// callerGone reports whether a request's context ended because its caller
// disconnected, not because its deadline passed.
func callerGone(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }

// refusalFor returns the refusal to be sent to the caller for err.
func (e *execution) refusalFor(ctx context.Context, err error) *refusal.Error {
	out := &refusal.Error{Outcome: worseOutcome(e.worstOutcome, outcomeOf(err)), Cause: err}
	var (
		refused *refusal.Error
		failed  *attempt.Error
	)
	switch {
	case errors.As(err, &refused) && refused.Reason == refusal.CallerGone && !callerGone(ctx):
		// A waiting source sees only that its context ended. Its refusal has no
		// Retry-After, which a caller that is still connected needs.
		out.Reason, out.Detail = refusal.DeadlineBeforeTurn, "The deadline passed before the request's turn."
		out.RetryAfter = retryAfter
		return out
	case errors.As(err, &refused):
		out.Reason, out.Detail, out.RetryAfter = refused.Reason, refused.Detail, refused.RetryAfter
		return out
	case callerGone(ctx):
		out.Reason, out.Detail = refusal.CallerGone, "The caller closed the connection."
		return out
	case ctx.Err() != nil:
		out.Reason, out.Detail = refusal.DeadlinePassed, "The deadline passed before the answer began."
	case e.attempts > 1:
		out.Reason, out.Detail = refusal.RetriesExhausted, "Each upstream that was tried failed."
	case errors.As(err, &failed) && failed.Facts.Refused != "":
		out.Reason, out.Detail = refusal.UpstreamBusy, "The upstream takes no more work now."
	default:
		out.Reason, out.Detail = refusal.UpstreamFailed, "The upstream failed before its answer began."
	}
	if out.Outcome == refusal.NotRun || e.request.Idempotent {
		out.RetryAfter = retryAfter
	}
	return out
}
