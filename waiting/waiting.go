// Package waiting holds requests that wait for their turn.
//
// It answers bursts, in which thousands of requests wait and most of the
// changes are not at a queue's head: callers hang up, deadlines pass. A queue
// that finds a request by looking through all of them spends its time on
// those that leave rather than those that are served.
package waiting

import (
	"container/heap"
	"time"
)

// Queue holds values in order of arrival for each key, and knows the deadline
// of each. Its zero value is ready to use. It is used by one goroutine.
type Queue[K comparable, V any] struct {
	lines     map[K]*line[K, V]
	deadlines deadlines[K, V]
}

// Item is one value that waits.
type Item[K comparable, V any] struct {
	key      K
	value    V
	since    time.Time
	deadline time.Time

	previous, next *Item[K, V]
	// place is the position among the deadlines plus one; zero when the item
	// is not queued.
	place int
}

// Key returns what the item waits under.
func (i *Item[K, V]) Key() K { return i.key }

// Value returns what waits.
func (i *Item[K, V]) Value() V { return i.value }

// Since returns when the item began to wait.
func (i *Item[K, V]) Since() time.Time { return i.since }

// Deadline returns when the item is to be given up; the zero time for never.
func (i *Item[K, V]) Deadline() time.Time { return i.deadline }

// line is what waits under one key, oldest first.
type line[K comparable, V any] struct {
	head, tail *Item[K, V]
	length     int
}

// Push adds value behind all others of key, and returns its item. A zero
// deadline never passes.
func (q *Queue[K, V]) Push(key K, value V, since, deadline time.Time) *Item[K, V] {
	if q.lines == nil {
		q.lines = make(map[K]*line[K, V])
	}
	l := q.lines[key]
	if l == nil {
		l = &line[K, V]{}
		q.lines[key] = l
	}
	item := &Item[K, V]{key: key, value: value, since: since, deadline: deadline, previous: l.tail}
	if l.tail == nil {
		l.head = item
	} else {
		l.tail.next = item
	}
	l.tail = item
	l.length++
	heap.Push(&q.deadlines, item)
	return item
}

// Remove takes an item out in O(log n) and reports whether it was queued.
func (q *Queue[K, V]) Remove(item *Item[K, V]) bool {
	if item == nil || item.place == 0 {
		return false
	}
	heap.Remove(&q.deadlines, item.place-1)
	l := q.lines[item.key]
	if item.previous == nil {
		l.head = item.next
	} else {
		item.previous.next = item.next
	}
	if item.next == nil {
		l.tail = item.previous
	} else {
		item.next.previous = item.previous
	}
	item.previous, item.next = nil, nil
	l.length--
	if l.length == 0 {
		delete(q.lines, item.key)
	}
	return true
}

// Head returns the item of key that has waited longest, nil when none waits.
func (q *Queue[K, V]) Head(key K) *Item[K, V] {
	if l := q.lines[key]; l != nil {
		return l.head
	}
	return nil
}

// Next returns the item behind this one under the same key, nil at the end.
func (i *Item[K, V]) Next() *Item[K, V] { return i.next }

// Pop removes and returns the item of key that has waited longest, nil when
// none waits.
func (q *Queue[K, V]) Pop(key K) *Item[K, V] {
	item := q.Head(key)
	q.Remove(item)
	return item
}

// Len returns how many items wait under key.
func (q *Queue[K, V]) Len(key K) int {
	if l := q.lines[key]; l != nil {
		return l.length
	}
	return 0
}

// Total returns how many items wait.
func (q *Queue[K, V]) Total() int { return len(q.deadlines) }

// Expire removes and returns the items whose deadline is not after now, the
// earliest deadline first.
func (q *Queue[K, V]) Expire(now time.Time) []*Item[K, V] {
	var expired []*Item[K, V]
	for len(q.deadlines) > 0 {
		first := q.deadlines[0]
		if first.deadline.IsZero() || first.deadline.After(now) {
			break
		}
		q.Remove(first)
		expired = append(expired, first)
	}
	return expired
}

// NextDeadline returns the earliest deadline, and false when there is none.
func (q *Queue[K, V]) NextDeadline() (time.Time, bool) {
	if len(q.deadlines) == 0 || q.deadlines[0].deadline.IsZero() {
		return time.Time{}, false
	}
	return q.deadlines[0].deadline, true
}

// deadlines is a heap of all items, the earliest deadline first and items
// without one last.
type deadlines[K comparable, V any] []*Item[K, V]

func (d deadlines[K, V]) Len() int { return len(d) }

func (d deadlines[K, V]) Less(i, j int) bool {
	if d[i].deadline.IsZero() || d[j].deadline.IsZero() {
		return !d[i].deadline.IsZero()
	}
	return d[i].deadline.Before(d[j].deadline)
}

func (d deadlines[K, V]) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i+1, j+1
}

// Push is called by container/heap.
func (d *deadlines[K, V]) Push(x any) {
	item := x.(*Item[K, V])
	*d = append(*d, item)
	item.place = len(*d)
}

// Pop is called by container/heap.
func (d *deadlines[K, V]) Pop() any {
	last := len(*d) - 1
	item := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	item.place = 0
	return item
}
