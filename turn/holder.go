package turn

import (
	"slices"

	"nutmeglock.example/nutmeglock/registry"
)

// PrefixKey identifies a prefix that the prompts of several requests share.
type PrefixKey uint64

// SharedPrefix returns the key of the prefix that the request shares with others, zero if it has none.
func (r *Request) SharedPrefix() PrefixKey {
	if len(r.Prefixes) < 2 {
		return 0
	}
	return PrefixKey(r.sharedPrefix())
}

// reportedHolder returns the upstream outside the request's group that has its shared prefix in the cache by what
// the request's router knows. The home of the group knows only what it has granted itself.
func (p *Pool) reportedHolder(t *Ticket) cacheHolder {
	r := &t.request
	if r.SharedPrefix() == 0 || r.LastHolder == (Instance{}) {
		return cacheHolder{}
	}
	isHolder := func(e *engine) bool { return e.instance == r.LastHolder }
	i, engines := slices.IndexFunc(p.engines, isHolder), p.engines
	if i < 0 {
		i, engines = slices.IndexFunc(p.draining, isHolder), p.draining
	}
	if i < 0 {
		return cacheHolder{}
	}
	return cacheHolder{engine: engines[i], tokens: r.Prefixes[len(r.Prefixes)-2].Tokens}
}

// SetDraining replaces the upstreams that accept no requests but still run. While they do, their
// caches can be copied, which is faster than reading the same prompts at the upstreams that replace them.
func (p *Pool) SetDraining(upstreams []registry.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = nil
	for i := range upstreams {
		p.draining = append(p.draining, &engine{upstream: upstreams[i], instance: InstanceOf(upstreams[i])})
	}
}
