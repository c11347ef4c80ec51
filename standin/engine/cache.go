package engine

import (
	"container/list"
	"fmt"
	"time"
)

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 16384

// CacheEvent tells that the cache stored or evicted a beginning of a prompt.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	at     time.Time
}

// cache holds the least lately used prefix blocks up to a bound. The engine's
// lock guards it.
type cache struct {
	options Options
	order   *list.List
	blocks  map[uint64]*list.Element
	events  []CacheEvent
	seq     uint64
}

func newCache(options Options) *cache {
	return &cache{options: options, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// hit returns how many blocks of a prompt's beginning the cache holds, and
// marks them as used.
func (c *cache) hit(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(blocks)
}

// store adds the blocks of a prompt and evicts others beyond the bound.
func (c *cache) store(now time.Time, blocks []uint64) {
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.record(now, "stored", block)
		c.evict(now)
	}
}

func (c *cache) evict(now time.Time) {
	if c.order.Len() <= c.options.CacheBlocks {
		return
	}
	block, _ := c.order.Remove(c.order.Back()).(uint64)
	delete(c.blocks, block)
	c.record(now, "evicted", block)
}

func (c *cache) record(now time.Time, kind string, block uint64) {
	c.seq++
	if c.options.EventGap > 0 && c.seq%uint64(c.options.EventGap) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Kind: kind, Prefix: fmt.Sprintf("%016x", block), at: now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the events with a higher number that are old enough to appear.
func (c *cache) after(now time.Time, seq uint64) []CacheEvent {
	visible := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && now.Sub(e.at) >= c.options.EventLag {
			visible = append(visible, e)
		}
	}
	return visible
}

// used returns the used part of the cache, from 0 to 1.
func (c *cache) used() float64 { return float64(c.order.Len()) / float64(c.options.CacheBlocks) }
