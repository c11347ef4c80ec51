package deployment

import (
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
)

// storeSource is the source in log lines of an update from the platform's store.
const storeSource = "store"

// configurationSink applies the configurations that the store delivers.
type configurationSink struct{ state *State }

func (s configurationSink) Replace(rows []route.Configuration, as registry.Revision) {
	s.Apply(rows, as)
}

func (s configurationSink) Apply(rows []route.Configuration, _ registry.Revision) {
	for _, c := range rows {
		s.state.Configure(c, storeSource)
	}
}

// Lost and Regained do nothing: the configuration in force stays.
func (configurationSink) Lost(error) {}
func (configurationSink) Regained()  {}

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

// Lost also announces the loss to the other routers, which may rely on this one.
func (s upstreamSink) Lost(error) {
	s.state.SetUpstreamsUnavailable()
	s.mesh.setStoreLost(true)
}

// Regained reverts the effect of Lost, and announces it too.
func (s upstreamSink) Regained() {
	s.state.SetUpstreamsAvailable()
	s.mesh.setStoreLost(false)
}
