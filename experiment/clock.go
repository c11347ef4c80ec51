package experiment

import (
	"container/heap"
	"time"
)

// epoch is the wall-clock time at which every run begins.
var epoch = time.Unix(1_800_000_000, 0)

// clock runs events in the order of their virtual time, and in the order in
// which they were set among equals, so that a run is the same each time.
type clock struct {
	elapsed time.Duration
	events  events
	count   uint64
}

type event struct {
	at     time.Duration
	number uint64
	run    func()
}

// now returns the virtual time as a wall-clock time.
func (c *clock) now() time.Time { return epoch.Add(c.elapsed) }

// after sets an event.
func (c *clock) after(delay time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, event{c.elapsed + max(delay, 0), c.count, run})
}

// every sets an event that sets itself again.
func (c *clock) every(first, interval time.Duration, run func()) {
	c.after(first, func() {
		run()
		c.every(interval, interval, run)
	})
}

// runUntil runs all events before end and moves the time there.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		next := heap.Pop(&c.events).(event)
		c.elapsed = next.at
		next.run()
	}
	c.elapsed = end
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].number < e[j].number
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is called by container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is called by container/heap.
func (e *events) Pop() any {
	last := len(*e) - 1
	next := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return next
}
