package note

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
)

// snapshotAttempts bounds the attempts to point the head to a new snapshot. When
// all fail, the next publish makes another snapshot.
const snapshotAttempts = 3

// storeSnapshot stores the state after a record as a snapshot, when one is due,
// and points the head to it. The note is accepted even if this fails: a starting
// router then has more records to read.
func (p *Publisher) storeSnapshot(ctx context.Context, before *schema.FleetState, record *schema.NoteRecord) {
	head, err := p.store.Head(ctx)
	if err != nil || !SnapshotDue(head.NoteHead, p.snapshotInterval) {
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
		p.replica.log.Warn("snapshot not stored", "version", version, "reason", err)
		return
	}
	if err := p.setHeadSnapshot(ctx, version); err != nil {
		p.replica.log.Warn("head not moved to snapshot", "version", version, "reason", err)
	}
}

// setHeadSnapshot points the head to a snapshot, unless it already names a newer
// one. Only the snapshot version of the row changes, on condition that the row
// is unchanged.
func (p *Publisher) setHeadSnapshot(ctx context.Context, version fleet.Version) error {
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
			Checks: []store.Check{{Key: headKey, Version: head.rowVersion}},
			Writes: []store.Write{{Key: headKey, Value: value}},
		})
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}
