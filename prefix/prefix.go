// Package prefix estimates which beginnings of prompts an upstream has in its
// cache.
//
// It answers prefix-heavy traffic. Cache events come late and with gaps, so an
// Index never knows; it keeps what was stored or sent lately and says how much
// of a prompt is probably there. A wrong guess costs a prefill and nothing
// else, so nothing is asked back. Without ageing, an index that missed the
// evictions would send a popular beginning to an upstream that has long lost
// it; without counting what was sent, all requests of a burst would be placed
// before the first event arrives.
package prefix

import (
	"container/list"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// Defaults and thresholds of an Index.
const (
	// defaultCapacity is the number of beginnings kept per upstream: at some
	// 150 bytes each, the 26 upstreams of a dispatcher take 16 MB.
	defaultCapacity = 4096
	// defaultAge is how long a stored beginning counts without being stored or
	// sent again. Caches are small, so what was not used for ten minutes is
	// probably gone even if no event said so.
	defaultAge = 10 * time.Minute
	// sentAge is how long a beginning counts that was sent but that no event
	// has confirmed. Events come late by seconds; after a minute it was lost
	// or never stored.
	sentAge = time.Minute
	// doubt is the trust in entries from before a gap in the events: the gap
	// may have held their eviction.
	doubt = 0.5
)

// Kind is what an event says of a beginning.
type Kind int

const (
	// Stored means that the upstream put the beginning into its cache.
	Stored Kind = iota + 1
	// Evicted means that the upstream dropped the beginning.
	Evicted
)

// Event is one cache event of an upstream. Sequence numbers rise by one.
type Event struct {
	Sequence uint64
	Kind     Kind
	Prefix   uint64
}

// Index holds the probable cache contents of upstreams. Its zero value is
// ready to use. It is used by one goroutine.
type Index struct {
	// Capacity bounds the beginnings kept per upstream; zero means 4096.
	Capacity int
	// Age is how long a stored beginning counts; zero means ten minutes.
	Age       time.Duration
	upstreams map[fleet.Number]*cache
}

// cache is what is known of one upstream. The list has the beginnings in
// order of use, the latest first.
type cache struct {
	sequence uint64
	doubted  time.Time
	entries  map[uint64]*list.Element
	used     *list.List
}

type entry struct {
	prefix uint64
	// stored is when an event named it, sent when a request carried it.
	stored time.Time
	sent   time.Time
}

// Apply takes events of an upstream in the order in which they came. One that
// was seen before changes nothing. A gap halves the trust in what was stored
// before it.
func (x *Index) Apply(now time.Time, upstream fleet.Number, events []Event) {
	c := x.cache(upstream)
	for _, event := range events {
		if event.Sequence <= c.sequence {
			continue
		}
		if c.sequence > 0 && event.Sequence > c.sequence+1 {
			c.doubted = now
		}
		c.sequence = event.Sequence
		switch event.Kind {
		case Stored:
			x.touch(c, event.Prefix).stored = now
		case Evicted:
			c.remove(event.Prefix)
		}
	}
}

// Sequence returns the sequence number of the latest event of an upstream.
func (x *Index) Sequence(upstream fleet.Number) uint64 {
	if c := x.upstreams[upstream]; c != nil {
		return c.sequence
	}
	return 0
}

// Sent notes that a request with these beginnings goes to the upstream, which
// will probably have them soon.
func (x *Index) Sent(now time.Time, upstream fleet.Number, blocks []uint64) {
	c := x.cache(upstream)
	for _, block := range blocks {
		x.touch(c, block).sent = now
	}
}

// Affinity returns the part of a prompt that the upstream probably has, from
// 0 to 1. Blocks identify the beginnings of the prompt from short to long.
func (x *Index) Affinity(now time.Time, upstream fleet.Number, blocks []uint64) float64 {
	c := x.upstreams[upstream]
	if c == nil {
		return 0
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if trust := x.trust(now, c, blocks[i]); trust > 0 {
			return trust * float64(i+1) / float64(len(blocks))
		}
	}
	return 0
}

func (x *Index) trust(now time.Time, c *cache, block uint64) float64 {
	element := c.entries[block]
	if element == nil {
		return 0
	}
	e := element.Value.(*entry)
	if now.Sub(e.sent) < sentAge {
		return 1
	}
	age := x.Age
	if age <= 0 {
		age = defaultAge
	}
	switch {
	case e.stored.IsZero() || now.Sub(e.stored) >= age:
		return 0
	case !e.stored.After(c.doubted):
		return doubt
	}
	return 1
}

// Forget drops all that is known of an upstream: it left, or its sequence
// numbers began anew because it restarted with an empty cache.
func (x *Index) Forget(upstream fleet.Number) { delete(x.upstreams, upstream) }

// Len returns how many beginnings are kept for an upstream.
func (x *Index) Len(upstream fleet.Number) int {
	if c := x.upstreams[upstream]; c != nil {
		return len(c.entries)
	}
	return 0
}

func (x *Index) cache(upstream fleet.Number) *cache {
	c := x.upstreams[upstream]
	if c != nil {
		return c
	}
	if x.upstreams == nil {
		x.upstreams = make(map[fleet.Number]*cache)
	}
	c = &cache{entries: make(map[uint64]*list.Element), used: list.New()}
	x.upstreams[upstream] = c
	return c
}

// touch returns the entry of a beginning as the one used last, and drops the
// one that was unused for longest when there are too many.
func (x *Index) touch(c *cache, prefix uint64) *entry {
	if element := c.entries[prefix]; element != nil {
		c.used.MoveToFront(element)
		return element.Value.(*entry)
	}
	capacity := x.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	if len(c.entries) >= capacity {
		c.remove(c.used.Back().Value.(*entry).prefix)
	}
	e := &entry{prefix: prefix}
	c.entries[prefix] = c.used.PushFront(e)
	return e
}

func (c *cache) remove(prefix uint64) {
	element := c.entries[prefix]
	if element == nil {
		return
	}
	c.used.Remove(element)
	delete(c.entries, prefix)
}
