// Package lag holds values that readers see later than writers set them, as
// load reports and VM lists do.
package lag

import "time"

// Value is a value with a lag. Its zero value is empty and without lag. It is
// not safe for concurrent use.
type Value[T any] struct {
	// By is how much later readers see what was set.
	By      time.Duration
	entries []entry[T]
}

type entry[T any] struct {
	at    time.Time
	value T
}

// Set makes value visible from now plus the lag. The first value is visible at once.
func (v *Value[T]) Set(now time.Time, value T) {
	v.prune(now)
	v.entries = append(v.entries, entry[T]{at: now, value: value})
}

// Get returns the value that is visible at now and when it was set, or the
// zero value when nothing was set.
func (v *Value[T]) Get(now time.Time) (T, time.Time) {
	v.prune(now)
	if len(v.entries) == 0 {
		var zero T
		return zero, time.Time{}
	}
	return v.entries[0].value, v.entries[0].at
}

// TakenAt returns when a reader's value was taken that was set at a time: a
// value that has not changed since is as good as one that was taken a lag ago.
func TakenAt(now, set time.Time, by time.Duration) time.Time {
	if taken := now.Add(-by); taken.After(set) {
		return taken
	}
	return set
}

// prune drops the entries that a newer visible one replaces.
func (v *Value[T]) prune(now time.Time) {
	visible := 0
	for i, e := range v.entries {
		if !e.at.Add(v.By).After(now) {
			visible = i
		}
	}
	v.entries = v.entries[visible:]
}
