package home

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// AnnounceLeaving tells other routers that an upstream has stated that it is leaving: the home that grants turns at it,
// or all if each router decides by itself. In a large fleet without homes for the service, each router hears it from
// the upstream.
func (c *Coordinator) AnnounceLeaving(service fleet.ServiceID, i turn.Instance) {
	pool := c.Pool(service)
	switch {
	case pool == nil:
	case !c.IsActive():
		c.mu.Lock()
		others := c.routers[min(len(c.routers), 1):]
		c.mu.Unlock()
		c.sendLeaving(others, i)
	default:
		if number, grouped := pool.GroupOfInstance(i); grouped {
			c.sendLeaving([]fleet.RouterID{c.homeOf(group{service, number})}, i)
		}
	}
}

func (c *Coordinator) sendLeaving(routers []fleet.RouterID, i turn.Instance) {
	batch := &schema.Batch{LeavingUpstreams: []*schema.UpstreamLife{turn.EncodeInstance(i)}}
	for _, router := range routers {
		if router != c.Self {
			c.Send(router, batch)
		}
	}
}
