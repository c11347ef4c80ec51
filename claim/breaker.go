package claim

import (
	"sync"
	"time"
)

const (
	// breakerFailures is how many claims in a row have to fail to open the
	// breaker. One or two failures may be lost replies, which occur singly.
	breakerFailures = 3
	// breakerCooldown is the time from the last failure to the first probe, and
	// between two probes.
	breakerCooldown = time.Second
)

// breaker is a circuit breaker for claims on a table that is down or slow.
//
// While the table is down, which may last minutes, each claim takes its whole
// timeout and holds a slot of its service, so that calls without a claim get
// none either. With the breaker open, one claim a second probes the table and
// the others are refused at once, without being run. Its zero value is closed.
type breaker struct {
	mu        sync.Mutex
	failures  int
	openUntil time.Time
}

// ready reports whether a claim may be attempted at now.
func (b *breaker) ready(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures < breakerFailures || !now.Before(b.openUntil)
}

// allow does the same as ready, but admits only one claim per cooldown while the
// breaker is open.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	b.openUntil = now.Add(breakerCooldown)
	return true
}

// recordSuccess closes the breaker after a definite answer of the table.
func (b *breaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
}

func (b *breaker) recordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	b.openUntil = now.Add(breakerCooldown)
}
