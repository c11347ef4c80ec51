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

// eventWriter writes events to a caller as they arrive.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, controller: http.NewResponseController(w)}
}

// write writes an event, and flushes it unless more events are available.
func (e *eventWriter) write(event stream.Event, more bool) error {
	if _, err := e.w.Write(event.Raw); err != nil || more {
		return err
	}
	return e.controller.Flush()
}

// writeError writes an error event without an id, which states why the stream
// ends early. A caller that ignores it still sees the connection closed
// before the last event.
func (e *eventWriter) writeError(ctx context.Context, request fleet.RequestID, cause error) {
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
	_ = e.controller.Flush()
}
