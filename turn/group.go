package turn

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// enginesPerGroup is how many engines at least a group has on the mean. A
// beginning has two owners in one group, and with six few groups have but one
// engine; with more in a group, fewer routers share the work of giving turns.
const enginesPerGroup = 6

// Group is some of a service's engines, for which one router gives the turns.
type Group struct {
	// DataCenter is where they stand, empty if groups go across data centres.
	DataCenter fleet.DataCenterID
	Number     int
}

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
}

// Group returns the group that a demand belongs to. It is false when demands of the
// service belong to all upstreams alike.
func (p *Pool) Group(d *Demand) (Group, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placement().Choices() == 0 {
		return Group{}, false
	}
	order := p.ordered(d)
	if len(order) == 0 {
		return Group{}, false
	}
	return order[0].group, true
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

// setGroups parts the engines into groups, within data centres where these have
// enough of them. The number of groups is a power of two, so that it changes seldom
// and then parts groups in two.
func (p *Pool) setGroups() {
	in := make(map[fleet.DataCenterID]int)
	for _, e := range p.engines {
		in[e.upstream.DataCenter]++
	}
	isLocal := len(p.engines) >= enginesPerGroup*len(in)
	for _, e := range p.engines {
		e.group = Group{}
		count := len(p.engines)
		if isLocal {
			e.group.DataCenter = e.upstream.DataCenter
			count = in[e.upstream.DataCenter]
		}
		groups := 1
		for groups*2*enginesPerGroup <= count {
			groups *= 2
		}
		e.group.Number = int(e.key) % groups
	}
}
