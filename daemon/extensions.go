package daemon

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/platform"
	"nutmeglock.example/nutmeglock/settings"
)

func builtInExtensions() []Extension {
	return []Extension{
		platformExtension{},
		peersExtension{},
		notesExtension{},
		sharingExtension{},
		callsExtension{},
		traceExtension{},
		callersExtension{},
		administrationExtension{},
	}
}

// platformExtension reaches the platform over HTTP.
type platformExtension struct{}

func (platformExtension) Priority() Priority { return PriorityPlatform }

func (platformExtension) Extend(p *Parts) error {
	if p.Platform != nil {
		return nil
	}
	client := platform.NewStore(p.Settings.GetPlatform().GetUrl(), settings.PlatformTimeout(p.Settings), func(sent, received int) {
		p.Metrics.CountControlMessage(metric.Sent, metric.Platform, sent)
		p.Metrics.CountControlMessage(metric.Received, metric.Platform, received)
	})
	p.Platform = client
	return nil
}

// peersExtension connects the routers of the fleet.
type peersExtension struct{}

func (peersExtension) Priority() Priority { return PriorityPeers }

func (peersExtension) Extend(p *Parts) error {
	p.Peers = peer.New(peer.Options{
		Self:        p.Self,
		DataCenter:  fleet.DataCenterID(p.Settings.GetDataCenter()),
		Incarnation: p.Incarnation,
		Address:     p.Listeners.Peers.Addr().String(),
		Key:         []byte(p.Settings.GetFleetKey()),
		Listener:    p.Listeners.Peers,
		Seeds:       p.Settings.GetPeerSeeds(),
		Timer:       p.Timer,
		Metrics:     p.Metrics,
		Logger:      p.Log,
	})
	p.AddActor("peers", p.Peers.Run)
	return nil
}
