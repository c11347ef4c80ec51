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

// try is one attempt at one upstream.
type try struct {
	*execution
	slot    dispatch.Slot
	address string
	stream  string
	meter   meter
	sent    time.Time
	// firstToken is the time to the first event of a stream, or to the header
	// of a plain answer. It is zero for a model's whole answer, which comes
	// when its last token does and tells nothing of the first.
	firstToken time.Duration
}

func (e *execution) try(ctx context.Context, slot dispatch.Slot) error {
	t := &try{execution: e, slot: slot, address: slot.Upstream().GetAddress(), meter: newMeter(e.request)}
	if e.request.model() {
		t.stream = newStreamID()
	}
	err := t.exchange(ctx)
	t.settle(ctx, err)
	return err
}

func (t *try) exchange(ctx context.Context) error {
	if t.claim != nil && !t.claim.Ready() {
		return refusal.New(refusal.DeadlinePassed, "The router was held up past the deadline before it sent the request.", retryAfter)
	}
	t.sent = t.runner.now()
	answer, err := t.runner.Client.Do(ctx, t.address, attempt.Request{
		ID: t.request.ID, Method: t.request.Method, Path: t.request.Path, Header: t.request.Header,
		Body: t.request.Body, Stream: t.stream, Idempotent: t.request.Idempotent,
	})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if t.request.model() && eventStream(answer.Header) {
		return t.relayStream(ctx, answer)
	}
	if !t.request.model() {
		t.firstToken = answer.FirstByte
	}
	return t.relayWhole(ctx, answer)
}

// settle gives the slot back and cancels what is left running at the upstream.
func (t *try) settle(ctx context.Context, err error) {
	done := dispatch.Done{Result: t.result(ctx, err), FirstToken: t.firstToken}
	if done.Result == dispatch.Answered || outcomeOf(err) == refusal.Run {
		done.Cost = t.meter.cost()
	}
	abandoned := err != nil && t.stream != "" && outcomeOf(err) != refusal.NotRun
	switch {
	case abandoned && t.keptForCaller(ctx):
		done.Cost = max(done.Cost, t.request.Estimate)
	case abandoned:
		t.runner.cancelStream(t.request.ID, t.address, t.stream)
	}
	t.slot.Done(done)
	t.runner.countService(t.request, done.Cost)
	t.note()
}

// note keeps what the request's report tells of its last attempt.
func (t *try) note() {
	if t.sent.IsZero() {
		return
	}
	t.ended.Run = t.runner.now().Sub(t.sent)
	if t.firstToken > 0 {
		t.ended.FirstToken = t.sent.Add(t.firstToken).Sub(t.arrived)
	}
	if t.request.model() {
		t.ended.Input, t.ended.Output = t.meter.input, t.meter.output
	}
}

// keptForCaller reports whether a caller that went away may come back for the
// rest of its stream. The rest is charged by its estimate, because the router
// that resumes has no slot to charge it to.
func (t *try) keptForCaller(ctx context.Context) bool {
	gone := callerGone(ctx)
	return gone && t.started && t.request.resumable()
}

// result returns what dispatch is to learn of the upstream. A caller that goes
// away, or a deadline within an answer, is no failure of the upstream; counted
// as one, a few impatient callers would make a sound upstream seem broken. It
// is charged like an answer, or an account would get its prompts processed for
// nothing by leaving before the first token.
func (t *try) result(ctx context.Context, err error) dispatch.Result {
	var (
		failed  *attempt.Error
		refused *refusal.Error
		gone    *stream.SinkError
	)
	switch {
	case err == nil, errors.As(err, &gone):
		return dispatch.Answered
	case errors.As(err, &refused):
		return dispatch.Unused
	case callerGone(ctx):
		if outcomeOf(err) == refusal.NotRun {
			return dispatch.Unused
		}
		return dispatch.Answered
	case ctx.Err() != nil && t.started:
		return dispatch.Answered
	case errors.As(err, &failed):
		return failed.Result()
	default:
		return dispatch.Failed
	}
}

func eventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}
