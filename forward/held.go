package forward

import (
	"context"
	"sync"
)

// shutdownState counts the requests in flight and holds the state of a graceful shutdown.
type shutdownState struct {
	mu                 sync.Mutex
	inFlight           int
	closingConnections bool
	refusing           bool
	idle               chan struct{}
}

func (h *shutdownState) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight++
}

func (h *shutdownState) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.inFlight == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
}

func (h *shutdownState) isClosingConnections() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closingConnections
}

func (h *shutdownState) isRefusing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusing
}

// whenIdle returns a channel that is closed once no request is in flight.
func (h *shutdownState) whenIdle() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.idle == nil {
		h.idle = make(chan struct{})
	}
	idle := h.idle
	if h.inFlight == 0 {
		close(h.idle)
		h.idle = nil
	}
	return idle
}

// DisableKeepAlives makes each answer close its connection, so that callers reconnect to another router.
// Requests are still served, because the balancer sends new connections here until it notices.
func (h *Handler) DisableKeepAlives() {
	h.shutdown.mu.Lock()
	defer h.shutdown.mu.Unlock()
	h.shutdown.closingConnections = true
}

// RefuseNew makes the handler refuse new requests as not run.
func (h *Handler) RefuseNew() {
	h.shutdown.mu.Lock()
	defer h.shutdown.mu.Unlock()
	h.shutdown.refusing = true
}

// Wait returns nil once no request is in flight, or the error of ctx.
func (h *Handler) Wait(ctx context.Context) error {
	select {
	case <-h.shutdown.whenIdle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int {
	h.shutdown.mu.Lock()
	defer h.shutdown.mu.Unlock()
	return h.shutdown.inFlight
}
