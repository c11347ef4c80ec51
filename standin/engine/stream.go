package engine

import (
	"time"

	"nutmeglock.example/nutmeglock/timer"
)

// streamState is the state of a stream.
type streamState int

const (
	// active streams still produce tokens.
	active streamState = iota
	// complete streams hold their whole answer.
	complete
	// cancelled streams were ended by a router, or because no reader was connected.
	cancelled
	// lost streams ended when the engine crashed.
	lost
)

// stream is the state of one request. It is guarded by the engine's lock.
type stream struct {
	id          string
	requestID   string
	prompt      prompt
	answer      answer
	prefillLeft int
	events      [][]byte
	state       streamState
	readers     int
	// expiry removes the stream if no reader reconnects in time.
	expiry timer.Subscription
	// changed is closed and replaced whenever there is a new event or state.
	changed chan struct{}
}

func newStream(id, requestID string, request chatRequest) *stream {
	p := newPrompt(request.Messages)
	return &stream{
		id: id, requestID: requestID, prompt: p,
		answer: newAnswer(request, p), changed: make(chan struct{}),
	}
}

// emitToken adds the event of the next token, and ends the stream after the last one.
func (s *stream) emitToken() {
	s.addEvent(s.answer.tokenChunk(len(s.events)))
	if len(s.events) < s.answer.tokenCount() {
		s.notify()
		return
	}
	s.addEvent(s.answer.usageChunk())
	s.addEvent([]byte("[DONE]"))
	s.end(complete)
}

func (s *stream) addEvent(data []byte) {
	s.events = append(s.events, serverSentEvent(len(s.events)+1, data))
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// end sets the final state of a stream. A complete stream can still become lost
// or cancelled, so that it can't be resumed.
func (s *stream) end(state streamState) {
	if s.state == cancelled || s.state == lost {
		return
	}
	s.state = state
	s.notify()
}

// addReader counts a reader and stops the expiry.
func (e *Engine) addReader(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers++
	if s.expiry != nil {
		s.expiry.Cancel()
		s.expiry = nil
	}
}

// removeReader removes a reader from the count. After the last one, the stream
// expires after the retention, or at once if it has no id to resume it with.
func (e *Engine) removeReader(s *stream) {
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
	s.expiry = e.options.Clock.After(e.options.Retention, func(time.Time) { e.expire(s) })
}

func (e *Engine) expire(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.readers == 0 {
		e.remove(s, cancelled)
	}
}

// eventsAfter returns the events after a number, the state, and a channel that
// is closed at the next change.
func (e *Engine) eventsAfter(s *stream, after int) ([][]byte, streamState, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.events[min(after, len(s.events)):], s.state, s.changed
}
