package turn

import (
	"time"

	"nutmeglock.example/nutmeglock/coldstart"
	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/promptcache"
	"nutmeglock.example/nutmeglock/registry"
)

// cacheTTL is how long a prompt prefix counts as cached after a request with it was sent.
// Engines evict the least recently used prefix and hold a few minutes' worth of distinct
// prefixes.
const cacheTTL = time.Minute

// maxCachedPrefixes bounds the prefixes remembered per upstream; at about 40 bytes each
// they take 160 KB.
const maxCachedPrefixes = 4096

// maxReportedPrefixes bounds the prefixes in one report. A prefix in use is reported again
// after prefixReportInterval.
const (
	maxReportedPrefixes  = 64
	prefixReportInterval = 5 * time.Second
)

// engine is this router's view of one upstream.
type engine struct {
	upstream registry.Upstream
	instance Instance
	key      Key
	// group is the index of its group.
	group int
	// backlog holds the prompts that this router sent and inFlight counts its requests;
	// waitingTokens counts requests queued here that prefer this upstream.
	backlog       backlog
	inFlight      int
	waitingTokens int
	// lastBusy is when it was last known to have prompts to read.
	lastBusy time.Time
	// sent holds the latest requests, which count once the upstream is cold. coldUntil is when an upstream that may have restarted is warm again.
	sent      coldstart.Limiter
	coldUntil time.Time
	// pace is how fast it works, and foreign what it has to do for routers that this one doesn't know of.
	pace    pace.Estimate
	foreign foreignLoad
	// remote is the sum of the other routers' reports.
	remote   Load
	cachedAt map[uint64]time.Time
	// ledger is what the upstream keeps, nil where that isn't known; loss looks for its loss, and
	// link is the connection by which it copies from other caches.
	ledger *promptcache.Ledger[*Ticket]
	loss   promptcache.LossDetector
	link   promptcache.Link
	// unreportedPrefixes are the shared prefixes sent since the last report.
	unreportedPrefixes []uint64
}

// fleetInFlight returns the requests that all routers have in flight.
func (e *engine) fleetInFlight() int { return e.inFlight + e.remote.InFlight }

// hasSlot reports whether a slot is free.
func (e *engine) hasSlot() bool { return e.upstream.Slots <= 0 || e.fleetInFlight() < e.upstream.Slots }

// cachedTokens returns how many tokens of a prompt are probably cached.
func (e *engine) cachedTokens(now time.Time, r *Request) int {
	if e.ledger != nil {
		return e.ledger.Cached(now, r.Prefixes)
	}
	for i := len(r.Prefixes) - 1; i >= 0; i-- {
		at, known := e.cachedAt[r.Prefixes[i].Hash]
		if known && now.Sub(at) < cacheTTL {
			return r.Prefixes[i].Tokens
		}
	}
	return 0
}

// recordPrompt records that the upstream will have a prompt in its cache.
func (e *engine) recordPrompt(now time.Time, r *Request) {
	for i, p := range r.Prefixes {
		isShared := i < len(r.Prefixes)-1 || i == 0
		if isShared && len(e.unreportedPrefixes) < maxReportedPrefixes && now.Sub(e.cachedAt[p.Hash]) > prefixReportInterval {
			e.unreportedPrefixes = append(e.unreportedPrefixes, p.Hash)
		}
		e.recordCached(now, []uint64{p.Hash})
	}
}

// recordCached records prefixes that the upstream has, or will soon have, in its cache.
func (e *engine) recordCached(now time.Time, hashes []uint64) {
	if len(hashes) > 0 && e.cachedAt == nil {
		e.cachedAt = make(map[uint64]time.Time)
	}
	if len(e.cachedAt) >= maxCachedPrefixes {
		e.evictOldest(now)
	}
	for _, hash := range hashes {
		e.cachedAt[hash] = now
	}
}

// evictOldest drops at least the older half of the remembered prefixes.
func (e *engine) evictOldest(now time.Time) {
	age := cacheTTL
	for len(e.cachedAt) > maxCachedPrefixes/2 {
		age /= 2
		for hash, at := range e.cachedAt {
			if now.Sub(at) >= age {
				delete(e.cachedAt, hash)
			}
		}
	}
}
