package timer

import (
	"sync"
	"time"
)

// Fake is a Service whose time changes only by Advance. Its zero value starts at the zero time.
type Fake struct {
	mu            sync.Mutex
	now           time.Time
	subscriptions []*fakeSubscription
}

// NewFake returns a Fake that starts at a time.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

type fakeSubscription struct {
	fake      *Fake
	due       time.Time
	interval  time.Duration
	fn        func(now time.Time)
	cancelled bool
}

// Now returns the time set by Advance.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Every subscribes fn to repeated calls, which Advance makes on its caller's goroutine.
func (f *Fake) Every(interval time.Duration, fn func(now time.Time)) Subscription {
	return f.subscribe(interval, interval, fn)
}

// After subscribes fn to a single call, which Advance makes on its caller's goroutine.
func (f *Fake) After(delay time.Duration, fn func(now time.Time)) Subscription {
	return f.subscribe(delay, 0, fn)
}

func (f *Fake) subscribe(delay, interval time.Duration, fn func(now time.Time)) Subscription {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &fakeSubscription{fake: f, due: f.now.Add(delay), interval: interval, fn: fn}
	f.subscriptions = append(f.subscriptions, s)
	return s
}

func (s *fakeSubscription) Cancel() {
	s.fake.mu.Lock()
	defer s.fake.mu.Unlock()
	s.cancelled = true
}

// Advance moves the time forward by d and calls the subscribers that become due, in order of time
// and then of subscription.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	end := f.now.Add(d)
	f.mu.Unlock()
	for f.callNext(end) {
	}
	f.mu.Lock()
	f.now = end
	f.mu.Unlock()
}

// callNext calls the next subscriber that is due by end. It returns false if there is none.
func (f *Fake) callNext(end time.Time) bool {
	f.mu.Lock()
	next := f.nextDue(end)
	if next == nil {
		f.mu.Unlock()
		return false
	}
	f.now = next.due
	if next.interval > 0 {
		next.due = next.due.Add(next.interval)
	} else {
		next.cancelled = true
	}
	now, fn := f.now, next.fn
	f.mu.Unlock()
	fn(now)
	return true
}

func (f *Fake) nextDue(end time.Time) *fakeSubscription {
	var next *fakeSubscription
	alive := f.subscriptions[:0]
	for _, s := range f.subscriptions {
		if s.cancelled {
			continue
		}
		alive = append(alive, s)
		if s.due.After(end) {
			continue
		}
		if next == nil || s.due.Before(next.due) {
			next = s
		}
	}
	f.subscriptions = alive
	return next
}
