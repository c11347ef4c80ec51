// Package fault holds the faults that a test orders from a stand-in: by the
// kind of operation, by the beginning of the key that it touches, and for how
// many operations.
package fault

import (
	"context"
	"strings"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/timer"
)

// Kind is what goes wrong.
type Kind string

// The kinds of fault. Each stand-in documents which of them it plays.
const (
	// Down refuses the operation at once, without effect.
	Down Kind = "down"
	// Slow delays the operation, which still takes effect when its caller has gone.
	Slow Kind = "slow"
	// RequestLost drops the operation without effect and without a reply.
	RequestLost Kind = "request-lost"
	// ReplyLost lets the operation take effect and loses the reply.
	ReplyLost Kind = "reply-lost"
	// Late loses the reply at once and lets the operation take effect after the delay.
	Late Kind = "late"
	// Stale answers a read with an older state.
	Stale Kind = "stale"
	// RefuseFull refuses the operation unrun because there is no room.
	RefuseFull Kind = "refuse-full"
	// RefuseDraining refuses the operation unrun because the stand-in is leaving.
	RefuseDraining Kind = "refuse-draining"
	// BreakAfterEvents breaks a stream's connection after a number of events.
	BreakAfterEvents Kind = "break-after-events"
)

// Fault is one order. The zero value of Operation and Prefix matches all.
type Fault struct {
	Kind      Kind   `json:"kind"`
	Operation string `json:"operation,omitempty"`
	Prefix    string `json:"prefix,omitempty"`
	// Times is for how many operations the fault holds; zero means until it is cleared.
	Times int `json:"times,omitempty"`
	// DelayMs is the delay of Slow and Late, and the age of a Stale read, in milliseconds.
	DelayMs int `json:"delay-ms,omitempty"`
	// Commits is how many commits a Stale read is behind.
	Commits int `json:"commits,omitempty"`
	// Commit is the number of the commit whose state a Stale read sees, counted
	// from one. It goes before Commits and DelayMs.
	Commit int `json:"commit,omitempty"`
	// Events is the number of events before BreakAfterEvents breaks the connection.
	Events int `json:"events,omitempty"`
}

// Delay returns DelayMs as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// Wait returns after the fault's delay. It fails with the context's error when ctx ends before.
func (f Fault) Wait(ctx context.Context, clock timer.Service) error {
	return Wait(ctx, clock, f.Delay())
}

// Wait returns after delay by clock. It fails with the context's error when ctx ends before.
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

// List is the faults in force. Its zero value is empty and ready to use.
type List struct {
	mu     sync.Mutex
	faults []Fault
}

// Set replaces the faults in force. Without arguments it clears them.
func (l *List) Set(faults ...Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append([]Fault(nil), faults...)
}

// Add puts a fault behind those in force.
func (l *List) Add(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, f)
}

// All returns the faults in force, with the number of times that is left of each.
func (l *List) All() []Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Fault{}, l.faults...)
}

// Take returns the first fault that holds for an operation on any of keys, and
// uses up one of its times. It returns false when there is none.
func (l *List) Take(operation string, keys ...string) (Fault, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, f := range l.faults {
		if matchesAny(f, operation, keys) {
			l.use(i)
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

func (l *List) use(i int) {
	switch l.faults[i].Times {
	case 0:
	case 1:
		l.faults = append(l.faults[:i:i], l.faults[i+1:]...)
	default:
		l.faults[i].Times--
	}
}

// Orders is the JSON body of PUT /faults at each stand-in. It replaces the
// faults in force.
type Orders struct {
	Faults []Fault `json:"faults"`
}
