package forward

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/route"
)

// originRetryAfter is the Retry-After of a stream whose origin isn't known because other routers, or
// the store, didn't answer in time.
const originRetryAfter = 150 * time.Millisecond

// errOtherSoftware is the cause of a failed resumption at an upstream that isn't certain to have the
// software version that began the stream. It may have restarted since it was chosen.
var errOtherSoftware = eris.New("the upstream may have another software version than the one that began the stream")

// resumes reports whether the caller takes up a stream of which it has the beginning.
func (j *job) resumes() bool { return j.info.Resumes != "" || j.info.LastEventID > 0 }

// streamID returns the id by which the caller names the stream when it takes it up again: that of
// the attempt that brought the first event.
func (j *job) streamID() origin.StreamID {
	if j.resumes() {
		return origin.StreamID{Account: j.account, Attempt: j.info.Resumes}
	}
	return origin.StreamID{Account: j.account, Attempt: j.info.ID}
}

// callerTimeout returns the time from the request's arrival in which its caller may take up the
// stream again.
func (j *job) callerTimeout() time.Duration { return max(j.info.Timeout, j.route.Timeout) }

// findOrigin finds the software version that began the stream that the caller takes up again. It
// returns a refusal if nothing tells it, because a guess could join the output of two versions.
func (j *job) findOrigin(ctx context.Context) *refusal.Error {
	origins := j.handler.Origins
	if origins == nil || j.route.Kind != route.Streaming || !j.resumes() {
		return nil
	}
	began, err := origins.Find(ctx, j.service, j.streamID())
	if err == nil {
		j.began = began
		return nil
	}
	if ctx.Err() != nil {
		return j.contextRefusal(ctx)
	}
	refused := refusal.New(refusal.OriginUnknown, "it isn't known which software version began the stream", 0)
	refused.Cause = err
	var unknown *origin.UnknownError
	if errors.As(err, &unknown) && (unknown.Answered < unknown.Asked || unknown.IsUnconfirmed) {
		refused.RetryAfter = originRetryAfter
	}
	return refused
}

// recordOrigin records at the first event from an upstream that the stream began there, or goes on
// there. It returns an error, and the event must not be relayed, unless the upstream certainly has
// the version that began the stream.
func (j *job) recordOrigin(ticket home.Ticket) error {
	if j.eventSends == j.sends || j.handler.Origins == nil {
		return nil
	}
	isNew := j.eventCount == 0 && !j.resumes()
	software := j.handler.Origins.SoftwareOf(ticket.Upstream())
	if j.isProcessUnknown {
		software = ""
	}
	if !isNew && software != j.began.Software {
		return errOtherSoftware
	}
	if isNew {
		j.began = origin.Finding{Software: software, Source: origin.ThisAnswer}
	}
	j.handler.Origins.Record(time.Now(), origin.Stream{ID: j.streamID(), Service: j.service, Software: software}, j.arrived.Add(j.callerTimeout()))
	j.countResumption(software)
	j.eventSends = j.sends
	return nil
}

// countResumption counts a stream that goes on at an upstream.
func (j *job) countResumption(software fleet.SoftwareVersion) {
	by := origin.Router
	if j.eventCount == 0 {
		by = origin.Caller
	}
	if by == origin.Caller && !j.resumes() {
		return
	}
	j.handler.Metrics.ResumedStreams.WithLabelValues(string(by), string(origin.Compare(j.began.Software, software))).Inc()
}

// mayMove reports whether the request may go on at another upstream. An answer that has begun can
// only be continued as a stream, by the software version that began it.
func (j *job) mayMove() bool {
	if !j.headerSent {
		return true
	}
	isResumable := j.route.Kind == route.Streaming && j.route.Resumable
	return isResumable && (j.handler.Origins == nil || j.began.Software != "")
}

// identification returns whether the request may only be sent to the process that an upstream's entry describes. An
// upstream may restart with another version under its id and at its address.
func (j *job) identification() Identification {
	if j.handler.Origins == nil || j.route.Kind != route.Streaming {
		return NoIdentification
	}
	return j.handler.Origins.Identification(j.service, j.headerSent || j.resumes())
}
