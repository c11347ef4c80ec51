package engine

import (
	"container/list"
	"fmt"
	"time"
)

// maxCacheEvents is the maximum number of cache events kept for readers.
const maxCacheEvents = 16384

// CacheEvent reports that the cache stored or evicted a prompt prefix.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	at     time.Time
}

// cache is an LRU cache of prefix blocks. It is guarded by the engine's lock.
type cache struct {
	options Options
	recency *list.List
	blocks  map[uint64]*list.Element
	events  []CacheEvent
	seq     uint64
}

func newCache(options Options) *cache {
	return &cache{options: options, recency: list.New(), blocks: map[uint64]*list.Element{}}
}

// cachedBlocks returns the number of leading blocks of a prompt that are cached,
// and marks them as used.
func (c *cache) cachedBlocks(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.recency.MoveToFront(element)
	}
	return len(blocks)
}

// add caches the blocks of a prompt and evicts the least recently used ones.
func (c *cache) add(now time.Time, blocks []uint64) {
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recency.PushFront(block)
		c.addEvent(now, "stored", block)
		c.evict(now)
	}
}

func (c *cache) evict(now time.Time) {
	if c.recency.Len() <= c.options.CacheBlocks {
		return
	}
	block, _ := c.recency.Remove(c.recency.Back()).(uint64)
	delete(c.blocks, block)
	c.addEvent(now, "evicted", block)
}

func (c *cache) addEvent(now time.Time, kind string, block uint64) {
	c.seq++
	if c.options.DropEveryNthEvent > 0 && c.seq%uint64(c.options.DropEveryNthEvent) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Kind: kind, Prefix: fmt.Sprintf("%016x", block), at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after a sequence number that are at least EventLag old.
func (c *cache) eventsAfter(now time.Time, seq uint64) []CacheEvent {
	visible := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && now.Sub(e.at) >= c.options.EventLag {
			visible = append(visible, e)
		}
	}
	return visible
}

// utilisation returns the used fraction of the cache, from 0 to 1.
func (c *cache) utilisation() float64 {
	return float64(c.recency.Len()) / float64(c.options.CacheBlocks)
}
