package deployment

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// retryCallTimeout bounds one call to the platform. The pause between two calls grows from
	// initialRetryPause to maxRetryPause.
	retryCallTimeout  = 1500 * time.Millisecond
	initialRetryPause = 200 * time.Millisecond
	maxRetryPause     = 2 * time.Second
)

// retryUntilSuccess repeats a call until it succeeds or ctx ends, and reports whether it
// succeeded. It passes each error to onError.
func retryUntilSuccess(ctx context.Context, call func(context.Context) error, onError func(error)) bool {
	pause := initialRetryPause
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, retryCallTimeout)
		err := call(callCtx)
		cancel()
		if err == nil {
			return true
		}
		onError(err)
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxRetryPause)
	}
	return false
}
