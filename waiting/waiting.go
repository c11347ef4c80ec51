// Package waiting provides a keyed FIFO queue with deadlines for requests that wait to be
// scheduled.
//
// It is built for bursts, in which thousands of requests wait and most of them leave from
// the middle of the queue because their caller disconnects or their deadline passes.
// Removing an item therefore takes O(log n) rather than a search through the queue.
package waiting

import (
	"container/heap"
	"time"
)

// Queue holds values in order of arrival for each key and tracks their deadlines. Its zero
// value is ready to use. It is not safe for concurrent use.
type Queue[K comparable, V any] struct {
	byKey     map[K]*fifo[K, V]
	deadlines deadlineHeap[K, V]
}

// Item is one queued value.
type Item[K comparable, V any] struct {
	key      K
	value    V
	queuedAt time.Time
	deadline time.Time

	previous, next *Item[K, V]
	// heapIndex is the item's index in the deadline heap plus one; zero when the item is
	// not queued.
	heapIndex int
}

// Key returns the key that the item is queued under.
func (i *Item[K, V]) Key() K { return i.key }

// Value returns the queued value.
func (i *Item[K, V]) Value() V { return i.value }

// QueuedAt returns when the item was queued.
func (i *Item[K, V]) QueuedAt() time.Time { return i.queuedAt }

// Deadline returns when the item expires; the zero time means never.
func (i *Item[K, V]) Deadline() time.Time { return i.deadline }

// fifo is the linked list of one key's items, oldest first.
type fifo[K comparable, V any] struct {
	head, tail *Item[K, V]
	length     int
}

// Push appends value to the queue of key and returns its item. An item with a zero deadline
// never expires.
func (q *Queue[K, V]) Push(key K, value V, queuedAt, deadline time.Time) *Item[K, V] {
	if q.byKey == nil {
		q.byKey = make(map[K]*fifo[K, V])
	}
	list := q.byKey[key]
	if list == nil {
		list = &fifo[K, V]{}
		q.byKey[key] = list
	}
	item := &Item[K, V]{key: key, value: value, queuedAt: queuedAt, deadline: deadline, previous: list.tail}
	if list.tail == nil {
		list.head = item
	} else {
		list.tail.next = item
	}
	list.tail = item
	list.length++
	heap.Push(&q.deadlines, item)
	return item
}

// Remove removes an item in O(log n) and reports whether it was queued.
func (q *Queue[K, V]) Remove(item *Item[K, V]) bool {
	if item == nil || item.heapIndex == 0 {
		return false
	}
	heap.Remove(&q.deadlines, item.heapIndex-1)
	list := q.byKey[item.key]
	if item.previous == nil {
		list.head = item.next
	} else {
		item.previous.next = item.next
	}
	if item.next == nil {
		list.tail = item.previous
	} else {
		item.next.previous = item.previous
	}
	item.previous, item.next = nil, nil
	list.length--
	if list.length == 0 {
		delete(q.byKey, item.key)
	}
	return true
}

// Head returns the oldest item of key, nil when there is none.
func (q *Queue[K, V]) Head(key K) *Item[K, V] {
	if list := q.byKey[key]; list != nil {
		return list.head
	}
	return nil
}

// Next returns the next newer item of the same key, nil at the end.
func (i *Item[K, V]) Next() *Item[K, V] { return i.next }

// Pop removes and returns the oldest item of key, nil when there is none.
func (q *Queue[K, V]) Pop(key K) *Item[K, V] {
	item := q.Head(key)
	q.Remove(item)
	return item
}

// Len returns the number of items queued under key.
func (q *Queue[K, V]) Len(key K) int {
	if list := q.byKey[key]; list != nil {
		return list.length
	}
	return 0
}

// Total returns the number of queued items.
func (q *Queue[K, V]) Total() int { return len(q.deadlines) }

// Expire removes and returns the items whose deadline is not after now, in order of
// deadline.
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

// deadlineHeap is a heap of all items by deadline, with items without one last.
type deadlineHeap[K comparable, V any] []*Item[K, V]

func (d deadlineHeap[K, V]) Len() int { return len(d) }

func (d deadlineHeap[K, V]) Less(i, j int) bool {
	if d[i].deadline.IsZero() || d[j].deadline.IsZero() {
		return !d[i].deadline.IsZero()
	}
	return d[i].deadline.Before(d[j].deadline)
}

func (d deadlineHeap[K, V]) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i+1, j+1
}

// Push implements heap.Interface.
func (d *deadlineHeap[K, V]) Push(x any) {
	item := x.(*Item[K, V])
	*d = append(*d, item)
	item.heapIndex = len(*d)
}

// Pop implements heap.Interface.
func (d *deadlineHeap[K, V]) Pop() any {
	last := len(*d) - 1
	item := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	item.heapIndex = 0
	return item
}
