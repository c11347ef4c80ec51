package note

import (
	"context"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
)

// Keys of rows and names of objects. Versions have twenty digits, so that keys
// sort by version. Nothing is ever removed: at 17,000 notes a day of one account
// each, 156 bytes, records and publish ids come to 4 MB a day.
const (
	headKey       store.Key = "note-head"
	recordPrefix  store.Key = "note/"
	publishPrefix store.Key = "note-publish/"
)

func recordKey(version fleet.Version) store.Key {
	return recordPrefix + store.Key(fmt.Sprintf("%020d", version))
}

func publishKey(id PublishID) store.Key { return publishPrefix + store.Key(id) }

func snapshotName(version fleet.Version) string { return fmt.Sprintf("note-snapshot/%020d", version) }

// Store reads release notes from the platform's table and object store. A read
// may return older data than an earlier one.
type Store struct {
	table   store.Table
	objects store.ObjectStore
}

// NewStore returns a Store over the platform's services.
func NewStore(table store.Table, objects store.ObjectStore) *Store {
	return &Store{table: table, objects: objects}
}

// Head is the content of the head row, with the version of the row.
type Head struct {
	*schema.NoteHead
	rowVersion store.RowVersion
}

// Head returns the head row. Its note version is zero when no note was accepted.
// It fails with *store.UnavailableError.
func (s *Store) Head(ctx context.Context) (Head, error) {
	rows, err := s.read(ctx, headKey)
	if err != nil {
		return Head{}, err
	}
	return decodeHead(rows[0])
}

func decodeHead(row store.Row) (Head, error) {
	head := Head{NoteHead: &schema.NoteHead{}, rowVersion: row.Version}
	err := decode(row, head.NoteHead)
	return head, err
}

// read returns exactly one row for each key.
func (s *Store) read(ctx context.Context, keys ...store.Key) ([]store.Row, error) {
	rows, err := s.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	if len(rows) != len(keys) {
		return nil, eris.Errorf("the table returned %d rows for %d keys", len(rows), len(keys))
	}
	return rows, nil
}

// decode leaves the message empty when the row does not exist.
func decode(row store.Row, m proto.Message) error {
	if row.Version == 0 {
		return nil
	}
	return eris.Wrapf(proto.Unmarshal(row.Value, m), "row %s", row.Key)
}

// pageSize bounds the rows of one scan. A note of one entry takes about 160
// bytes, so that a page is about 40 KB.
const pageSize = 256

// Records returns the accepted notes after a version, in order and without a
// gap, as far as the table returns them now.
func (s *Store) Records(ctx context.Context, after fleet.Version) ([]*schema.NoteRecord, error) {
	var records []*schema.NoteRecord
	for {
		rows, err := s.table.Scan(ctx, recordPrefix, recordKey(after), pageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			record := &schema.NoteRecord{}
			if err := decode(row, record); err != nil {
				return nil, err
			}
			if fleet.Version(record.GetVersion()) != after+1 {
				return records, nil
			}
			records = append(records, record)
			after++
		}
		if len(rows) < pageSize {
			return records, nil
		}
	}
}

// Record returns one accepted note, or nil when the table does not return it.
func (s *Store) Record(ctx context.Context, version fleet.Version) (*schema.NoteRecord, error) {
	records, err := s.records(ctx, version)
	if err != nil {
		return nil, err
	}
	return records[0], nil
}

// History returns at most limit accepted notes before a version, newest first.
// Zero for before starts at the newest note.
func (s *Store) History(ctx context.Context, before fleet.Version, limit int) ([]*schema.NoteRecord, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	newest := fleet.Version(head.GetVersion())
	if before > 0 && before <= newest {
		newest = before - 1
	}
	var versions []fleet.Version
	for v := newest; v > 0 && len(versions) < limit; v-- {
		versions = append(versions, v)
	}
	candidates, err := s.records(ctx, versions...)
	if err != nil {
		return nil, err
	}
	var records []*schema.NoteRecord
	for _, record := range candidates {
		if record != nil {
			records = append(records, record)
		}
	}
	return records, nil
}

// records returns the notes of the versions, nil for those that the table does
// not return.
func (s *Store) records(ctx context.Context, versions ...fleet.Version) ([]*schema.NoteRecord, error) {
	if len(versions) == 0 {
		return nil, nil
	}
	keys := make([]store.Key, len(versions))
	for i, version := range versions {
		keys[i] = recordKey(version)
	}
	rows, err := s.read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	records := make([]*schema.NoteRecord, len(rows))
	for i, row := range rows {
		if row.Version == 0 {
			continue
		}
		records[i] = &schema.NoteRecord{}
		if err := decode(row, records[i]); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// Snapshot returns the fleet state that is stored as the snapshot of a version.
// It fails with *store.NotFoundError or *store.UnavailableError.
func (s *Store) Snapshot(ctx context.Context, version fleet.Version) (*schema.FleetState, error) {
	data, err := s.objects.Get(ctx, snapshotName(version))
	if err != nil {
		return nil, err
	}
	state := &schema.FleetState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return nil, eris.Wrapf(err, "snapshot %d", version)
	}
	if fleet.Version(state.GetVersion()) != version {
		return nil, eris.Errorf("snapshot %d holds version %d", version, state.GetVersion())
	}
	return state, nil
}

// ReadUpdates returns what is needed to get from the held version to the head: a
// snapshot, or nil when none is needed, and the records after it. The result may
// end before or after the head.
func (s *Store) ReadUpdates(ctx context.Context, held fleet.Version, head Head) (*schema.FleetState, []*schema.NoteRecord, error) {
	plan := PlanFetch(held, head.NoteHead)
	if !plan.Needed {
		return nil, nil, nil
	}
	var state *schema.FleetState
	if plan.SnapshotVersion > 0 {
		var err error
		if state, err = s.Snapshot(ctx, plan.SnapshotVersion); err != nil && !canFallBackToRecords(err) {
			return nil, nil, err
		}
	}
	after := held
	if state != nil {
		after = plan.SnapshotVersion
	}
	records, err := s.Records(ctx, after)
	return state, records, err
}

// canFallBackToRecords reports whether reading all records can replace a
// snapshot that failed to load. The object store and the table can fail
// independently.
func canFallBackToRecords(err error) bool {
	var missing *store.NotFoundError
	var unavailable *store.UnavailableError
	return errors.As(err, &missing) || errors.As(err, &unavailable)
}
