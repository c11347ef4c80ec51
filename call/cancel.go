package call

import (
	"context"
	"net/http"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/fleet"
)

// cancelTimeout bounds a cancellation. If it fails, the engine drops the stream
// itself once nobody has read it for a while.
const cancelTimeout = 2 * time.Second

// cancelStream cancels a stream that nobody will read, so that it does not occupy
// a slot of its engine. It does not wait for the engine, since the caller has
// disconnected or is served by another upstream.
func (r *Runner) cancelStream(request fleet.RequestID, address, id string) {
	r.cancellations.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		answer, err := r.Client.Do(ctx, address, attempt.Request{
			ID: request, Method: http.MethodDelete, Path: streamPath(id), Idempotent: true,
		})
		if err == nil {
			closeBody(answer.Body)
		}
	})
}
