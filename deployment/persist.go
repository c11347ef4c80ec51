package deployment

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// persistTimeout bounds one call to the platform, persistPause and
	// maxPersistPause the time between two.
	persistTimeout  = 1500 * time.Millisecond
	persistPause    = 200 * time.Millisecond
	maxPersistPause = 2 * time.Second
)

// persist makes a call until it succeeds or ctx ends, and reports whether it succeeded.
// Each error goes to failed.
func persist(ctx context.Context, call func(context.Context) error, failed func(error)) bool {
	pause := persistPause
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, persistTimeout)
		err := call(bounded)
		cancel()
		if err == nil {
			return true
		}
		failed(err)
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxPersistPause)
	}
	return false
}
