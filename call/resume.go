package call

import (
	"context"
	"errors"
	"net/http"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/stream"
)

// ResumeRequest is a caller's request to resume an interrupted stream that this
// or another router started.
type ResumeRequest struct {
	ID      fleet.RequestID
	Account *schema.Account
	// Token is the text of the resume token.
	Token string
	// After is the id of the last event that the caller received.
	After    stream.EventID
	Deadline time.Time
}

// Resume writes the rest of a stream to w. It fails like Run, and also with
// bad-resume-token and resume-expired. It takes no slot, because the stream is
// already running and was charged by the router that started it. If it is
// interrupted again, the stream stays resumable while its engine keeps it.
func (r *Runner) Resume(ctx context.Context, w http.ResponseWriter, request ResumeRequest) error {
	if r.Tokens == nil {
		return refusal.New(refusal.BadResumeToken, "This router issues no resume tokens.", 0)
	}
	token, err := r.Tokens.Open(request.Token, request.Account.GetId(), r.now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	backoff := &resumeBackoff{runner: r, deadline: request.Deadline, lastEvent: request.After}
	relay := &stream.Relay{
		Stream: token.GetStream(), After: request.After,
		Source: &engineSource{client: r.Client, request: request.ID, address: token.GetAddress(), stream: token.GetStream()},
	}
	relay.MayReconnect = func(ctx context.Context, _ error) bool { return backoff.allow(ctx, relay.After) }
	sink := &resumeSink{out: newEventWriter(newDeadlineWriter(w, request.Deadline)), token: request.Token}
	err = relay.Open(ctx, sink)
	switch {
	case err == nil:
		return nil
	case sink.started:
		sink.out.writeError(ctx, request.ID, err)
		return &BrokenError{Outcome: refusal.Run, Cause: err}
	default:
		return resumeRefusal(ctx, err)
	}
}

// resumeRefusal returns the refusal of a ResumeRequest for which no event arrived.
// The request that started the stream was run or still is.
func resumeRefusal(ctx context.Context, err error) *refusal.Error {
	refused := &refusal.Error{Outcome: refusal.Run, Cause: err}
	var (
		gone        *stream.GoneError
		wrongStream *stream.WrongStreamError
		orderErr    *stream.OrderError
	)
	switch {
	case errors.As(err, &gone), errors.As(err, &wrongStream), errors.As(err, &orderErr):
		refused.Reason, refused.Detail = refusal.ResumeExpired, "The stream can no longer be resumed."
	case callerGone(ctx):
		refused.Reason, refused.Detail = refusal.CallerGone, "The caller closed the connection."
	case ctx.Err() != nil:
		refused.Reason, refused.Detail = refusal.DeadlinePassed, "The deadline passed before the stream went on."
		refused.RetryAfter = retryAfter
	default:
		refused.Reason, refused.Detail = refusal.UpstreamFailed, "The stream's upstream could not be reached."
		refused.RetryAfter = retryAfter
	}
	return refused
}

// resumeSink writes the rest of a resumed stream to the caller.
type resumeSink struct {
	out     *eventWriter
	token   string
	started bool
}

// Event writes one event.
func (s *resumeSink) Event(event stream.Event, more bool) error {
	if !s.started {
		header := s.out.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		header.Set(ResumeTokenHeader, s.token)
		s.started = true
		s.out.w.WriteHeader(http.StatusOK)
	}
	return s.out.write(event, more)
}
