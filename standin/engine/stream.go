package engine

import (
	"time"

	"nutmeglock.example/nutmeglock/timer"
)

// streamState is what became of a stream.
type streamState int

const (
	// alive streams still produce tokens.
	alive streamState = iota
	// complete streams hold their whole answer.
	complete
	// cancelled streams were ended by a router, or by their readers' absence.
	cancelled
	// lost streams went down with the engine.
	lost
)

// stream is one request on its way through the engine. The engine's lock guards it.
type stream struct {
	id        string
	requestID string
	prompt    prompt
	answer    answer
	prefill   int
	events    [][]byte
	state     streamState
	readers   int
	// idle ends the stream when no reader has come back.
	idle timer.Subscription
	// changed is closed and replaced each time that a reader has something new.
	changed chan struct{}
}

func newStream(id, requestID string, request chatRequest) *stream {
	p := newPrompt(request.Messages)
	return &stream{
		id: id, requestID: requestID, prompt: p,
		answer: newAnswer(request, p), changed: make(chan struct{}),
	}
}

// emit adds the next token, and the end of the stream after the last one.
func (s *stream) emit() {
	s.add(s.answer.chunk(len(s.events)))
	if len(s.events) < s.answer.tokens() {
		s.notify()
		return
	}
	s.add(s.answer.usageChunk())
	s.add([]byte("[DONE]"))
	s.end(complete)
}

func (s *stream) add(data []byte) {
	s.events = append(s.events, event(len(s.events)+1, data))
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// end gives a stream that is alive its last state. One that is complete can
// still be lost or cancelled, so that it is not resumed.
func (s *stream) end(state streamState) {
	if s.state == cancelled || s.state == lost {
		return
	}
	s.state = state
	s.notify()
}

// enter counts a reader in.
func (e *Engine) enter(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers++
	if s.idle != nil {
		s.idle.Cancel()
		s.idle = nil
	}
}

// leave counts a reader out. The last one leaves the stream to itself for the
// retention, or ends it when it has no id to resume it by.
func (e *Engine) leave(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers > 0 || s.state == lost {
		return
	}
	if s.id == "" {
		e.remove(s, cancelled)
		return
	}
	s.idle = e.options.Clock.After(e.options.Retention, func(time.Time) { e.expire(s) })
}

func (e *Engine) expire(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.readers == 0 {
		e.remove(s, cancelled)
	}
}

// look returns the events after a number, the state, and what is closed at the next change.
func (e *Engine) look(s *stream, after int) ([][]byte, streamState, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.events[min(after, len(s.events)):], s.state, s.changed
}
