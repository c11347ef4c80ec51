package experiment

import (
	"container/heap"
	"time"
)

// epoch is the wall-clock time at which every run begins.
var epoch = time.Unix(1_800_000_000, 0)

// clock runs events in order of virtual time. Events of the same time run in
// the order in which they were scheduled, which keeps runs deterministic.
type clock struct {
	elapsed      time.Duration
	events       eventHeap
	lastSequence uint64
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// now returns the virtual time as wall-clock time.
func (c *clock) now() time.Time { return epoch.Add(c.elapsed) }

// runAfter schedules run after a delay.
func (c *clock) runAfter(delay time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.events, event{c.elapsed + max(delay, 0), c.lastSequence, run})
}

// runEvery schedules run after first and then at each interval.
func (c *clock) runEvery(first, interval time.Duration, run func()) {
	c.runAfter(first, func() {
		run()
		c.runEvery(interval, interval, run)
	})
}

// runUntil runs all events before end and advances the time to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		next := heap.Pop(&c.events).(event)
		c.elapsed = next.at
		next.run()
	}
	c.elapsed = end
}

// eventHeap is a min-heap of events by time and sequence number.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is called by container/heap.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop is called by container/heap.
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	next := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return next
}
