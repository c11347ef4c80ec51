package timer

import (
	"sync"
	"time"
)

// Fake is a Service whose time moves only by Advance. Its zero value starts
// at the zero time.
type Fake struct {
	mu   sync.Mutex
	now  time.Time
	subs []*fakeSubscription
}

// NewFake returns a Fake whose time is start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

type fakeSubscription struct {
	owner    *Fake
	next     time.Time
	interval time.Duration
	fn       func(now time.Time)
	dead     bool
}

// Now returns the time that Advance has reached.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Every subscribes fn. Advance calls it on the caller's goroutine.
func (f *Fake) Every(interval time.Duration, fn func(now time.Time)) Subscription {
	return f.add(interval, interval, fn)
}

// After subscribes fn for one call. Advance makes it on the caller's goroutine.
func (f *Fake) After(delay time.Duration, fn func(now time.Time)) Subscription {
	return f.add(delay, 0, fn)
}

func (f *Fake) add(delay, interval time.Duration, fn func(now time.Time)) Subscription {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &fakeSubscription{owner: f, next: f.now.Add(delay), interval: interval, fn: fn}
	f.subs = append(f.subs, s)
	return s
}

func (s *fakeSubscription) Cancel() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.dead = true
}

// Advance moves the time forward by d and calls each subscriber that falls due
// on the way, in the order of time and then of subscription.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	end := f.now.Add(d)
	f.mu.Unlock()
	for f.step(end) {
	}
	f.mu.Lock()
	f.now = end
	f.mu.Unlock()
}

// step calls the next subscriber that is due by end and reports whether there was one.
func (f *Fake) step(end time.Time) bool {
	f.mu.Lock()
	due := f.earliest(end)
	if due == nil {
		f.mu.Unlock()
		return false
	}
	f.now = due.next
	if due.interval > 0 {
		due.next = due.next.Add(due.interval)
	} else {
		due.dead = true
	}
	now, fn := f.now, due.fn
	f.mu.Unlock()
	fn(now)
	return true
}

func (f *Fake) earliest(end time.Time) *fakeSubscription {
	var due *fakeSubscription
	alive := f.subs[:0]
	for _, s := range f.subs {
		if s.dead {
			continue
		}
		alive = append(alive, s)
		if s.next.After(end) {
			continue
		}
		if due == nil || s.next.Before(due.next) {
			due = s
		}
	}
	f.subs = alive
	return due
}
