package turn

import (
	"time"

	"nutmeglock.example/nutmeglock/registry"
)

// cacheMemory is how long a beginning counts as cached after a request with it
// was sent. Engines drop what was not used for longest, and hold some minutes'
// worth of distinct beginnings.
const cacheMemory = time.Minute

// maxCached bounds the beginnings that are remembered for one upstream; at some
// 40 bytes each that is 160 KB.
const maxCached = 4096

// maxNews bounds the beginnings in one report, and newsAge is when one that is
// used again is told again.
const (
	maxNews = 64
	newsAge = 5 * time.Second
)

// engine is what is known of one upstream.
type engine struct {
	upstream registry.Upstream
	instance Instance
	key      Key
	// group is the number of its group.
	group int
	// unread and inFlight are those of this router's requests, waiting the
	// tokens of those that wait here for this upstream first of all.
	unread   int
	inFlight int
	waiting  int
	// busy is when it was last known to have something to read.
	busy time.Time
	// others is the sum of what the other routers told.
	others Load
	cached map[uint64]time.Time
	// news are the shared beginnings that were sent since the last report.
	news []uint64
}

// fleetUnread returns the prompt tokens that were sent and not yet read.
func (e *engine) fleetUnread() int { return e.unread + e.others.Unread }

// fleetInFlight returns the requests in flight.
func (e *engine) fleetInFlight() int { return e.inFlight + e.others.InFlight }

// held returns how many tokens of a prompt are probably cached.
func (e *engine) held(now time.Time, d *Demand) int {
	for i := len(d.Beginnings) - 1; i >= 0; i-- {
		at, known := e.cached[d.Beginnings[i].Hash]
		if known && now.Sub(at) < cacheMemory {
			return d.Beginnings[i].Tokens
		}
	}
	return 0
}

// remember notes that the upstream will have a prompt in its cache.
func (e *engine) remember(now time.Time, d *Demand) {
	for i, b := range d.Beginnings {
		isShared := i < len(d.Beginnings)-1 || i == 0
		if isShared && len(e.news) < maxNews && now.Sub(e.cached[b.Hash]) > newsAge {
			e.news = append(e.news, b.Hash)
		}
		e.learn(now, []uint64{b.Hash})
	}
}

// learn notes beginnings that the upstream has or will have in its cache.
func (e *engine) learn(now time.Time, hashes []uint64) {
	if len(hashes) > 0 && e.cached == nil {
		e.cached = make(map[uint64]time.Time)
	}
	if len(e.cached) >= maxCached {
		e.forgetOldest(now)
	}
	for _, hash := range hashes {
		e.cached[hash] = now
	}
}

// forgetOldest drops the older half of what is remembered.
func (e *engine) forgetOldest(now time.Time) {
	age := cacheMemory
	for len(e.cached) > maxCached/2 {
		age /= 2
		for hash, at := range e.cached {
			if now.Sub(at) >= age {
				delete(e.cached, hash)
			}
		}
	}
}
