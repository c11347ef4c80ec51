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

// errNotResumed is the cause of a stream whose next upstream answered with
// something else than its rest.
var errNotResumed = eris.New("the stream was not resumed")

// relay passes a stream on, event by event. Only whole events go out: an
// upstream may stop in the middle of one.
func (j *job) relay(ctx context.Context, ticket home.Ticket, answer *upstream.Answer, watch *watch) *failure {
	events := stream.NewReader(answer.Body)
	for {
		event, err := events.Next()
		if err == nil {
			watch.heard()
			err = j.passEvent(ticket, answer, event, events.More())
			watch.passed(j.pause())
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			j.endStream(answer)
			ticket.End(time.Now(), turn.Served)
			return nil
		}
		return j.fail(ctx, ticket, &failure{reason: retry.StreamBroken, sent: true, cause: endOf(ctx, err), final: isFinal(err)})
	}
}

// endOf returns why a stream ended: what ended its context, if that has, since the error of the
// connection only shows that it was closed then.
func endOf(ctx context.Context, err error) error {
	if ctx.Err() == nil || isFinal(err) {
		return err
	}
	return context.Cause(ctx)
}

// isFinal reports whether another upstream can't mend what happened: events are
// missing, or the caller takes none.
func isFinal(err error) bool {
	var order *stream.OrderError
	var sink *stream.SinkError
	return errors.As(err, &order) || errors.As(err, &sink)
}

// pause returns how long the upstream may be silent between events.
func (j *job) pause() time.Duration {
	return time.Duration(pauseFactor*float64(j.route.MaxPause)) + pauseMargin
}

// passEvent passes one event on. One that the caller has already is left out; a
// gap after a resumption ends the stream, which would lack events.
func (j *job) passEvent(ticket home.Ticket, answer *upstream.Answer, event stream.Event, more bool) error {
	ticket.First(time.Now())
	id := uint64(event.ID)
	if id > 0 && j.last > 0 {
		if id <= j.last {
			return nil
		}
		if id != j.last+1 {
			return &stream.OrderError{Expected: stream.EventID(j.last + 1), Found: event.ID}
		}
	}
	j.begin(answer.Status, answer.Header, answer.Length)
	if id > 0 {
		j.last = id
	}
	j.events++
	if _, err := j.writer.Write(event.Raw); err != nil {
		return &stream.SinkError{Cause: err}
	}
	if more {
		return nil
	}
	return http.NewResponseController(j.writer).Flush()
}

// endStream sends the header of a stream that had no events.
func (j *job) endStream(answer *upstream.Answer) {
	j.begin(answer.Status, answer.Header, answer.Length)
}
