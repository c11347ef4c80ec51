package call

import (
	"context"
	"errors"
	"mime"
	"net/http"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/stream"
)

// upstreamAttempt is one attempt to run a request at one upstream.
type upstreamAttempt struct {
	*execution
	slot     dispatch.Slot
	address  string
	streamID string
	meter    costMeter
	sentAt   time.Time
	// firstTokenLatency is the time to the first event of a stream, or to the header
	// of a plain service's answer. It is zero for a model's answer that is not
	// streamed, which arrives only with its last token.
	firstTokenLatency time.Duration
}

func (e *execution) runAttempt(ctx context.Context, slot dispatch.Slot) error {
	a := &upstreamAttempt{execution: e, slot: slot, address: slot.Upstream().GetAddress(), meter: newCostMeter(e.request)}
	if e.request.isModel() {
		a.streamID = newStreamID()
	}
	err := a.exchange(ctx)
	a.finish(ctx, err)
	return err
}

func (a *upstreamAttempt) exchange(ctx context.Context) error {
	if a.claim != nil && !a.claim.Valid() {
		return refusal.New(refusal.DeadlinePassed, "The router was held up past the deadline before it sent the request.", retryAfter)
	}
	a.sentAt = a.runner.now()
	answer, err := a.runner.Client.Do(ctx, a.address, attempt.Request{
		ID: a.request.ID, Method: a.request.Method, Path: a.request.Path, Header: a.request.Header,
		Body: a.request.Body, StreamID: a.streamID, Idempotent: a.request.Idempotent,
	})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if a.request.isModel() && isEventStream(answer.Header) {
		return a.relayStream(ctx, answer)
	}
	if !a.request.isModel() {
		a.firstTokenLatency = answer.TimeToHeader
	}
	return a.relayWhole(ctx, answer)
}

// finish releases the slot, and cancels a stream that still runs at the upstream
// unless its caller may resume it.
func (a *upstreamAttempt) finish(ctx context.Context, err error) {
	completion := dispatch.Completion{Result: a.result(ctx, err), FirstTokenLatency: a.firstTokenLatency}
	if completion.Result == dispatch.Answered || outcomeOf(err) == refusal.Run {
		completion.Cost = a.meter.cost()
	}
	abandoned := err != nil && a.streamID != "" && outcomeOf(err) != refusal.NotRun
	switch {
	case abandoned && a.callerMayResume(ctx):
		completion.Cost = max(completion.Cost, a.request.EstimatedCost)
	case abandoned:
		a.runner.cancelStream(a.request.ID, a.address, a.streamID)
	}
	a.slot.Release(completion)
	a.runner.countServiceTokens(a.request, completion.Cost)
	a.recordAttempt()
}

// recordAttempt sets the report's fields on the last attempt.
func (a *upstreamAttempt) recordAttempt() {
	if a.sentAt.IsZero() {
		return
	}
	a.partialReport.UpstreamTime = a.runner.now().Sub(a.sentAt)
	if a.firstTokenLatency > 0 {
		a.partialReport.TimeToFirstToken = a.sentAt.Add(a.firstTokenLatency).Sub(a.arrived)
	}
	if a.request.isModel() {
		a.partialReport.InputTokens, a.partialReport.OutputTokens = a.meter.input, a.meter.output
	}
}

// callerMayResume reports whether a caller that disconnected may resume its
// stream. The request then costs at least its estimate, because the router that
// resumes the stream has no slot to charge the rest to.
func (a *upstreamAttempt) callerMayResume(ctx context.Context) bool {
	disconnected := callerGone(ctx)
	return disconnected && a.answerStarted && a.request.resumable()
}

// result returns the result of the attempt for dispatch. A caller that
// disconnects, or a deadline that passes within an answer, is not a failure of
// the upstream: a few impatient callers would make a healthy upstream seem
// broken. It counts as answered and is charged, or an account could get its
// prompts processed for free by disconnecting before the first token.
func (a *upstreamAttempt) result(ctx context.Context, err error) dispatch.Result {
	var (
		failed  *attempt.Error
		refused *refusal.Error
		sinkErr *stream.SinkError
	)
	switch {
	case err == nil, errors.As(err, &sinkErr):
		return dispatch.Answered
	case errors.As(err, &refused):
		return dispatch.Unused
	case callerGone(ctx):
		if outcomeOf(err) == refusal.NotRun {
			return dispatch.Unused
		}
		return dispatch.Answered
	case ctx.Err() != nil && a.answerStarted:
		return dispatch.Answered
	case errors.As(err, &failed):
		return failed.Result()
	default:
		return dispatch.Failed
	}
}

func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}
