package call

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/claim"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/stream"
)

// relayStream passes on a streamed answer. The header goes out with the first
// event, so that an answer without one can still be had from another upstream.
func (t *try) relayStream(ctx context.Context, answer *attempt.Answer) error {
	named := answer.Header.Get(attempt.StreamIDHeader)
	if named == "" {
		named = t.stream
	}
	link := &engineLink{client: t.runner.Client, request: t.request.ID, address: t.address, stream: t.stream}
	again := &resumption{runner: t.runner, deadline: t.request.Deadline}
	relay := &stream.Relay{Stream: t.stream, Source: link, Again: func(ctx context.Context, cause error) bool {
		return t.started && again.allow(ctx, cause)
	}}
	sink := &streamSink{try: t, answer: answer}
	err := relay.Run(ctx, &stream.Connection{Stream: named, Body: answer.Body}, sink)
	switch {
	case err == nil:
		t.keepAnswer(ctx, answer, sink.kept)
		if sink.gone != nil {
			return &stream.SinkError{Cause: sink.gone}
		}
	case t.started:
		sink.fail(ctx, err)
	}
	return err
}

// streamSink writes events to the caller and follows their cost.
type streamSink struct {
	*try
	answer *attempt.Answer
	flush  *http.ResponseController
	// kept is the stream so far, if it is kept for repeats.
	kept []byte
	// gone is why the caller takes no more of a stream that is read to its end
	// all the same, to be kept.
	gone error
}

// Event writes one event.
func (s *streamSink) Event(event stream.Event, more bool) error {
	if !s.started {
		s.writeHeader(s.answer)
		s.flush = http.NewResponseController(s.w)
	}
	s.charge(event)
	if s.claim == nil {
		return s.write(event, more)
	}
	if len(s.kept) <= claim.MaxKept {
		s.kept = append(s.kept, event.Raw...)
	}
	if s.gone == nil {
		s.gone = s.write(event, more)
	}
	return nil
}

func (s *streamSink) write(event stream.Event, more bool) error {
	if _, err := s.w.Write(event.Raw); err != nil || more {
		return err
	}
	return s.flush.Flush()
}

// fail writes an event without an id that holds the refusal, so that a caller
// which reads events learns why its stream ends early. A caller that ignores
// it still sees the connection cut before the last event.
func (s *streamSink) fail(ctx context.Context, cause error) {
	var gone *stream.SinkError
	if errors.As(cause, &gone) || errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	refused := s.refuse(ctx, cause)
	body, err := protojson.Marshal(&schema.RefusalBody{Error: &schema.RefusalDetail{
		RequestId: string(s.request.ID), Outcome: string(refusal.Run), Reason: string(refused.Reason),
		Message: "The stream broke off and could not be resumed.",
	}})
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", body)
	_ = s.flush.Flush()
}

func (s *streamSink) charge(event stream.Event) {
	if event.Data == nil || event.Last() {
		return
	}
	if usage, ok := stream.ReadUsage(event.Data); ok {
		s.meter.settle(usage)
	} else {
		s.meter.output++
	}
	s.slot.Progress(s.meter.cost())
}

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

// resumption spaces the tries to reach an engine again.
type resumption struct {
	runner   *Runner
	deadline time.Time
	count    int
}

// allow reports whether a broken stream is asked for again, after a pause that
// doubles. It is asked as an idempotent request that was not run: reading the
// rest of a stream runs nothing, and no event goes out twice.
func (a *resumption) allow(ctx context.Context, _ error) bool {
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
