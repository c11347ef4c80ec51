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

// engineSource is the stream.Source of one stream; it resumes it at its engine.
type engineSource struct {
	client  *attempt.Client
	request fleet.RequestID
	address string
	stream  string
}

// Resume requests the events after the one with id after from the engine.
func (s *engineSource) Resume(ctx context.Context, after stream.EventID) (*stream.Connection, error) {
	answer, err := s.client.Do(ctx, s.address, attempt.Request{
		ID: s.request, Method: http.MethodGet, Idempotent: true,
		Path: streamPath(s.stream) + "?after=" + strconv.FormatUint(uint64(after), 10),
	})
	if err != nil {
		return nil, err
	}
	switch {
	case answer.Status == http.StatusOK && isEventStream(answer.Header):
		return &stream.Connection{Stream: answer.Header.Get(attempt.StreamIDHeader), Body: answer.Body}, nil
	case answer.Status == http.StatusNotFound:
		closeBody(answer.Body)
		return nil, &stream.GoneError{Stream: s.stream}
	default:
		closeBody(answer.Body)
		return nil, eris.Errorf("resume stream: engine answered with status %d", answer.Status)
	}
}

func streamPath(id string) string { return "/v1/streams/" + id }

func closeBody(body io.Closer) { _ = body.Close() }

// resumeDelays are the delays before the tries to resume a stream after one
// break: the first for a lost packet, the others for a link that flaps for
// seconds. Their sum must stay below the ten seconds for which an engine keeps a
// stream without a reader.
var resumeDelays = []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}

// resumeBackoff decides whether and when a broken stream is resumed.
type resumeBackoff struct {
	runner   *Runner
	deadline time.Time
	// tries counts the tries since lastEvent.
	tries     int
	lastEvent stream.EventID
}

// allow reports whether to resume a broken stream, after a delay. It consults the
// retry policy only once per break: further tries repeat a read that did not
// reach the engine or ended at once, and add no work there. A connection that
// delivered an event resets the tries, or a long answer over a poor network
// would run out of them although each break was repaired.
func (b *resumeBackoff) allow(ctx context.Context, after stream.EventID) bool {
	if after > b.lastEvent {
		b.lastEvent, b.tries = after, 0
	}
	if b.tries == len(resumeDelays) || (b.tries == 0 && !b.policyAllows()) {
		return false
	}
	b.tries++
	b.runner.countRetry(retry.StreamBroken)
	return b.runner.sleep(ctx, resumeDelays[b.tries-1])
}

func (b *resumeBackoff) policyAllows() bool {
	return b.runner.Retry.Allow(b.runner.now(), retry.Attempt{
		Number: 1, Outcome: refusal.Run, Resumable: true, AnswerStarted: true, Deadline: b.deadline,
	})
}

// sleep waits for length and reports false if ctx ends first.
func (r *Runner) sleep(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	expired := make(chan struct{})
	subscription := r.clock().After(length, func(time.Time) { close(expired) })
	defer subscription.Cancel()
	select {
	case <-expired:
		return true
	case <-ctx.Done():
		return false
	}
}
