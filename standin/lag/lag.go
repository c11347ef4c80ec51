// Package lag provides values whose changes become visible to readers after a
// delay, such as load reports and VM lists.
package lag

import "time"

// Value is a value with delayed visibility. Its zero value is unset and has no
// delay. It is not safe for concurrent use.
type Value[T any] struct {
	// Delay is the delay after which readers see a value that was set.
	Delay   time.Duration
	entries []entry[T]
}

type entry[T any] struct {
	setAt time.Time
	value T
}

// Set makes value visible after the delay. The first value is visible at once.
func (v *Value[T]) Set(now time.Time, value T) {
	v.prune(now)
	v.entries = append(v.entries, entry[T]{setAt: now, value: value})
}

// Get returns the value visible at now and the time at which it was set, or
// zero values if none was set.
func (v *Value[T]) Get(now time.Time) (T, time.Time) {
	v.prune(now)
	if len(v.entries) == 0 {
		var zero T
		return zero, time.Time{}
	}
	return v.entries[0].value, v.entries[0].setAt
}

// AsOf returns the latest time at which a value that readers see at now is
// known to have been current: now minus delay, or setAt if that is later.
func AsOf(now, setAt time.Time, delay time.Duration) time.Time {
	if latest := now.Add(-delay); latest.After(setAt) {
		return latest
	}
	return setAt
}

// prune drops the entries that a newer visible entry supersedes.
func (v *Value[T]) prune(now time.Time) {
	visible := 0
	for i, e := range v.entries {
		if !e.setAt.Add(v.Delay).After(now) {
			visible = i
		}
	}
	v.entries = v.entries[visible:]
}
