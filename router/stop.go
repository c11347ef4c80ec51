package router

import (
	"context"
	"sync"
)

// held counts the requests that a router has in hand. Its zero value has none.
type held struct {
	mu       sync.Mutex
	count    int
	stopping bool
	// idle is closed once none is in hand; it is there while somebody waits.
	idle chan struct{}
}

// enter takes one more request in hand, or reports false when stopping.
func (h *held) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return false
	}
	h.count++
	return true
}

func (h *held) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count--
	if h.count == 0 && h.idle != nil {
		close(h.idle)
	}
}

// stop returns a channel that is closed once no request is in hand.
func (h *held) stop() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	if h.idle == nil {
		h.idle = make(chan struct{})
		if h.count == 0 {
			close(h.idle)
		}
	}
	return h.idle
}

// Stop makes the router refuse new requests as not run, and returns once those
// that it holds have ended, or with the error of ctx when that ends before.
//
// The address has to stay open meanwhile: were it closed at once, a caller that
// the balancer still sends here would see a connection refused, and could not
// know when to come back.
func (r *Router) Stop(ctx context.Context) error {
	select {
	case <-r.held.stop():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
