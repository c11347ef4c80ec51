// Package prefix estimates which prompt prefixes an upstream has in its cache.
//
// It is meant for traffic with many shared prefixes. Cache events arrive late and with gaps,
// so an Index is only an estimate, based on the prefixes recently stored or sent. A wrong
// estimate costs one prefill and nothing else, so no upstream is asked to confirm it.
// Entries expire, since after a missed eviction the requests with a popular prefix would
// otherwise keep going to an upstream that evicted it long ago. Sent prefixes count at once,
// since all requests of a burst are placed before the first event arrives.
package prefix

import (
	"container/list"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// Defaults and thresholds of an Index.
const (
	// defaultCapacity is the number of prefixes kept per upstream. At about 150 bytes each,
	// the 26 upstreams of a dispatcher take 16 MB.
	defaultCapacity = 4096
	// defaultMaxAge is how long a stored prefix counts unless it is stored or sent again.
	// Caches are small, so a prefix unused for ten minutes is probably evicted even without
	// an event.
	defaultMaxAge = 10 * time.Minute
	// maxSentAge is how long a sent prefix counts without an event that confirms it. Events
	// are seconds late; after a minute the event was lost or the prefix never stored.
	maxSentAge = time.Minute
	// gapTrust is the probability assumed for entries stored before a gap in the events,
	// which may have contained their eviction.
	gapTrust = 0.5
)

// Kind is the type of a cache event.
type Kind int

const (
	// Stored means that the upstream added the prefix to its cache.
	Stored Kind = iota + 1
	// Evicted means that the upstream dropped the prefix.
	Evicted
)

// Event is one cache event of an upstream. Sequence numbers increase by one.
type Event struct {
	Sequence uint64
	Kind     Kind
	Prefix   uint64
}

// Index holds the probable cache contents of upstreams. Its zero value is ready to use. It
// is not safe for concurrent use.
type Index struct {
	// Capacity bounds the prefixes kept per upstream; zero means 4096.
	Capacity int
	// MaxAge is how long a stored prefix counts; zero means ten minutes.
	MaxAge    time.Duration
	upstreams map[fleet.ShortID]*cache
}

// cache is the estimated cache of one upstream. recency lists the entries, most recently
// used first.
type cache struct {
	sequence uint64
	lastGap  time.Time
	entries  map[uint64]*list.Element
	recency  *list.List
}

type entry struct {
	prefix uint64
	// stored is the time of the last Stored event, sent that of the last request with the
	// prefix.
	stored time.Time
	sent   time.Time
}

// Apply applies an upstream's events in order of arrival. Events that were already applied
// are ignored. After a gap in the sequence, entries stored before it are trusted half as
// much.
func (x *Index) Apply(now time.Time, upstream fleet.ShortID, events []Event) {
	c := x.cache(upstream)
	for _, event := range events {
		if event.Sequence <= c.sequence {
			continue
		}
		if c.sequence > 0 && event.Sequence > c.sequence+1 {
			c.lastGap = now
		}
		c.sequence = event.Sequence
		switch event.Kind {
		case Stored:
			x.useEntry(c, event.Prefix).stored = now
		case Evicted:
			c.remove(event.Prefix)
		}
	}
}

// Sequence returns the sequence number of the latest event of an upstream.
func (x *Index) Sequence(upstream fleet.ShortID) uint64 {
	if c := x.upstreams[upstream]; c != nil {
		return c.sequence
	}
	return 0
}

// RecordSent records that a request with these prefixes is sent to the upstream, which will
// probably cache them soon.
func (x *Index) RecordSent(now time.Time, upstream fleet.ShortID, prefixes []uint64) {
	c := x.cache(upstream)
	for _, prefix := range prefixes {
		x.useEntry(c, prefix).sent = now
	}
}

// Affinity returns the fraction of a prompt, from 0 to 1, that the upstream probably has
// cached. Prefixes are the hashes of the prompt's prefixes from short to long.
func (x *Index) Affinity(now time.Time, upstream fleet.ShortID, prefixes []uint64) float64 {
	c := x.upstreams[upstream]
	if c == nil {
		return 0
	}
	for i := len(prefixes) - 1; i >= 0; i-- {
		if trust := x.trust(now, c, prefixes[i]); trust > 0 {
			return trust * float64(i+1) / float64(len(prefixes))
		}
	}
	return 0
}

func (x *Index) trust(now time.Time, c *cache, prefix uint64) float64 {
	element := c.entries[prefix]
	if element == nil {
		return 0
	}
	e := element.Value.(*entry)
	if now.Sub(e.sent) < maxSentAge {
		return 1
	}
	maxAge := x.MaxAge
	if maxAge <= 0 {
		maxAge = defaultMaxAge
	}
	switch {
	case e.stored.IsZero() || now.Sub(e.stored) >= maxAge:
		return 0
	case !e.stored.After(c.lastGap):
		return gapTrust
	}
	return 1
}

// Forget drops the state of an upstream that was removed, or that restarted with an empty
// cache and new sequence numbers.
func (x *Index) Forget(upstream fleet.ShortID) { delete(x.upstreams, upstream) }

// Len returns the number of prefixes kept for an upstream.
func (x *Index) Len(upstream fleet.ShortID) int {
	if c := x.upstreams[upstream]; c != nil {
		return len(c.entries)
	}
	return 0
}

func (x *Index) cache(upstream fleet.ShortID) *cache {
	c := x.upstreams[upstream]
	if c != nil {
		return c
	}
	if x.upstreams == nil {
		x.upstreams = make(map[fleet.ShortID]*cache)
	}
	c = &cache{entries: make(map[uint64]*list.Element), recency: list.New()}
	x.upstreams[upstream] = c
	return c
}

// useEntry returns the entry of a prefix, marked as most recently used. It creates the
// entry if necessary, and evicts the least recently used one when the cache is full.
func (x *Index) useEntry(c *cache, prefix uint64) *entry {
	if element := c.entries[prefix]; element != nil {
		c.recency.MoveToFront(element)
		return element.Value.(*entry)
	}
	capacity := x.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	if len(c.entries) >= capacity {
		c.remove(c.recency.Back().Value.(*entry).prefix)
	}
	e := &entry{prefix: prefix}
	c.entries[prefix] = c.recency.PushFront(e)
	return e
}

func (c *cache) remove(prefix uint64) {
	element := c.entries[prefix]
	if element == nil {
		return
	}
	c.recency.Remove(element)
	delete(c.entries, prefix)
}
