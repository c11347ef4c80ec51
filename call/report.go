package call

import (
	"context"
	"errors"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/stream"
)

// Report describes a request that ended.
type Report struct {
	Account fleet.AccountID
	Service fleet.ServiceID
	// IsModel is true for a request to a model service.
	IsModel       bool
	NonIdempotent bool
	Arrived       time.Time
	// Timeout is the time from the arrival to the request's deadline.
	Timeout time.Duration
	// InputTokens and OutputTokens are the tokens of a request to a model so far; zero
	// if nothing was sent to an upstream.
	InputTokens  int64
	OutputTokens int64
	// QueueTime is the time from the arrival to the first slot, zero if there was none.
	QueueTime time.Duration
	// TimeToFirstToken is the time from the arrival to the first event of a stream,
	// or to the header of a plain service's answer. It is zero for a model's answer
	// that is not streamed.
	TimeToFirstToken time.Duration
	// UpstreamTime is the duration of the last attempt at its upstream.
	UpstreamTime time.Duration
	// TotalTime is the time from the arrival to the end.
	TotalTime time.Duration
	// RefusalReason is the reason why the answer is missing or incomplete, else empty.
	RefusalReason refusal.Reason
}

// Observer receives a report of each request that ended.
type Observer interface {
	// Ended is called once per request, before a refusal is written to the caller.
	// It may be called from any goroutine and must not block.
	Ended(report Report)
}

// Observers is an Observer that passes reports on to several others.
type Observers []Observer

// Ended passes the report to each observer.
func (o Observers) Ended(report Report) {
	for _, observer := range o {
		observer.Ended(report)
	}
}

// report completes the request's report and passes it to the observers.
func (e *execution) report(ctx context.Context, err error) {
	report := e.partialReport
	report.Account = fleet.AccountID(e.request.Account.GetId())
	report.Service = fleet.ServiceID(e.request.Service.GetId())
	report.IsModel = e.request.isModel()
	report.NonIdempotent = !e.request.Idempotent
	report.Arrived = e.arrived
	report.Timeout = e.request.Deadline.Sub(e.arrived)
	report.TotalTime = e.runner.now().Sub(e.arrived)
	report.RefusalReason = reasonOf(ctx, err)
	e.runner.Observers.Ended(report)
}

// reasonOf returns the reason why an answer is missing or incomplete, empty if
// err is nil.
func reasonOf(ctx context.Context, err error) refusal.Reason {
	var (
		refused *refusal.Error
		sinkErr *stream.SinkError
	)
	switch {
	case err == nil:
		return ""
	case errors.As(err, &refused):
		return refused.Reason
	case errors.As(err, &sinkErr), callerGone(ctx):
		return refusal.CallerGone
	case ctx.Err() != nil:
		return refusal.DeadlinePassed
	default:
		return refusal.UpstreamFailed
	}
}
