package turn

import "time"

// enginesPerGroup is how many engines at least a group has on the mean. A
// beginning has two owners in one group, and with six few groups have but one
// engine; with more in a group, fewer routers share the work of giving turns.
const enginesPerGroup = 6

// SetGrouped says whether the engines are parted into groups, and a request goes
// to one group only, so that for each group another router can give the turns.
func (p *Pool) SetGrouped(now time.Time, grouped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.grouped == grouped {
		return
	}
	p.grouped = grouped
	p.generation++
	p.orders = nil
	// Routers report no more once others give the turns. What they had told last
	// would count for ever.
	p.heard = nil
	p.sumOthers(now)
	p.reassign(now)
}

// Group returns the number of the group that a demand belongs to. It is false
// when demands of the service belong to all upstreams alike.
func (p *Pool) Group(d *Demand) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placement().Choices() == 0 {
		return 0, false
	}
	order := p.ordered(d)
	if len(order) == 0 {
		return 0, false
	}
	return order[0].group, true
}

// Groups returns how many groups of engines requests belong to, zero when they belong to
// all upstreams alike.
func (p *Pool) Groups() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.grouped || p.placement().Choices() == 0 {
		return 0
	}
	return p.groups
}

// Has reports whether a life of an upstream takes requests.
func (p *Pool) Has(instance Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		if e.instance == instance {
			return true
		}
	}
	return false
}

// setGroups parts the engines into groups. The number of groups is a power of two, so
// that it changes seldom and then parts groups in two.
func (p *Pool) setGroups() {
	p.groups = 1
	for p.groups*2*enginesPerGroup <= len(p.engines) {
		p.groups *= 2
	}
	for _, e := range p.engines {
		e.group = int(e.key) % p.groups
	}
}
