package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/stream"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

// errNotResumed is the cause of a failed resumption: the next upstream answered with something
// other than the rest of the stream.
var errNotResumed = eris.New("the stream was not resumed")

// relay relays a stream event by event. Only complete events are sent, because an upstream may
// break off in the middle of one.
func (j *job) relay(ctx context.Context, ticket home.Ticket, answer *upstream.Answer, watch *silenceWatch) *failure {
	events := stream.NewReader(answer.Body)
	var progress stream.Progress
	for {
		event, err := events.Next()
		if err == nil {
			err = progress.Record(event, j.isNewEvent(event))
		}
		if err == nil {
			watch.suspend()
			err = j.writeEvent(ticket, answer, event, events.HasBuffered())
			watch.resume(j.pauseLimit())
		}
		switch {
		case err == nil:
			continue
		case !errors.Is(err, io.EOF):
		case j.isEmptyStart(answer) || j.isCutOff(ctx, ticket, answer):
			err = io.ErrUnexpectedEOF
		default:
			j.endEmptyStream(answer)
			ticket.End(time.Now(), turn.Served)
			return nil
		}
		reason := retry.StreamBroken
		if isMalformed(err) {
			reason = retry.MalformedAnswer
		}
		return j.fail(ctx, ticket, &failure{reason: reason, sent: true, cause: endCause(ctx, err), final: isFinal(err)})
	}
}

// isNewEvent reports whether an event brings something that the caller doesn't have.
func (j *job) isNewEvent(event stream.Event) bool {
	if event.ID == 0 {
		return len(event.Data) > 0
	}
	return uint64(event.ID) > j.lastEventID
}

// isEmptyStart reports whether a stream has ended before its first event though nothing says that it is whole.
func (j *job) isEmptyStart(answer *upstream.Answer) bool {
	return answer.Unframed && j.progress.events == 0 && j.lastEventID == 0 && j.info.LastEventID == 0
}

// endCause returns why a stream ended. If its context has ended, that is the context's cause,
// because the connection's error then only shows that it was closed.
func endCause(ctx context.Context, err error) error {
	if ctx.Err() == nil || isFinal(err) {
		return err
	}
	return context.Cause(ctx)
}

// isFinal reports whether a retry at another upstream can't help: events are missing, or the caller
// accepts no more.
func isFinal(err error) bool {
	var order *stream.OrderError
	var sink *stream.SinkError
	return errors.As(err, &order) || errors.As(err, &sink)
}

// pauseLimit returns how long the upstream may be silent between events.
func (j *job) pauseLimit() time.Duration {
	return time.Duration(pauseFactor*float64(j.route.MaxPause)) + pauseMargin
}

// writeEvent sends one event to the caller. Events that the caller already has are skipped; a gap
// in the ids is an error. Output is flushed unless more is true.
func (j *job) writeEvent(ticket home.Ticket, answer *upstream.Answer, event stream.Event, more bool) error {
	now := time.Now()
	ticket.RecordFirstEvent(now)
	j.progress.addEvent(now)
	j.recordProgress(now)
	id := uint64(event.ID)
	if id > 0 && j.lastEventID > 0 {
		if id <= j.lastEventID {
			return nil
		}
		if id != j.lastEventID+1 {
			return &stream.OrderError{Expected: stream.EventID(j.lastEventID + 1), Found: event.ID}
		}
	}
	if err := j.recordOrigin(ticket); err != nil {
		return err
	}
	j.sendHeader(answer.Status, answer.Header, answer.Length)
	if id > 0 {
		j.lastEventID = id
	}
	j.eventCount++
	if _, err := j.writer.Write(event.Raw); err != nil {
		return &stream.SinkError{Cause: err}
	}
	if more {
		return nil
	}
	return http.NewResponseController(j.writer).Flush()
}

// endEmptyStream sends the header of a stream that had no events.
func (j *job) endEmptyStream(answer *upstream.Answer) {
	j.sendHeader(answer.Status, answer.Header, answer.Length)
}
