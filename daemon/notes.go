package daemon

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/schema"
)

// notesExtension keeps the current release note up to date.
type notesExtension struct{}

func (notesExtension) Priority() Priority { return PriorityNotes }

func (notesExtension) Extend(p *Parts) error {
	p.NoteStore = note.NewStore(p.Platform, p.Platform)
	p.Notes = note.NewReplica(note.ReplicaOptions{
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
			p.Notes.HandleAnnouncement(from, version)
		}
	})
	// A router that was disconnected or has just started may have missed
	// announcements. Both sides of a new connection therefore announce their
	// versions. Otherwise they would get a newer one only by the next read of the
	// table, which may be down.
	p.Peers.OnChange(func(change peer.Change) {
		if version := p.Notes.Version(); change.Connected && version > 0 {
			p.Peers.Send(change.Router, &schema.Batch{NoteVersion: uint64(version)})
		}
	})
	p.AddActor("notes", p.Notes.Run)
	return nil
}
