package call

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/stream"
)

// engineLink resumes one stream at its engine.
type engineLink struct {
	client  *attempt.Client
	request fleet.RequestID
	address string
	stream  string
}

// Resume asks the engine for the events after the one with id after.
func (l *engineLink) Resume(ctx context.Context, after stream.EventID) (*stream.Connection, error) {
	answer, err := l.client.Do(ctx, l.address, attempt.Request{
		ID: l.request, Method: http.MethodGet, Idempotent: true,
		Path: streamPath(l.stream) + "?after=" + strconv.FormatUint(uint64(after), 10),
	})
	if err != nil {
		return nil, err
	}
	switch {
	case answer.Status == http.StatusOK && eventStream(answer.Header):
		return &stream.Connection{Stream: answer.Header.Get(attempt.StreamIDHeader), Body: answer.Body}, nil
	case answer.Status == http.StatusNotFound:
		closeBody(answer.Body)
		return nil, &stream.GoneError{Stream: l.stream}
	default:
		closeBody(answer.Body)
		return nil, eris.Errorf("engine answered a resumption with status %d", answer.Status)
	}
}

func streamPath(id string) string { return "/v1/streams/" + id }

func closeBody(body io.Closer) { _ = body.Close() }

// pauses are the times before each try to reach an engine again after one
// break: a lost packet is mended at once, a link that flaps within seconds.
// Their sum stays below the ten seconds for which an engine keeps a stream
// without a reader.
var pauses = []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}

// spacing decides on the tries to reach an engine again.
type spacing struct {
	runner   *Runner
	deadline time.Time
	// tries counts those since the last event.
	tries int
	after stream.EventID
}

// allow reports whether a broken stream is asked for again, after a pause. The
// retry policy is asked once for each break: the further tries repeat a read
// that never reached the engine or ended at once, and add no work there.
// A connection that brought an event ends its break, or a long answer over a
// poor network would run out of tries although each break was mended.
func (a *spacing) allow(ctx context.Context, after stream.EventID) bool {
	if after > a.after {
		a.after, a.tries = after, 0
	}
	if a.tries == len(pauses) || (a.tries == 0 && !a.allowed()) {
		return false
	}
	a.tries++
	a.runner.countRetry(retry.StreamBroken)
	return a.runner.pause(ctx, pauses[a.tries-1])
}

func (a *spacing) allowed() bool {
	return a.runner.Retry.Allow(a.runner.now(), retry.Attempt{
		Count: 1, Outcome: refusal.Run, Resumable: true, AnswerStarted: true, Deadline: a.deadline,
	})
}

// pause waits and reports false when ctx ends before.
func (r *Runner) pause(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	over := make(chan struct{})
	wait := r.clock().After(length, func(time.Time) { close(over) })
	defer wait.Cancel()
	select {
	case <-over:
		return true
	case <-ctx.Done():
		return false
	}
}
