package deployment

import (
	"nutmeglock.example/nutmeglock/evacuation"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
)

// storeSource is the source in log lines of an update from the platform's store.
const storeSource = "store"

// OperatorChange is one change by the operator: a configuration, or the start or end of an
// evacuation.
type OperatorChange struct {
	Configuration *route.Configuration
	Evacuation    *evacuation.Change
}

// operatorSink applies the changes by the operator that the store delivers.
type operatorSink struct{ state *State }

func (s operatorSink) Replace(rows []OperatorChange, as registry.Revision) {
	s.configure(rows)
	s.state.ReplaceEvacuations(evacuationsOf(rows), as, storeSource)
}

func (s operatorSink) Apply(rows []OperatorChange, _ registry.Revision) {
	s.configure(rows)
	s.state.ApplyEvacuations(evacuationsOf(rows), storeSource)
}

func (s operatorSink) configure(rows []OperatorChange) {
	for _, r := range rows {
		if r.Configuration != nil {
			s.state.Configure(*r.Configuration, storeSource)
		}
	}
}

func evacuationsOf(rows []OperatorChange) []evacuation.Change {
	var out []evacuation.Change
	for _, r := range rows {
		if r.Evacuation != nil {
			out = append(out, *r.Evacuation)
		}
	}
	return out
}

// SetUnavailable and SetAvailable do nothing: what the operator wrote stays in force.
func (operatorSink) SetUnavailable(error) {}
func (operatorSink) SetAvailable()        {}

// upstreamSink applies the changes of the list of upstreams that the store delivers.
type upstreamSink struct {
	state *State
	mesh  *mesh
}

func (s upstreamSink) Replace(rows []registry.Change, as registry.Revision) {
	s.state.ReplaceUpstreams(rows, as, storeSource)
}

func (s upstreamSink) Apply(rows []registry.Change, _ registry.Revision) {
	s.state.ApplyUpstreams(rows, storeSource)
}

// SetUnavailable also announces to the other routers, which may rely on this one, that it
// can't read the store.
func (s upstreamSink) SetUnavailable(error) {
	s.state.SetUpstreamsUnavailable()
	s.mesh.setStoreLost(true)
}

// SetAvailable reverts the effect of SetUnavailable and announces that as well.
func (s upstreamSink) SetAvailable() {
	s.state.SetUpstreamsAvailable()
	s.mesh.setStoreLost(false)
}
