package call

import (
	"context"
	"errors"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/stream"
)

// Report is what became of one request.
type Report struct {
	Account       fleet.AccountID
	Service       fleet.ServiceID
	Model         bool
	NonIdempotent bool
	Arrived       time.Time
	// Deadline is how long after its arrival the caller gives up.
	Deadline time.Duration
	// Input and Output are the tokens of a model's request, as far as it came;
	// zero when nothing was sent to an upstream.
	Input  int64
	Output int64
	// Queue is the time from the arrival to the first slot, zero without one.
	Queue time.Duration
	// FirstToken is the time from the arrival to the first event of a stream,
	// or to the header of a plain answer. It is zero for a model's whole answer.
	FirstToken time.Duration
	// Run is how long the last attempt took at its upstream.
	Run time.Duration
	// Total is the time from the arrival to the end.
	Total time.Duration
	// Refused is why there is no whole answer, empty when there is one.
	Refused refusal.Reason
}

// Observer is told of each request that ended.
type Observer interface {
	// Ended is called once for a request, before its caller sees the end of a
	// refusal. It may be called from any goroutine and must not block.
	Ended(report Report)
}

// Observers tells each of several observers.
type Observers []Observer

// Ended tells each observer.
func (o Observers) Ended(report Report) {
	for _, observer := range o {
		observer.Ended(report)
	}
}

// report tells the observers what became of the request.
func (e *execution) report(ctx context.Context, err error) {
	report := e.ended
	report.Account = fleet.AccountID(e.request.Account.GetId())
	report.Service = fleet.ServiceID(e.request.Service.GetId())
	report.Model = e.request.model()
	report.NonIdempotent = !e.request.Idempotent
	report.Arrived = e.arrived
	report.Deadline = e.request.Deadline.Sub(e.arrived)
	report.Total = e.runner.now().Sub(e.arrived)
	report.Refused = reasonOf(ctx, err)
	e.runner.Observers.Ended(report)
}

// reasonOf returns why a request has no whole answer, empty when err is nil.
func reasonOf(ctx context.Context, err error) refusal.Reason {
	var (
		refused *refusal.Error
		gone    *stream.SinkError
	)
	switch {
	case err == nil:
		return ""
	case errors.As(err, &refused):
		return refused.Reason
	case errors.As(err, &gone), callerGone(ctx):
		return refusal.CallerGone
	case ctx.Err() != nil:
		return refusal.DeadlinePassed
	default:
		return refusal.UpstreamFailed
	}
}
