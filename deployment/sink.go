package deployment

import (
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
)

// fromStore says in a log line that the platform's store told something.
const fromStore = "store"

// configurationSink puts what the store has in force.
type configurationSink struct{ state *State }

func (s configurationSink) Replace(rows []route.Configuration, as registry.Revision) {
	s.Apply(rows, as)
}

func (s configurationSink) Apply(rows []route.Configuration, _ registry.Revision) {
	for _, c := range rows {
		s.state.Configure(c, fromStore)
	}
}

// Lost and Regained change nothing: the configuration in force holds.
func (configurationSink) Lost(error) {}
func (configurationSink) Regained()  {}

// upstreamSink keeps the list of upstreams.
type upstreamSink struct {
	state *State
	mesh  *mesh
}

func (s upstreamSink) Replace(rows []registry.Change, as registry.Revision) {
	s.state.ReplaceUpstreams(rows, as, fromStore)
}

func (s upstreamSink) Apply(rows []registry.Change, _ registry.Revision) {
	s.state.ApplyUpstreams(rows, fromStore)
}

// Lost and Regained tell the other routers too, which may rely on this one.
func (s upstreamSink) Lost(error) {
	s.state.LoseUpstreams()
	s.mesh.storeLost(true)
}

// Regained is the end of what Lost says.
func (s upstreamSink) Regained() {
	s.state.RegainUpstreams()
	s.mesh.storeLost(false)
}
