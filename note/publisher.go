package note

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/timer"
)

// PublishID names one wish to publish, however often it is tried: a repeat
// with the same id is accepted once.
type PublishID string

// NewPublishID returns a random PublishID.
func NewPublishID() PublishID {
	var random [16]byte
	_, _ = rand.Read(random[:]) // Never fails, by its documentation.
	return PublishID(hex.EncodeToString(random[:]))
}

var publishIDForm = regexp.MustCompile(`^[0-9a-f]{32}$`)

// Valid reports whether the id has the form of NewPublishID, so that it can be part of a key.
func (id PublishID) Valid() bool { return publishIDForm.MatchString(string(id)) }

// UnsettledError is the error of a publish of which it could not be found out
// whether it was accepted, nor whether it yet will be. A repeat with the same
// id finds out, and never publishes twice.
type UnsettledError struct {
	PublishID PublishID
	Cause     error
}

// Error names the id and the cause.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("it is not known whether publish %s was accepted: %v", e.PublishID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// BusyError is the error of a publish that others kept overtaking, or that
// kept reading a stale table. Nothing of it was accepted.
type BusyError struct{ Attempts int }

// Error names the number of attempts.
func (e *BusyError) Error() string {
	return fmt.Sprintf("not accepted: overtaken by other release notes, or read a stale table, %d times", e.Attempts)
}

// Accepted is a publish that succeeded.
type Accepted struct {
	Record *schema.NoteRecord
	// Already is true when an earlier try of the same publish had been accepted.
	Already bool
}

// PublisherOptions are the parts that a Publisher works with.
type PublisherOptions struct {
	Store *Store
	// Holder gives the state to start from and is handed what was accepted.
	Holder *Holder
	// Timer is the machine's clock when nil.
	Timer timer.Service
	// SnapshotEvery is how many versions lie between two snapshots; zero means 500.
	SnapshotEvery uint64
}

// Publisher accepts release notes. Its methods may be called from any goroutine.
type Publisher struct {
	store  *Store
	holder *Holder
	timer  timer.Service
	every  uint64
}

// NewPublisher returns a Publisher.
func NewPublisher(options PublisherOptions) *Publisher {
	p := &Publisher{store: options.Store, holder: options.Holder, timer: options.Timer, every: options.SnapshotEvery}
	if p.timer == nil {
		p.timer = timer.System{}
	}
	if p.every == 0 {
		p.every = snapshotEvery
	}
	return p
}

const (
	// publishAttempts bounds the tries of one publish. Two hundred notes a day
	// almost never meet; a dozen operators' scripts at once do, a few times.
	publishAttempts = 8
	// publishBackoff is the wait after the first try; it doubles up to maxBackoff.
	// The tries together wait 3.5 s, within the five seconds that a note may take.
	publishBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// maxBehind bounds the records that one publish is compared with, about 300 KB.
	maxBehind = 2000
)

