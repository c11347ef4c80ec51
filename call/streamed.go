package call

import (
	"context"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/claim"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/stream"
)

// resumeGrace is how long a resume token is valid after its request's deadline.
// Engines keep a stream without a reader for some ten seconds.
const resumeGrace = time.Minute

// relayStream relays a streamed answer. The header is written with the first
// event, so that another upstream can be tried if no event arrives.
func (a *upstreamAttempt) relayStream(ctx context.Context, answer *attempt.Answer) error {
	streamID := answer.Header.Get(attempt.StreamIDHeader)
	if streamID == "" {
		streamID = a.streamID
	}
	backoff := &resumeBackoff{runner: a.runner, deadline: a.request.Deadline}
	relay := &stream.Relay{Stream: a.streamID, Source: a.engineSource()}
	relay.MayReconnect = func(ctx context.Context, _ error) bool { return a.answerStarted && backoff.allow(ctx, relay.After) }
	sink := &streamSink{upstreamAttempt: a, answer: answer, out: newEventWriter(a.w)}
	err := relay.Run(ctx, &stream.Connection{Stream: streamID, Body: answer.Body}, sink)
	if err != nil {
		if a.answerStarted {
			sink.out.writeError(ctx, a.request.ID, err)
		}
		return err
	}
	a.storeAnswer(ctx, answer, sink.storedBody)
	if sink.callerErr != nil {
		return &stream.SinkError{Cause: sink.callerErr}
	}
	return nil
}

func (a *upstreamAttempt) engineSource() *engineSource {
	return &engineSource{client: a.runner.Client, request: a.request.ID, address: a.address, stream: a.streamID}
}

// issueResumeToken returns a resume token for the stream, or "" if none can be
// issued.
func (a *upstreamAttempt) issueResumeToken() string {
	if a.runner.Tokens == nil {
		return ""
	}
	token, err := a.runner.Tokens.Issue(&schema.ResumeToken{
		Account: a.request.Account.GetId(), Service: a.request.Service.GetId(),
		Upstream: a.slot.Upstream().GetId(), Address: a.address, Stream: a.streamID,
		ExpiresUnixMs: a.request.Deadline.Add(resumeGrace).UnixMilli(),
	})
	if err != nil {
		return ""
	}
	return token
}

// streamSink writes events to the caller and records their cost.
type streamSink struct {
	*upstreamAttempt
	answer *attempt.Answer
	out    *eventWriter
	// storedBody is the stream so far, if it is stored for repeats.
	storedBody []byte
	// callerErr is the first error of writing to the caller, for a stream that is
	// still read to its end in order to be stored.
	callerErr error
}

// Event writes one event.
func (s *streamSink) Event(event stream.Event, more bool) error {
	if !s.answerStarted {
		if token := s.issueResumeToken(); token != "" {
			s.w.Header().Set(ResumeTokenHeader, token)
		}
		s.writeHeader(s.answer)
	}
	s.recordCost(event)
	if s.claim == nil {
		return s.out.write(event, more)
	}
	if len(s.storedBody) <= claim.MaxStoredBody {
		s.storedBody = append(s.storedBody, event.Raw...)
	}
	if s.callerErr == nil {
		s.callerErr = s.out.write(event, more)
	}
	return nil
}

// recordCost adds the cost of an event and reports the total to the slot.
func (s *streamSink) recordCost(event stream.Event) {
	if event.Data == nil || event.IsLast() {
		return
	}
	if s.firstTokenLatency == 0 {
		s.firstTokenLatency = s.runner.now().Sub(s.sentAt)
	}
	if usage, ok := stream.ReadUsage(event.Data); ok {
		s.meter.setUsage(usage)
	} else {
		s.meter.output++
	}
	s.slot.ReportCost(s.meter.cost())
}
