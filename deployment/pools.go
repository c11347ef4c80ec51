package deployment

import (
	"time"

	"nutmeglock.example/nutmeglock/coldstart"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/turn"
)

// refreshPools updates the upstreams of each service's pool.
func (s *State) refreshPools(now time.Time) {
	s.history.Observe(now, s.directory.SoftwareVersions())
	table := s.Table()
	ready, draining := s.directory.Ready(), s.directory.Draining()
	s.readyAddresses = make(map[string]bool)
	for service, upstreams := range ready {
		configured, ok := table.Service(service)
		if !ok {
			continue
		}
		pool := s.getOrCreatePool(service, configured)
		staying := s.withoutLeaving(now, upstreams)
		pool.SetLeavingCount(len(upstreams) - len(staying))
		upstreams = s.withoutEvacuated(staying, configured.ColdDuration)
		pool.SetMemory(now, memoryOf(configured))
		pool.SetColdStart(coldstart.Policy{Duration: configured.ColdDuration, Limit: s.options.ColdTolerance.Limit(configured.ColdRate)})
		for i := range upstreams {
			s.readyAddresses[upstreams[i].Address] = true
		}
		pool.SetDraining(draining[service])
		pool.SetUpstreams(now, upstreams, table.FirstEventTarget(service))
	}
	for service, pool := range s.pools {
		if len(ready[service]) == 0 {
			pool.SetLeavingCount(0)
			pool.SetDraining(nil)
			pool.SetUpstreams(now, nil, table.FirstEventTarget(service))
		}
	}
}

// getOrCreatePool returns the pool of a service. Requests are placed on model engines by the
// engines' caches, and on plain applications by the requests in flight.
func (s *State) getOrCreatePool(id fleet.ServiceID, configured *route.Service) *turn.Pool {
	if pool := s.pools[id]; pool != nil {
		return pool
	}
	pool := &turn.Pool{
		DataCenter: s.options.DataCenter, OnOutlier: s.logOutlier, OnColdSkipped: s.options.OnColdSkipped, OnAvoided: s.options.OnAvoided,
		Reservations: s.options.Reservations,
		OwnsCold: func(now time.Time, upstream fleet.UpstreamID, group int) bool {
			return s.ownsCold(now, id, upstream, group)
		},
	}
	if configured.CacheTokens == 0 {
		pool.Placement = turn.LeastLoaded{}
	}
	s.observeCaches(pool)
	pool.SetGrouped(time.Now(), s.grouped)
	s.pools[id] = pool
	return s.followPace(pool)
}
