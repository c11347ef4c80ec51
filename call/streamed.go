package call

import (
	"context"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/claim"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/stream"
)

// resumeGrace is how long after its request's deadline a stream can be
// resumed. Engines keep a stream without a reader for some ten seconds.
const resumeGrace = time.Minute

// relayStream passes on a streamed answer. The header goes out with the first
// event, so that an answer without one can still be had from another upstream.
func (t *try) relayStream(ctx context.Context, answer *attempt.Answer) error {
	named := answer.Header.Get(attempt.StreamIDHeader)
	if named == "" {
		named = t.stream
	}
	again := &spacing{runner: t.runner, deadline: t.request.Deadline}
	relay := &stream.Relay{Stream: t.stream, Source: t.link()}
	relay.Again = func(ctx context.Context, _ error) bool { return t.started && again.allow(ctx, relay.After) }
	sink := &streamSink{try: t, answer: answer, out: newEventWriter(t.w)}
	err := relay.Run(ctx, &stream.Connection{Stream: named, Body: answer.Body}, sink)
	if err != nil {
		if t.started {
			sink.out.fail(ctx, t.request.ID, err)
		}
		return err
	}
	t.keepAnswer(ctx, answer, sink.kept)
	if sink.gone != nil {
		return &stream.SinkError{Cause: sink.gone}
	}
	return nil
}

func (t *try) link() *engineLink {
	return &engineLink{client: t.runner.Client, request: t.request.ID, address: t.address, stream: t.stream}
}

// token returns the stream's resume token, empty when none can be issued.
func (t *try) token() string {
	if t.runner.Tokens == nil {
		return ""
	}
	text, err := t.runner.Tokens.Issue(&schema.ResumeToken{
		Account: t.request.Account.GetId(), Service: t.request.Service.GetId(),
		Upstream: t.slot.Upstream().GetId(), Address: t.address, Stream: t.stream,
		ExpiresUnixMs: t.request.Deadline.Add(resumeGrace).UnixMilli(),
	})
	if err != nil {
		return ""
	}
	return text
}

// streamSink writes events to the caller and follows their cost.
type streamSink struct {
	*try
	answer *attempt.Answer
	out    *eventWriter
	// kept is the stream so far, if it is kept for repeats.
	kept []byte
	// gone is why the caller takes no more of a stream that is read to its end
	// all the same, to be kept.
	gone error
}

// Event writes one event.
func (s *streamSink) Event(event stream.Event, more bool) error {
	if !s.started {
		if token := s.token(); token != "" {
			s.w.Header().Set(ResumeTokenHeader, token)
		}
		s.writeHeader(s.answer)
	}
	s.charge(event)
	if s.claim == nil {
		return s.out.write(event, more)
	}
	if len(s.kept) <= claim.MaxKept {
		s.kept = append(s.kept, event.Raw...)
	}
	if s.gone == nil {
		s.gone = s.out.write(event, more)
	}
	return nil
}

func (s *streamSink) charge(event stream.Event) {
	if event.Data == nil || event.Last() {
		return
	}
	if s.firstToken == 0 {
		s.firstToken = s.runner.now().Sub(s.sent)
	}
	if usage, ok := stream.ReadUsage(event.Data); ok {
		s.meter.settle(usage)
	} else {
		s.meter.output++
	}
	s.slot.Progress(s.meter.cost())
}
