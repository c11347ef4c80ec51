package forward

import (
	"context"
	"sync"
)

// held counts the requests in hand, and knows how far a shutdown has come.
type held struct {
	mu       sync.Mutex
	count    int
	leaving  bool
	refusing bool
	idle     chan struct{}
}

func (h *held) enter() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
}

func (h *held) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count--
	if h.count == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
}

func (h *held) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

func (h *held) isRefusing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusing
}

// whenIdle returns a channel that is closed once no request is in hand.
func (h *held) whenIdle() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.idle == nil {
		h.idle = make(chan struct{})
	}
	idle := h.idle
	if h.count == 0 {
		close(h.idle)
		h.idle = nil
	}
	return idle
}

// Leave makes each answer ask its caller to connect elsewhere. Requests are
// still served: the balancer sends new connections here until it has noticed.
func (h *Handler) Leave() {
	h.held.mu.Lock()
	defer h.held.mu.Unlock()
	h.held.leaving = true
}

// Refuse makes the handler refuse new requests as not run.
func (h *Handler) Refuse() {
	h.held.mu.Lock()
	defer h.held.mu.Unlock()
	h.held.refusing = true
}

// Wait returns once no request is in hand, or with the error of ctx.
func (h *Handler) Wait(ctx context.Context) error {
	select {
	case <-h.held.whenIdle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InHand returns the number of requests in hand.
func (h *Handler) InHand() int {
	h.held.mu.Lock()
	defer h.held.mu.Unlock()
	return h.held.count
}
