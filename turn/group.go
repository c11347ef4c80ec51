package turn

import (
	"time"

	"nutmeglock.example/nutmeglock/registry"
)

// minEnginesPerGroup is the minimum mean number of engines per group. A prefix has two
// owners in one group; with a mean of six, few groups have only one engine. Larger groups
// would leave fewer routers to share the work of scheduling.
const minEnginesPerGroup = 6

// SetGrouped sets whether engines are divided into groups. Each request then belongs to one
// group only, so that a different router can schedule each group.
func (p *Pool) SetGrouped(now time.Time, grouped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.grouped == grouped {
		return
	}
	p.grouped = grouped
	p.updateLedgers()
	p.generation++
	p.orderCache = nil
	// Routers stop reporting once homes schedule for them, so their last reports would
	// never be replaced.
	p.reports = nil
	p.sumReports(now)
	p.reassign(now)
}

// maxPlainGroup is the largest number of upstreams without an order of preference that one
// router schedules for all. Beyond it, routers seldom meet at one upstream by chance, and one
// router couldn't grant the turns of all.
const maxPlainGroup = 24

// isPlainGroup reports whether the upstreams make one group because requests have no order of
// preference among them.
func (p *Pool) isPlainGroup() bool {
	return !p.HasCaches() && len(p.engines) <= maxPlainGroup
}

// isHome reports whether all requests for the upstreams that this pool schedules start here.
func (p *Pool) isHome() bool { return p.grouped && (p.HasCaches() || p.isPlainGroup()) }

// HasCaches reports whether the upstreams differ in the prompts that they have cached. Others
// have few slots each, and every slot counts.
func (p *Pool) HasCaches() bool { return p.placement().Choices() > 0 }

// GroupOf returns the index of the group that a request belongs to, and false when the
// service's requests may go to any upstream and each router schedules its own, or when the
// request's router must not send to any upstream of the group.
func (p *Pool) GroupOf(now time.Time, r *Request) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.HasCaches() && !p.isPlainGroup() {
		return 0, false
	}
	order := p.preferenceOrder(r)
	if len(order) == 0 || r.avoidsAll(now, order) {
		return 0, false
	}
	return order[0].group, true
}

// GroupOfInstance returns the index of the group of an upstream, and false if the pool doesn't contain it or
// its requests are in no group.
func (p *Pool) GroupOfInstance(i Instance) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isHome() {
		return 0, false
	}
	for _, e := range p.engines {
		if e.instance == i {
			return e.group, true
		}
	}
	return 0, false
}

// GroupCount returns the number of engine groups, or zero when requests may go to any upstream.
func (p *Pool) GroupCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.grouped || !p.HasCaches() {
		return 0
	}
	return p.groupCount
}

// Upstream returns the entry of an instance, and false if the pool doesn't contain it.
func (p *Pool) Upstream(instance Instance) (registry.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		if e.instance == instance {
			return e.upstream, true
		}
	}
	return registry.Upstream{}, false
}

// assignGroups divides the engines into groups; plain upstreams make one. The number of groups is a power of two, so
// that it rarely changes and each change splits or merges pairs of groups.
func (p *Pool) assignGroups() {
	p.groupCount = 1
	for p.HasCaches() && p.groupCount*2*minEnginesPerGroup <= len(p.engines) {
		p.groupCount *= 2
	}
	for _, e := range p.engines {
		e.group = int(e.key) % p.groupCount
	}
}
