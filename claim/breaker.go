package claim

import (
	"sync"
	"time"
)

const (
	// breakerFailures is how many claims in a row fail before the table counts
	// as down. One or two are lost replies, which come singly.
	breakerFailures = 3
	// breakerPause is how long no claim is tried then, and the time between
	// two claims that try whether the table is back.
	breakerPause = time.Second
)

// breaker keeps claims from waiting for a table that is down or slow.
//
// The pattern of load is a stretch of minutes in which each claim takes its
// whole timeout. Each holds a slot of its service meanwhile, so that the
// service stands still for calls that need no claim too. With the breaker one
// claim a second waits, and the others are refused at once and unrun. Its zero
// value is closed.
type breaker struct {
	mu       sync.Mutex
	failures int
	until    time.Time
}

// closed reports whether a claim may be tried at now.
func (b *breaker) closed(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures < breakerFailures || !now.Before(b.until)
}

// try reports the same, and lets only one claim through in each pause.
func (b *breaker) try(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	b.until = now.Add(breakerPause)
	return true
}

// answered takes note that the table gave a definite answer.
func (b *breaker) answered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
}

func (b *breaker) failed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	b.until = now.Add(breakerPause)
}
