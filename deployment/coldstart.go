package deployment

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
)

// ownsCold reports whether this router may send requests to a cold upstream of a service. The
// turns of a group are granted by its home, which therefore owns the group's cold upstreams.
func (s *State) ownsCold(now time.Time, service fleet.ServiceID, upstream fleet.UpstreamID, group int) bool {
	if group >= 0 {
		return s.coldOwnership.Owns(now, home.KeyOf(service, group))
	}
	return s.coldOwnership.Owns(now, home.KeyOfUpstream(upstream))
}

// setConnectedRouters records which other routers are connected.
func (s *State) setConnectedRouters(others []fleet.RouterID) { s.coldOwnership.SetRouters(others) }
