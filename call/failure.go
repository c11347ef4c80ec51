package call

import (
	"context"
	"errors"
	"fmt"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/refusal"
)

// retryAfter is when a caller may repeat a request whose upstream failed: long
// enough for an upstream to be seen as gone, short against a person's wait.
const retryAfter = time.Second

// BrokenError is the error of an answer that broke off after a part of it went
// out. The connection to the caller has to be aborted, because a normal end
// would make the part look whole.
type BrokenError struct {
	// Outcome is what became of the request, as far as it is known.
	Outcome refusal.Outcome
	// Cause is why the answer broke off.
	Cause error
}

// Error names the outcome and the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("answer broke off, %s: %v", e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// outcomeOf returns what a failed try says of the request.
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

// worse returns the outcome that rules the other out: what an earlier attempt
// may have done stays true when a later one certainly was not run.
func worse(a, b refusal.Outcome) refusal.Outcome {
	if a == refusal.Run || b == refusal.Run {
		return refusal.Run
	}
	if a == refusal.Unknown || b == refusal.Unknown {
		return refusal.Unknown
	}
	return refusal.NotRun
}

// callerGone reports whether a request's context ended because its caller went
// away, and not by its deadline.
func callerGone(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }

// refuse returns the caller's final word on err.
func (e *execution) refuse(ctx context.Context, err error) *refusal.Error {
	out := &refusal.Error{Outcome: worse(e.outcome, outcomeOf(err)), Cause: err}
	var (
		refused *refusal.Error
		failed  *attempt.Error
	)
	switch {
	case errors.As(err, &refused) && refused.Reason == refusal.CallerGone && !callerGone(ctx):
		// A source that waits sees only that its context ended. A caller told
		// that it had gone away would not know when to come back.
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
	case e.tries > 1:
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
