package call

import (
	"context"
	"net/http"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/fleet"
)

// cancelTimeout bounds a cancellation. An engine that does not take it in time
// drops the stream by itself when nobody has read it for a while.
const cancelTimeout = 2 * time.Second

// cancelStream tells an engine to stop a stream that nobody will read. It does
// not wait: the caller is gone or is being served elsewhere. Without it an
// engine spends its slots on answers that go nowhere.
func (r *Runner) cancelStream(request fleet.RequestID, address, id string) {
	r.cancels.Go(func() {
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
