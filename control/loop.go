// Package control provides an event loop that runs all functions on a router's
// control state on one goroutine, so that the code needs no locks and can be
// tested without goroutines.
package control

import (
	"context"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/timer"
)

// Loop calls posted functions one after the other on the goroutine that calls
// Run. Its zero value is ready to use.
type Loop struct {
	mu     sync.Mutex
	queue  []func()
	closed bool
	wake   chan struct{}
	onIdle []func()
}

// New returns a Loop that calls each of onIdle after it has called all functions
// of the queue, so that the effects of many posts can be handled together.
func New(onIdle ...func()) *Loop { return &Loop{onIdle: onIdle} }

// Post queues fn without waiting for the call. It reports whether fn was queued,
// which is no longer possible once Run is returning.
func (l *Loop) Post(fn func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.queue = append(l.queue, fn)
	select {
	case l.wakeChannel() <- struct{}{}:
	default:
	}
	return true
}

// wakeChannel returns the wake channel and creates it if necessary. mu must be held.
func (l *Loop) wakeChannel() chan struct{} {
	if l.wake == nil {
		l.wake = make(chan struct{}, 1)
	}
	return l.wake
}

// Run calls posted functions until ctx ends, and returns the cause. Functions
// that are already queued by then are still called, so that callers waiting for
// their results don't block forever.
func (l *Loop) Run(ctx context.Context) error {
	l.mu.Lock()
	wake := l.wakeChannel()
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

// drain calls queued functions until the queue is empty.
func (l *Loop) drain() {
	for {
		batch := l.takeQueue()
		if len(batch) == 0 {
			return
		}
		for _, fn := range batch {
			fn()
		}
		for _, fn := range l.onIdle {
			fn()
		}
	}
}

// takeQueue empties the queue and returns its functions.
func (l *Loop) takeQueue() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue = nil
	return batch
}

// Every calls fn on the loop at each interval until the subscription is cancelled.
func (l *Loop) Every(service timer.Service, interval time.Duration, fn func(now time.Time)) timer.Subscription {
	return service.Every(interval, func(now time.Time) { l.Post(func() { fn(now) }) })
}

// After calls fn once on the loop after delay, unless the subscription is cancelled.
func (l *Loop) After(service timer.Service, delay time.Duration, fn func(now time.Time)) timer.Subscription {
	return service.After(delay, func(now time.Time) { l.Post(func() { fn(now) }) })
}
