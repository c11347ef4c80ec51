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

// maxHeld bounds what is held of a whole answer before it goes out, in bytes.
// An answer within it that breaks off can be fetched from another upstream.
const maxHeld = 1 << 20

const copyBuffer = 32 << 10

// relayWhole passes on an answer that is no event stream. A model's answer is
// held until it is whole, since its usage stands at its end and a caller can
// do nothing with a part; so is one that is kept for repeats. Other answers of
// plain services go out as they arrive.
func (t *try) relayWhole(ctx context.Context, answer *attempt.Answer) error {
	if !t.request.model() && t.claim == nil {
		return t.pass(answer, answer.Body)
	}
	held, err := io.ReadAll(io.LimitReader(answer.Body, maxHeld))
	if err != nil {
		return err
	}
	if len(held) == maxHeld {
		return t.pass(answer, io.MultiReader(bytes.NewReader(held), answer.Body))
	}
	if usage, ok := stream.ReadUsage(held); ok {
		t.meter.settle(usage)
	}
	t.keepAnswer(ctx, answer, held)
	return t.pass(answer, bytes.NewReader(held))
}

// pass writes the header and copies body to the caller.
func (t *try) pass(answer *attempt.Answer, body io.Reader) error {
	t.writeHeader(answer)
	flusher := http.NewResponseController(t.w)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := t.w.Write(buffer[:n]); writeErr != nil {
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

// writeHeader sends the answer's header; after it the request can't be repeated.
func (t *try) writeHeader(answer *attempt.Answer) {
	attempt.StripHopByHop(answer.Header)
	header := t.w.Header()
	for name, values := range answer.Header {
		if name != attempt.RequestIDHeader && name != attempt.StreamIDHeader {
			header[name] = values
		}
	}
	t.started = true
	t.w.WriteHeader(answer.Status)
	t.runner.countFirstByte(t.request, t.runner.now().Sub(t.arrived))
}
