// Package control runs a router's control state on one goroutine, so that the
// decisions behind it need no locks and can be tested without any.
package control

import (
	"context"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/timer"
)

// Loop calls posted functions one after the other on the goroutine that runs
// it. Its zero value works.
type Loop struct {
	mu     sync.Mutex
	queue  []func()
	closed bool
	wake   chan struct{}
	idle   []func()
}

// New returns a Loop that calls each of idle whenever it has run all that
// was posted, so that the effects of many posts can be settled together.
func New(idle ...func()) *Loop { return &Loop{idle: idle} }

// Post hands fn to the loop and returns without waiting for it. It reports
// whether the loop will call fn, which it won't after Run has returned.
func (l *Loop) Post(fn func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.queue = append(l.queue, fn)
	select {
	case l.signal() <- struct{}{}:
	default:
	}
	return true
}

// signal returns the wake-up channel. The lock must be held.
func (l *Loop) signal() chan struct{} {
	if l.wake == nil {
		l.wake = make(chan struct{}, 1)
	}
	return l.wake
}

// Run calls what is posted until ctx ends, and returns the cause. Functions
// that were posted before the end are still called, so that nobody waits for
// an answer that never comes.
func (l *Loop) Run(ctx context.Context) error {
	l.mu.Lock()
	wake := l.signal()
	l.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			l.close()
			l.drain()
			return context.Cause(ctx)
		case <-wake:
			l.drain()
		}
	}
}

func (l *Loop) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

func (l *Loop) drain() {
	for {
		batch := l.take()
		if len(batch) == 0 {
			return
		}
		for _, fn := range batch {
			fn()
		}
		for _, fn := range l.idle {
			fn()
		}
	}
}

func (l *Loop) take() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue = nil
	return batch
}

// Every subscribes fn to the timer service and calls it on the loop.
func (l *Loop) Every(service timer.Service, interval time.Duration, fn func(now time.Time)) timer.Subscription {
	return service.Every(interval, func(now time.Time) { l.Post(func() { fn(now) }) })
}

// After subscribes fn for one call on the loop.
func (l *Loop) After(service timer.Service, delay time.Duration, fn func(now time.Time)) timer.Subscription {
	return service.After(delay, func(now time.Time) { l.Post(func() { fn(now) }) })
}
