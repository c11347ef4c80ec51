package deployment

import (
	"nutmeglock.example/nutmeglock/promptcache"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/turn"
)

// CacheEvents are called on what this router knows of engines' caches. Nil functions aren't
// called.
type CacheEvents struct {
	// OnUse is called when a request starts at an engine whose memory is known.
	OnUse func(use turn.CacheUse)
	// OnLoss is called when an engine was found to have lost what it kept of prompts.
	OnLoss func()
}

// memoryOf returns the memory of each engine of a service, unknown if the service has none.
func memoryOf(s *route.Service) turn.Memory {
	return turn.Memory{Capacity: s.CacheTokens, Link: promptcache.Link{TokenBytes: s.TokenBytes, MegabitsPerSecond: s.LinkMbps}}
}

// observeCaches reports and logs what a pool finds out about its engines' caches.
func (s *State) observeCaches(pool *turn.Pool) {
	pool.OnCacheUse = s.options.CacheEvents.OnUse
	pool.OnCacheLoss = func(u registry.Upstream, tokens int) {
		s.options.Log.Warn("engine lost its prompt cache", "upstream", u.ID, "service", u.Service, "address", u.Address, "life", u.StartTime, "tokens", tokens)
		if s.options.CacheEvents.OnLoss != nil {
			s.options.CacheEvents.OnLoss()
		}
	}
}
