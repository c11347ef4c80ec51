package daemon

import (
	"context"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/claim"
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/platform/remote"
	"nutmeglock.example/nutmeglock/resume"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/settings"
)

func builtIn() []Extension {
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
	client := remote.New(p.Settings.GetPlatform().GetUrl(), settings.PlatformTimeout(p.Settings), func(sent, received int) {
		p.Metrics.Control(metric.Sent, metric.Platform, sent)
		p.Metrics.Control(metric.Received, metric.Platform, received)
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
	p.Actor("peers", p.Peers.Run)
	return nil
}

// notesExtension keeps the release notes in force.
type notesExtension struct{}

func (notesExtension) Priority() Priority { return PriorityNotes }

func (notesExtension) Extend(p *Parts) error {
	p.NoteStore = note.NewStore(p.Platform, p.Platform)
	p.Notes = note.NewHolder(note.HolderOptions{
		Self: p.Self, Store: p.NoteStore, Peers: p.Peers, Timer: p.Timer, Log: p.Log,
		Announce: func(to []fleet.RouterID, version fleet.Version) {
			p.Metrics.NoteVersion.Set(float64(version))
			for _, router := range to {
				p.Peers.Send(router, &schema.Batch{NoteVersion: uint64(version)})
			}
		},
	})
	for method, fn := range p.Notes.Methods() {
		p.Peers.Handle(method, fn)
	}
	p.Peers.OnBatch(func(from fleet.RouterID, batch *schema.Batch) {
		if version := fleet.Version(batch.GetNoteVersion()); version > 0 {
			p.Notes.Heard(from, version)
		}
	})
	// A router that was cut off has missed announcements, and one that was just
	// started has heard none. Each learns on its first connection what the
	// other holds, so that it does not wait for the next read of the table,
	// which may be down.
	p.Peers.OnChange(func(change peer.Change) {
		if version := p.Notes.Version(); change.Connected && version > 0 {
			p.Peers.Send(change.Router, &schema.Batch{NoteVersion: uint64(version)})
		}
	})
	p.Actor("notes", p.Notes.Run)
	return nil
}

// callsExtension runs accepted requests: attempts, retries, claims, resumption.
type callsExtension struct{}

func (callsExtension) Priority() Priority { return PriorityCalls }

// groupDelay is how long the first claim of a group waits for others. It is
// small beside a round trip to the table, and below what a caller notices.
const groupDelay = 5 * time.Millisecond

func (callsExtension) Extend(p *Parts) error {
	tokens, err := resume.New(p.Settings.GetFleetKey())
	if err != nil {
		return err
	}
	collected := &claim.Collected{
		Table: p.Platform, Self: p.Self, Peers: p.Peers,
		Group: &claim.Group{Table: p.Platform, Delay: groupDelay},
	}
	p.Peers.OnBatch(collected.Receive)
	store := &claim.Store{Table: collected, Objects: p.Platform, Router: p.Self, Timer: p.Timer}
	p.Estimates = &estimate.Estimator{}
	p.Runner = &call.Runner{
		Source: p.Source, Retry: &retry.Budget{}, Client: &attempt.Client{},
		Claims: store, Tokens: tokens, Timer: p.Timer, Metrics: p.Metrics,
		Observers: call.Observers{estimator{p.Estimates}},
	}
	p.Actor("claims", func(ctx context.Context) error {
		stop := (&claim.Sweeper{Store: store}).Start(p.Timer)
		defer stop()
		<-ctx.Done()
		return ctx.Err()
	})
	return nil
}
