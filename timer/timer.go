// Package timer gives the parts of a router one source of time that they
// subscribe to, so that a test can move time by hand.
package timer

import (
	"sync"
	"time"
)

// Service tells the time and calls its subscribers.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls fn each time that interval has passed, until the returned
	// subscription is cancelled. Calls of one subscription never overlap.
	Every(interval time.Duration, fn func(now time.Time)) Subscription
	// After calls fn once when delay has passed, unless the returned
	// subscription is cancelled before.
	After(delay time.Duration, fn func(now time.Time)) Subscription
}

// Subscription ends a subscription to a Service.
type Subscription interface {
	// Cancel ends the subscription. It returns without waiting for a call
	// that is under way, and may be called more than once.
	Cancel()
}

// System is the Service of the machine's clock. Its zero value works.
type System struct{}

// Now returns the machine's time.
func (System) Now() time.Time { return time.Now() }

// Every calls fn on a goroutine of its own, once per interval. A tick that
// comes while fn still runs is dropped.
func (System) Every(interval time.Duration, fn func(now time.Time)) Subscription {
	s := &systemSubscription{done: make(chan struct{})}
	go s.loop(interval, fn)
	return s
}

// After calls fn on a goroutine of its own.
func (System) After(delay time.Duration, fn func(now time.Time)) Subscription {
	return stopper{time.AfterFunc(delay, func() { fn(time.Now()) })}
}

type systemSubscription struct {
	once sync.Once
	done chan struct{}
}

func (s *systemSubscription) loop(interval time.Duration, fn func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			fn(now)
		}
	}
}

func (s *systemSubscription) Cancel() { s.once.Do(func() { close(s.done) }) }

type stopper struct{ timer *time.Timer }

func (s stopper) Cancel() { s.timer.Stop() }
