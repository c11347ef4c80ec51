package router

import (
	"context"
	"sync"
)

// activeRequests counts the requests that are being served. The zero value is
// ready to use.
type activeRequests struct {
	mu       sync.Mutex
	count    int
	stopping bool
	// idle is closed when count reaches zero. It is nil until drain is called.
	idle chan struct{}
}

// begin adds a request. It returns false while the router is stopping.
func (a *activeRequests) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return false
	}
	a.count++
	return true
}

// end removes a request that begin has added.
func (a *activeRequests) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.count == 0 && a.idle != nil {
		close(a.idle)
	}
}

// drain makes begin refuse requests, and returns a channel that is closed when
// none is active.
func (a *activeRequests) drain() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
	if a.idle == nil {
		a.idle = make(chan struct{})
		if a.count == 0 {
			close(a.idle)
		}
	}
	return a.idle
}

// Stop makes the router refuse new requests as not run. It returns when all
// active requests have ended, or ctx.Err() if ctx ends first.
//
// The listener must stay open meanwhile. Otherwise callers that the load
// balancer still routes here would get a refused connection in place of a
// refusal that states when to retry.
func (r *Router) Stop(ctx context.Context) error {
	select {
	case <-r.active.drain():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
