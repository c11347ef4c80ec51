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

func (s *shutdownState) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

func (s *shutdownState) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

func (s *shutdownState) isClosingConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closingConnections
}

func (s *shutdownState) isRefusing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusing
}

// whenIdle returns a channel that is closed once no request is in flight.
func (s *shutdownState) whenIdle() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	if s.inFlight == 0 {
		close(s.idle)
		s.idle = nil
	}
	return idle
}

// DisableKeepAlives makes each answer close its connection, so that callers reconnect to another
// router. Requests are still served, because the balancer sends new connections here until it
// notices.
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
