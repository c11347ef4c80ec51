package call

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/stream"
)

// maxBufferedAnswer is the size up to which an answer is buffered before it is
// written, in bytes. If such an answer is cut off, another upstream can be tried.
const maxBufferedAnswer = 1 << 20

// copyBufferSize is the size of the buffer for copying an answer, in bytes.
const copyBufferSize = 32 << 10

// relayWhole relays an answer that is not an event stream. A model's answer is
// buffered until it is complete, because its usage is at its end and a part is
// of no use to a caller; so is an answer that is stored for repeats. Other
// answers of plain services are written as they arrive.
func (a *upstreamAttempt) relayWhole(ctx context.Context, answer *attempt.Answer) error {
	if !a.request.isModel() && a.claim == nil {
		return a.copyAnswer(answer, answer.Body)
	}
	buffered, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswer))
	if err != nil {
		return err
	}
	if len(buffered) == maxBufferedAnswer {
		return a.copyAnswer(answer, io.MultiReader(bytes.NewReader(buffered), answer.Body))
	}
	if usage, ok := stream.ReadUsage(buffered); ok {
		a.meter.setUsage(usage)
	}
	a.storeAnswer(ctx, answer, buffered)
	return a.copyAnswer(answer, bytes.NewReader(buffered))
}

// copyAnswer writes the header and copies body to the caller.
func (a *upstreamAttempt) copyAnswer(answer *attempt.Answer, body io.Reader) error {
	a.writeHeader(answer)
	flusher := http.NewResponseController(a.w)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := a.w.Write(buffer[:n]); writeErr != nil {
				return &stream.SinkError{Cause: writeErr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		_ = flusher.Flush()
	}
}

// writeHeader writes the answer's header; from then on the request can't be
// retried.
func (a *upstreamAttempt) writeHeader(answer *attempt.Answer) {
	attempt.StripHopByHop(answer.Header)
	header := a.w.Header()
	for name, values := range answer.Header {
		if name != attempt.RequestIDHeader && name != attempt.StreamIDHeader {
			header[name] = values
		}
	}
	a.answerStarted = true
	a.w.WriteHeader(answer.Status)
	a.runner.countFirstByte(a.request, a.runner.now().Sub(a.arrived))
}
