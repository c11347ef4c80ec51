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

const (
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
)

// spacing puts pauses between the tries to reach an engine again.
type spacing struct {
	runner   *Runner
	deadline time.Time
	count    int
}

// allow reports whether a broken stream is asked for again, after a pause that
// doubles. It is asked as an idempotent request that was not run: reading the
// rest of a stream runs nothing, and no event goes out twice.
func (a *spacing) allow(ctx context.Context, _ error) bool {
	a.count++
	now := a.runner.now()
	if !a.runner.Retry.Allow(now, retry.Attempt{
		Count: a.count, Outcome: refusal.NotRun, Idempotent: true, Deadline: a.deadline,
	}) {
		return false
	}
	a.runner.countRetry(retry.StreamBroken)
	if a.count == 1 {
		return true
	}
	return a.runner.pause(ctx, min(maxPause, firstPause<<min(a.count, 10)))
}

// pause waits and reports false when ctx ends before.
func (r *Runner) pause(ctx context.Context, length time.Duration) bool {
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
