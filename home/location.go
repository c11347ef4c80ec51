package home

import (
	"time"

	"nutmeglock.example/nutmeglock/turn"
)

const (
	// locationMemory is for how long at least a router remembers where a prefix was last read. Engines keep a prefix
	// in use for about as long.
	locationMemory = 30 * time.Second
	// maxLocations bounds the prefixes that are remembered in that time; each takes some 100 bytes.
	maxLocations = 4096
)

// prefixLocations remembers at which upstream this router's latest request with a shared prefix began. The home of a
// group doesn't know the caches of others, to which the prefix belonged before its owner was replaced. Its zero value is
// empty.
type prefixLocations struct {
	// current holds the prefixes recorded since rotatedAt, and previous those of the time before.
	current, previous map[turn.PrefixKey]turn.Instance
	rotatedAt         time.Time
}

// record records that a request with a prefix has begun at an upstream, which then has the prefix in its cache.
func (l *prefixLocations) record(now time.Time, prefix turn.PrefixKey, upstream turn.Instance) {
	if l.current == nil || now.Sub(l.rotatedAt) >= locationMemory || len(l.current) >= maxLocations {
		l.previous, l.current = l.current, make(map[turn.PrefixKey]turn.Instance)
		l.rotatedAt = now
	}
	l.current[prefix] = upstream
}

// find returns the upstream at which the latest request with a prefix began, zero if that is unknown.
func (l *prefixLocations) find(prefix turn.PrefixKey) turn.Instance {
	if upstream, known := l.current[prefix]; known {
		return upstream
	}
	return l.previous[prefix]
}

// recordLocation records where a request with a shared prefix has begun.
func (c *Coordinator) recordLocation(prefix turn.PrefixKey, upstream turn.Instance) {
	if prefix == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.locations.record(time.Now(), prefix, upstream)
}

// findLocation returns where the latest request with a shared prefix began.
func (c *Coordinator) findLocation(prefix turn.PrefixKey) turn.Instance {
	if prefix == 0 {
		return turn.Instance{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.locations.find(prefix)
}

// locatedTicket records the location of its request's prefix with the first event.
type locatedTicket struct {
	Ticket
	coordinator *Coordinator
	prefix      turn.PrefixKey
}

// RecordFirstEvent records that the first event has arrived, so that the prompt has been read.
func (t *locatedTicket) RecordFirstEvent(now time.Time) {
	t.Ticket.RecordFirstEvent(now)
	t.coordinator.recordLocation(t.prefix, turn.InstanceOf(t.Upstream()))
}
