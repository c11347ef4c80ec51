package engine

import "time"

// submit queues a stream and starts the batch if it is idle. It returns false
// if the engine is draining.
func (e *Engine) submit(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	if s.requestID != "" {
		e.runCounts[s.requestID]++
	}
	if s.id != "" {
		e.streams[s.id] = s
	}
	e.queue = append(e.queue, s)
	e.fillBatch()
	e.scheduleStep()
	e.updateLoad()
	return true
}

// fillBatch moves queued streams into the batch until it is full.
func (e *Engine) fillBatch() {
	for len(e.queue) > 0 && len(e.batch) < e.options.MaxBatch {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.prefillLeft = s.prompt.tokens - e.cache.cachedBlocks(s.prompt.blockHashes)*blockTokens
		e.batch = append(e.batch, s)
	}
}

// scheduleStep schedules the next step of the batch unless one is scheduled.
func (e *Engine) scheduleStep() {
	if e.stepScheduled || len(e.batch) == 0 {
		return
	}
	e.stepScheduled = true
	step := e.options.StepBase + time.Duration(len(e.batch))*e.options.StepPerRequest
	e.options.Clock.After(step, e.step)
}

// step processes one prefill chunk or produces one token for each request of the batch.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepScheduled = false
	remaining := e.batch[:0]
	for _, s := range e.batch {
		e.advanceStream(now, s)
		if s.state == active {
			remaining = append(remaining, s)
		}
	}
	clear(e.batch[len(remaining):])
	e.batch = remaining
	e.fillBatch()
	e.scheduleStep()
	e.updateLoad()
}

func (e *Engine) advanceStream(now time.Time, s *stream) {
	if s.state != active {
		return
	}
	if s.prefillLeft > 0 {
		s.prefillLeft -= e.options.PrefillChunk
		if s.prefillLeft <= 0 {
			e.cache.add(now, s.prompt.blockHashes)
		}
		return
	}
	s.emitToken()
}

// remove ends a stream and removes it from the engine, whatever its state.
func (e *Engine) remove(s *stream, state streamState) {
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
	s.end(state)
	e.batch = without(e.batch, s)
	e.queue = without(e.queue, s)
	e.fillBatch()
	e.updateLoad()
}

func without(streams []*stream, removed *stream) []*stream {
	remaining := make([]*stream, 0, len(streams))
	for _, s := range streams {
		if s != removed {
			remaining = append(remaining, s)
		}
	}
	return remaining
}
