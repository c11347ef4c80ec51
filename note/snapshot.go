package note

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
)

// snapshotAttempts bounds the tries to move the head to a new snapshot. When
// all fail the next publish makes another snapshot.
const snapshotAttempts = 3

// snapshot puts the state after a record into the object store and moves the
// head to it, when one is due. The note is accepted whether or not this
// succeeds: a router that starts can do without, with more records to read.
func (p *Publisher) snapshot(ctx context.Context, before *schema.FleetState, record *schema.NoteRecord) {
	head, err := p.store.Head(ctx)
	if err != nil || !SnapshotDue(head.NoteHead, p.every) {
		return
	}
	state, err := Apply(before, record)
	if err != nil {
		return
	}
	data, err := proto.Marshal(state)
	if err != nil {
		return
	}
	version := fleet.Version(state.GetVersion())
	if err := p.store.objects.Put(ctx, snapshotName(version), data); err != nil {
		p.holder.log.Warn("snapshot not stored", "version", version, "reason", err)
		return
	}
	if err := p.moveSnapshot(ctx, version); err != nil {
		p.holder.log.Warn("snapshot not used", "version", version, "reason", err)
	}
}

// moveSnapshot makes the head name a snapshot, unless it names a newer one.
// Only the snapshot's version in the row changes, on condition that the row did not.
func (p *Publisher) moveSnapshot(ctx context.Context, version fleet.Version) error {
	var err error
	for range snapshotAttempts {
		var head Head
		if head, err = p.store.Head(ctx); err != nil {
			return err
		}
		if head.GetSnapshotVersion() >= uint64(version) {
			return nil
		}
		head.SnapshotVersion = uint64(version)
		var value []byte
		if value, err = proto.Marshal(head.NoteHead); err != nil {
			return err
		}
		err = p.store.table.Commit(ctx, store.Txn{
			Checks: []store.Check{{Key: headKey, Version: head.row}},
			Writes: []store.Write{{Key: headKey, Value: value}},
		})
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}
