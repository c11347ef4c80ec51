package call

import (
	"context"
	"fmt"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/stream"
)

// eventWriter writes events to a caller as they come.
type eventWriter struct {
	w     http.ResponseWriter
	flush *http.ResponseController
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, flush: http.NewResponseController(w)}
}

// write sends an event on, and flushes it unless another is at hand.
func (e *eventWriter) write(event stream.Event, more bool) error {
	if _, err := e.w.Write(event.Raw); err != nil || more {
		return err
	}
	return e.flush.Flush()
}

// fail writes an event without an id that holds the refusal, so that a caller
// which reads events learns why its stream ends early. A caller that ignores
// it still sees the connection cut before the last event.
func (e *eventWriter) fail(ctx context.Context, request fleet.RequestID, cause error) {
	reason := reasonOf(ctx, cause)
	if reason == refusal.CallerGone {
		return
	}
	body, err := protojson.Marshal(&schema.RefusalBody{Error: &schema.RefusalDetail{
		RequestId: string(request), Outcome: string(refusal.Run), Reason: string(reason),
		Message: "The stream broke off and could not be resumed.",
	}})
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(e.w, "event: error\ndata: %s\n\n", body)
	_ = e.flush.Flush()
}
