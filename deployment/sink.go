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

// SetUnavailable and SetAvailable do nothing: the configuration in force stays.
func (configurationSink) SetUnavailable(error) {}
func (configurationSink) SetAvailable()        {}

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
