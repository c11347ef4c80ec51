package quarantine

import (
	"sync"
	"time"
)

const (
	// trialWindow is the time in which the fleet may send one request of those whose term has ended.
	// It may do so in the first trialSlot of it; the rest is for the outcome to reach all routers.
	trialWindow = 4 * time.Second
	trialSlot   = 2 * time.Second
	// maxTrials is the number of trials that are remembered.
	maxTrials = 1024
)

// Decision tells whether a request may be sent.
type Decision struct {
	// Wait is how long the request is refused, zero if it may be sent.
	Wait time.Duration
	// Trial is the request's number of the trial window if it may only be sent as the trial of this
	// window, else zero. Windows are counted from 1.
	Trial int
}

// Check returns whether requests with a key may be sent: not during its term, and after that, on
// probation, one in each trial window.
func (l *Terms[K]) Check(now time.Time, key K) Decision {
	if left := l.Remaining(now, key); left > 0 {
		return Decision{Wait: left}
	}
	t, known := l.Find(now, key)
	if !known {
		return Decision{}
	}
	since := now.Sub(t.Until)
	if intoWindow := since % trialWindow; intoWindow >= trialSlot {
		return Decision{Wait: trialWindow - intoWindow}
	}
	return Decision{Trial: 1 + int(since/trialWindow)}
}

// NextTrial returns how long it takes until the next trial window.
func (l *Terms[K]) NextTrial(now time.Time, key K) time.Duration {
	if left := l.Remaining(now, key); left > 0 {
		return left
	}
	return trialWindow - max(now.Sub(l.terms[key].Until), 0)%trialWindow
}

// Trials remembers which trials were granted, by the id of what is tried. Its zero value is ready to
// use. It is safe for concurrent use.
type Trials struct {
	mu      sync.Mutex
	granted map[uint64]grantedTrial
}

// grantedTrial is the latest trial that was granted. Windows are counted anew in each term, and
// terms are longer than trialMemory apart.
type grantedTrial struct {
	window int
	at     time.Time
}

// trialMemory is how long a granted trial counts.
const trialMemory = 20 * time.Second

// IsGranted reports whether the trial of a window, or of a later one, was granted.
func (t *Trials) IsGranted(now time.Time, id uint64, window int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isGranted(now, id, window)
}

func (t *Trials) isGranted(now time.Time, id uint64, window int) bool {
	last, known := t.granted[id]
	return known && window <= last.window && now.Sub(last.at) < trialMemory
}

// Grant grants the trial of a window, once.
func (t *Trials) Grant(now time.Time, id uint64, window int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isGranted(now, id, window) {
		return false
	}
	if t.granted == nil || len(t.granted) >= maxTrials {
		t.granted = make(map[uint64]grantedTrial)
	}
	t.granted[id] = grantedTrial{window: window, at: now}
	return true
}
