// Package fault defines the faults that a test can inject into a stand-in. A
// fault can be restricted to an operation, a key prefix and a number of operations.
package fault

import (
	"context"
	"strings"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/timer"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of fault. Each stand-in documents which of them it supports.
const (
	// Down fails the operation at once, without effect.
	Down Kind = "down"
	// Slow delays the operation. Writes to the platform and calls to an application
	// take effect even if the caller cancels them.
	Slow Kind = "slow"
	// RequestLost drops the operation without effect or reply.
	RequestLost Kind = "request-lost"
	// ReplyLost applies the operation and drops the reply.
	ReplyLost Kind = "reply-lost"
	// Late drops the reply at once and applies the operation after the delay.
	Late Kind = "late"
	// Stale makes a read return an older state.
	Stale Kind = "stale"
	// RefuseFull refuses the operation, without running it, for lack of capacity.
	RefuseFull Kind = "refuse-full"
	// RefuseDraining refuses the operation, without running it, as if draining.
	RefuseDraining Kind = "refuse-draining"
	// BreakAfterEvents aborts a stream's connection after a number of events.
	BreakAfterEvents Kind = "break-after-events"
)

// Fault describes a fault to inject. An empty Operation or Prefix matches all.
type Fault struct {
	Kind      Kind   `json:"kind"`
	Operation string `json:"operation,omitempty"`
	Prefix    string `json:"prefix,omitempty"`
	// Times is the number of operations that the fault applies to; zero means
	// all until it is cleared.
	Times int `json:"times,omitempty"`
	// DelayMs is the delay of Slow and Late, and the age of a Stale read, in milliseconds.
	DelayMs int `json:"delay-ms,omitempty"`
	// CommitsBehind is the number of commits that a Stale read is behind.
	CommitsBehind int `json:"commits,omitempty"`
	// AtCommit is the number, from one, of the commit whose state a Stale read
	// returns. It takes precedence over CommitsBehind and DelayMs.
	AtCommit int `json:"commit,omitempty"`
	// AfterEvents is the number of events after which BreakAfterEvents aborts the connection.
	AfterEvents int `json:"events,omitempty"`
}

// Delay returns DelayMs as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// Wait waits for the fault's delay. It returns the context's error if ctx ends first.
func (f Fault) Wait(ctx context.Context, clock timer.Service) error {
	return Wait(ctx, clock, f.Delay())
}

// Wait waits for delay on clock. It returns the context's error if ctx ends first.
func Wait(ctx context.Context, clock timer.Service, delay time.Duration) error {
	if delay <= 0 {
		return ctx.Err()
	}
	done := make(chan struct{})
	subscription := clock.After(delay, func(time.Time) { close(done) })
	defer subscription.Cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f Fault) matches(operation, key string) bool {
	if f.Operation != "" && f.Operation != operation {
		return false
	}
	return strings.HasPrefix(key, f.Prefix)
}

// List holds the active faults. The zero value is an empty list. It is safe for
// concurrent use.
type List struct {
	mu     sync.Mutex
	faults []Fault
}

// Set replaces the active faults. Without arguments it clears them.
func (l *List) Set(faults ...Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append([]Fault(nil), faults...)
}

// Add appends a fault to the active ones.
func (l *List) Add(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, f)
}

// All returns the active faults. Times is the number of operations left for each.
func (l *List) All() []Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Fault{}, l.faults...)
}

// Take returns the first fault that matches an operation on any of keys, and
// decrements its Times. It returns false if none matches.
func (l *List) Take(operation string, keys ...string) (Fault, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, f := range l.faults {
		if matchesAny(f, operation, keys) {
			l.consume(i)
			return f, true
		}
	}
	return Fault{}, false
}

func matchesAny(f Fault, operation string, keys []string) bool {
	if len(keys) == 0 {
		return f.matches(operation, "")
	}
	for _, key := range keys {
		if f.matches(operation, key) {
			return true
		}
	}
	return false
}

func (l *List) consume(i int) {
	switch l.faults[i].Times {
	case 0:
	case 1:
		l.faults = append(l.faults[:i:i], l.faults[i+1:]...)
	default:
		l.faults[i].Times--
	}
}

// SetRequest is the JSON body of PUT /faults at each stand-in. It replaces the
// active faults.
type SetRequest struct {
	Faults []Fault `json:"faults"`
}
