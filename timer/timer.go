// Package timer provides the current time and delayed or periodic calls. Tests use Fake, whose time
// they advance themselves.
package timer

import (
	"sync"
	"time"
)

// Service returns the current time and calls functions at set times.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls fn each time that interval has passed, until the returned subscription is
	// cancelled. Calls of one subscription never overlap.
	Every(interval time.Duration, fn func(now time.Time)) Subscription
	// After calls fn once after delay, unless the returned subscription is cancelled before.
	After(delay time.Duration, fn func(now time.Time)) Subscription
}

// Subscription stops the calls of a Service.
type Subscription interface {
	// Cancel ends the subscription. It doesn't wait for a call that is running, and may be called
	// more than once.
	Cancel()
}

// System is a Service that uses the system clock. Its zero value is ready to use.
type System struct{}

// Now returns the system time.
func (System) Now() time.Time { return time.Now() }

// Every calls fn on a new goroutine, once per interval. A tick is dropped if fn is still running.
func (System) Every(interval time.Duration, fn func(now time.Time)) Subscription {
	s := &systemSubscription{done: make(chan struct{})}
	go s.loop(interval, fn)
	return s
}

// After calls fn on a new goroutine.
func (System) After(delay time.Duration, fn func(now time.Time)) Subscription {
	return timerSubscription{time.AfterFunc(delay, func() { fn(time.Now()) })}
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

type timerSubscription struct{ timer *time.Timer }

func (s timerSubscription) Cancel() { s.timer.Stop() }
