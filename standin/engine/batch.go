package engine

import "time"

// submit queues a stream and starts the batch when it stood still. It returns
// false when the engine takes no new work.
func (e *Engine) submit(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	if s.requestID != "" {
		e.runs[s.requestID]++
	}
	if s.id != "" {
		e.streams[s.id] = s
	}
	e.queued = append(e.queued, s)
	e.admit()
	e.schedule()
	e.report()
	return true
}

// admit moves queued streams into the batch while it has room.
func (e *Engine) admit() {
	for len(e.queued) > 0 && len(e.running) < e.options.MaxBatch {
		s := e.queued[0]
		e.queued = e.queued[1:]
		s.prefill = s.prompt.tokens - e.cache.hit(s.prompt.blocks)*blockTokens
		e.running = append(e.running, s)
	}
}

// schedule plans the next step of the batch unless it is planned already.
func (e *Engine) schedule() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	step := e.options.StepBase + time.Duration(len(e.running))*e.options.StepSlope
	e.options.Clock.After(step, e.step)
}

// step gives each request of the batch one chunk of its prefill or one token.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepping = false
	remaining := e.running[:0]
	for _, s := range e.running {
		e.advance(now, s)
		if s.state == alive {
			remaining = append(remaining, s)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	e.admit()
	e.schedule()
	e.report()
}

func (e *Engine) advance(now time.Time, s *stream) {
	if s.state != alive {
		return
	}
	if s.prefill > 0 {
		s.prefill -= e.options.PrefillChunk
		if s.prefill <= 0 {
			e.cache.store(now, s.prompt.blocks)
		}
		return
	}
	s.emit()
}

// remove takes a stream out of the engine, whatever it is doing.
func (e *Engine) remove(s *stream, state streamState) {
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
	s.end(state)
	e.running = without(e.running, s)
	e.queued = without(e.queued, s)
	e.admit()
	e.report()
}

func without(streams []*stream, gone *stream) []*stream {
	kept := make([]*stream, 0, len(streams))
	for _, s := range streams {
		if s != gone {
			kept = append(kept, s)
		}
	}
	return kept
}