// Publish accepts the note, or says why not. It fails with
// *document.FaultsError, *ClashError, *BusyError or *store.UnavailableError
// when this call was not accepted, and with *UnsettledError when that is not
// known. The first two also rule out every earlier call with the same id; the
// other two say nothing of those.
//
// The transaction depends on the head row, so that of racing notes one is
// accepted; and it creates the row of the publish id, so that a try whose
// reply was lost cannot be accepted a second time. A repeat of such a try also
// settles it: both depend on the same version of the head row, so that at most
// one of them takes effect, however late.
func (p *Publisher) Publish(ctx context.Context, n *schema.ReleaseNote, author string, id PublishID) (Accepted, error) {
	t := &try{Publisher: p, note: n, author: author, id: id}
	backoff := publishBackoff
	for range publishAttempts {
		accepted, err := t.once(ctx)
		if !t.repeats(err) {
			return accepted, t.settle(err)
		}
		t.last = err
		if err := wait(ctx, p.timer, backoff); err != nil {
			t.last = err
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	if t.indefinite {
		return Accepted{}, &UnsettledError{PublishID: id, Cause: t.last}
	}
	return Accepted{}, &BusyError{Attempts: publishAttempts}
}

// try is one publish over all its attempts.
type try struct {
	*Publisher
	note   *schema.ReleaseNote
	author string
	id     PublishID

	// base is the version since which other notes may clash.
	base    fleet.Version
	started bool
	// indefinite is true once an attempt's reply was lost.
	indefinite bool
	last       error
}

// staleError is the error of a read that cannot be the newest.
type staleError struct{ what string }

func (e *staleError) Error() string { return "stale read of " + e.what }

// repeats reports whether another attempt may end otherwise.
func (t *try) repeats(err error) bool {
	var conflict *store.ConflictError
	var stale *staleError
	var lost *store.IndefiniteError
	var unavailable *store.UnavailableError
	switch {
	case errors.As(err, &lost):
		t.indefinite = true
		return true
	case errors.As(err, &conflict), errors.As(err, &stale):
		return true
	}
	return t.indefinite && errors.As(err, &unavailable)
}

// settle returns the error of the whole publish. After a lost reply only an
// acceptance or a confirmed refusal is an answer.
func (t *try) settle(err error) error {
	if err == nil || !t.indefinite || refuses(err) {
		return err
	}
	return &UnsettledError{PublishID: t.id, Cause: err}
}

// once makes one attempt.
func (t *try) once(ctx context.Context) (Accepted, error) {
	rows, err := t.store.read(ctx, publishKey(t.id), headKey)
	if err != nil {
		return Accepted{}, err
	}
	if rows[0].Version > 0 {
		return t.already(ctx, rows[0])
	}
	head, err := decodeHead(rows[1])
	if err != nil {
		return Accepted{}, err
	}
	state, err := t.check(ctx, head)
	if refuses(err) {
		return Accepted{}, t.confirm(ctx, head, err)
	}
	if err != nil {
		return Accepted{}, err
	}
	return t.commit(ctx, head, state)
}

// already returns the record of an earlier try that was accepted.
func (t *try) already(ctx context.Context, row store.Row) (Accepted, error) {
	mark := &schema.NoteHead{}
	if err := decode(row, mark); err != nil {
		return Accepted{}, err
	}
	record, err := t.store.Record(ctx, fleet.Version(mark.GetVersion()))
	if err != nil {
		return Accepted{}, err
	}
	if record == nil {
		return Accepted{}, &staleError{"an accepted note"}
	}
	t.holder.Learn(record)
	return Accepted{Record: record, Already: true}, nil
}

// check returns the state at the head when the note can be accepted there.
func (t *try) check(ctx context.Context, head Head) (*schema.FleetState, error) {
	version := fleet.Version(head.GetVersion())
	if !t.started {
		t.started = true
		t.base = version
		if based := fleet.Version(t.note.GetBasedOn()); based > 0 {
			t.base = based
		}
	}
	state, err := t.stateAt(ctx, head)
	if err != nil {
		return nil, err
	}
	if t.base < version {
		if err := t.clashes(ctx, version); err != nil {
			return nil, err
		}
	}
	return state, Check(state, t.note)
}

// clashes compares the note with those that were accepted after its base.
func (t *try) clashes(ctx context.Context, version fleet.Version) error {
	if version-t.base > maxBehind {
		return tooOld(t.base, version)
	}
	records, err := t.store.Records(ctx, t.base)
	if err != nil {
		return err
	}
	if len(records) < int(version-t.base) {
		return &staleError{"the accepted notes"}
	}
	if clashes := Clashes(t.note, records[:version-t.base]); len(clashes) > 0 {
		return &ClashError{BasedOn: t.base, Clashes: clashes}
	}
	return nil
}

// stateAt returns the fleet state at exactly the head's version.
func (t *try) stateAt(ctx context.Context, head Head) (*schema.FleetState, error) {
	state := t.holder.state()
	if state.GetVersion() > head.GetVersion() {
		return nil, &staleError{"the head"}
	}
	snapshot, records, err := t.store.Newer(ctx, fleet.Version(state.GetVersion()), head)
	if err != nil {
		return nil, err
	}
	if snapshot != nil {
		state = snapshot
	}
	for _, record := range records {
		if state.GetVersion() == head.GetVersion() {
			break
		}
		if state, err = Apply(state, record); err != nil {
			return nil, err
		}
	}
	if state.GetVersion() != head.GetVersion() {
		return nil, &staleError{"the accepted notes"}
	}
	return state, nil
}

// confirm returns the refusal when it still holds for the newest head, and else
// the error of a stale read. Without it, an operator whose note refers to an
// entry of the note before could be told that the entry does not exist. It
// also settles a lost reply: when the head is still where the refusal found it
// and the publish id is unused, no earlier try was accepted; and none can be
// any more, since a refusal after a lost reply is due to a later head.
func (t *try) confirm(ctx context.Context, head Head, refusal error) error {
	if err := t.store.table.Commit(ctx, store.Txn{Checks: t.checks(head)}); err != nil {
		var lost *store.IndefiniteError
		if errors.As(err, &lost) && !t.indefinite {
			return &staleError{"the head"} // A transaction that writes nothing leaves nothing unsettled.
		}
		return err
	}
	return refusal
}

func (t *try) checks(head Head) []store.Check {
	return []store.Check{{Key: headKey, Version: head.row}, {Key: publishKey(t.id)}}
}

// commit makes the note the next version.
func (t *try) commit(ctx context.Context, head Head, state *schema.FleetState) (Accepted, error) {
	record := &schema.NoteRecord{
		Version: head.GetVersion() + 1, Note: t.note, Author: t.author, PublishId: string(t.id),
		AcceptedUnixMs: t.timer.Now().UnixMilli(), FirstNumber: state.GetLastNumber() + 1,
	}
	next := &schema.NoteHead{Version: record.GetVersion(), SnapshotVersion: head.GetSnapshotVersion(), PublishId: string(t.id)}
	txn, err := t.transaction(head, next, record)
	if err != nil {
		return Accepted{}, err
	}
	if err := t.store.table.Commit(ctx, txn); err != nil {
		return Accepted{}, err
	}
	t.holder.Learn(record)
	t.snapshot(ctx, state, record)
	return Accepted{Record: record}, nil
}

func (t *try) transaction(head Head, next *schema.NoteHead, record *schema.NoteRecord) (store.Txn, error) {
	key := recordKey(fleet.Version(record.GetVersion()))
	txn := store.Txn{Checks: append(t.checks(head), store.Check{Key: key})}
	for _, row := range []struct {
		key     store.Key
		message proto.Message
	}{
		{headKey, next},
		{key, record},
		{publishKey(t.id), &schema.NoteHead{Version: next.GetVersion()}},
	} {
		value, err := proto.Marshal(row.message)
		if err != nil {
			return store.Txn{}, err
		}
		txn.Writes = append(txn.Writes, store.Write{Key: row.key, Value: value})
	}
	return txn, nil
}
