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

// PublishID identifies one publish over all its retries: it is accepted at most
// once.
type PublishID string

// NewPublishID returns a random PublishID.
func NewPublishID() PublishID {
	var random [16]byte
	_, _ = rand.Read(random[:]) // Never fails, by its documentation.
	return PublishID(hex.EncodeToString(random[:]))
}

var publishIDPattern = regexp.MustCompile(`^[0-9a-f]{32}$`)

// Valid reports whether the id has the form of NewPublishID and can be part of a
// key.
func (id PublishID) Valid() bool { return publishIDPattern.MatchString(string(id)) }

// UnsettledError reports a publish whose outcome is unknown: it may have been
// accepted, or may still be. Publishing again with the same id determines the
// outcome, and never publishes twice.
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

// BusyError reports a publish that was not accepted, because each attempt either
// conflicted with another note or read stale rows.
type BusyError struct{ Attempts int }

// Error names the number of attempts.
func (e *BusyError) Error() string {
	return fmt.Sprintf("not accepted: overtaken by other release notes, or read a stale table, %d times", e.Attempts)
}

// PublishResult is the result of a successful publish.
type PublishResult struct {
	Record *schema.NoteRecord
	// AlreadyAccepted is true when an earlier attempt with the same id had been
	// accepted.
	AlreadyAccepted bool
}

// PublisherOptions are the dependencies of a Publisher.
type PublisherOptions struct {
	Store *Store
	// Replica provides the current state and is updated with accepted notes.
	Replica *Replica
	// Timer is the system clock when nil.
	Timer timer.Service
	// SnapshotInterval is the number of versions between two snapshots; zero
	// means 500.
	SnapshotInterval uint64
}

// Publisher publishes release notes. It is safe for concurrent use.
type Publisher struct {
	store            *Store
	replica          *Replica
	timer            timer.Service
	snapshotInterval uint64
}

// NewPublisher returns a Publisher.
func NewPublisher(options PublisherOptions) *Publisher {
	p := &Publisher{store: options.Store, replica: options.Replica, timer: options.Timer, snapshotInterval: options.SnapshotInterval}
	if p.timer == nil {
		p.timer = timer.System{}
	}
	if p.snapshotInterval == 0 {
		p.snapshotInterval = defaultSnapshotInterval
	}
	return p
}

const (
	// publishAttempts bounds the attempts of one publish. Two hundred notes a day
	// almost never conflict; the scripts of a dozen operators that run at once do,
	// a few times each.
	publishAttempts = 8
	// publishBackoff is the wait after the first attempt; it doubles up to
	// maxBackoff. The waits between the attempts add up to 3.5 s, within the five
	// seconds that a note may take.
	publishBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// maxRecordsBehind bounds the records that a note is compared with, about 300
	// KB.
	maxRecordsBehind = 2000
)

// Publish accepts the note, or returns why it was not accepted. It fails with
// *document.FaultsError, *ClashError, *BusyError or *store.UnavailableError when
// this call was not accepted, and with *UnsettledError when the outcome is
// unknown. The first two also rule out that an earlier call with the same id was
// or will be accepted; the other two leave the outcome of earlier calls open.
//
// The transaction checks the head row, so that only one of several concurrent
// notes is accepted. It also creates the row of the publish id, so that an
// attempt whose reply was lost cannot be accepted twice. Retrying such an
// attempt settles it: both depend on the same version of the head row, so that
// at most one of them takes effect, however late.
func (p *Publisher) Publish(ctx context.Context, n *schema.ReleaseNote, author string, id PublishID) (PublishResult, error) {
	t := &publication{Publisher: p, note: n, author: author, id: id}
	backoff := publishBackoff
	for range publishAttempts {
		accepted, err := t.attempt(ctx)
		if !t.shouldRetry(err) {
			return accepted, t.finalError(err)
		}
		t.lastErr = err
		if err := sleep(ctx, p.timer, backoff); err != nil {
			t.lastErr = err
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	if t.replyLost {
		return PublishResult{}, &UnsettledError{PublishID: id, Cause: t.lastErr}
	}
	return PublishResult{}, &BusyError{Attempts: publishAttempts}
}

// publication is one publish with all its attempts.
type publication struct {
	*Publisher
	note   *schema.ReleaseNote
	author string
	id     PublishID

	// base is the version after which accepted notes may clash.
	base    fleet.Version
	baseSet bool
	// replyLost is true once the reply to a commit was lost.
	replyLost bool
	lastErr   error
}

// staleError reports a read that is known to be outdated.
type staleError struct{ source string }

func (e *staleError) Error() string { return "stale read of " + e.source }

// shouldRetry reports whether another attempt may end differently.
func (t *publication) shouldRetry(err error) bool {
	var conflict *store.ConflictError
	var stale *staleError
	var unknownOutcome *store.UnknownOutcomeError
	var unavailable *store.UnavailableError
	switch {
	case errors.As(err, &unknownOutcome):
		t.replyLost = true
		return true
	case errors.As(err, &conflict), errors.As(err, &stale):
		return true
	}
	return t.replyLost && errors.As(err, &unavailable)
}

// finalError returns the error of the whole publish. After a lost reply, only an
// acceptance or a confirmed refusal settles the outcome.
func (t *publication) finalError(err error) error {
	if err == nil || !t.replyLost || isRefusal(err) {
		return err
	}
	return &UnsettledError{PublishID: t.id, Cause: err}
}

// attempt makes one attempt.
func (t *publication) attempt(ctx context.Context) (PublishResult, error) {
	rows, err := t.store.read(ctx, publishKey(t.id), headKey)
	if err != nil {
		return PublishResult{}, err
	}
	if rows[0].Version > 0 {
		return t.acceptedEarlier(ctx, rows[0])
	}
	head, err := decodeHead(rows[1])
	if err != nil {
		return PublishResult{}, err
	}
	state, err := t.check(ctx, head)
	if isRefusal(err) {
		return PublishResult{}, t.confirmRefusal(ctx, head, err)
	}
	if err != nil {
		return PublishResult{}, err
	}
	return t.commit(ctx, head, state)
}

// acceptedEarlier returns the record of an earlier attempt that was accepted.
func (t *publication) acceptedEarlier(ctx context.Context, row store.Row) (PublishResult, error) {
	accepted := &schema.NoteHead{}
	if err := decode(row, accepted); err != nil {
		return PublishResult{}, err
	}
	record, err := t.store.Record(ctx, fleet.Version(accepted.GetVersion()))
	if err != nil {
		return PublishResult{}, err
	}
	if record == nil {
		return PublishResult{}, &staleError{"an accepted note"}
	}
	t.replica.ApplyRecords(record)
	return PublishResult{Record: record, AlreadyAccepted: true}, nil
}

// check returns the state at the head if the note can be accepted there.
func (t *publication) check(ctx context.Context, head Head) (*schema.FleetState, error) {
	version := fleet.Version(head.GetVersion())
	if !t.baseSet {
		t.baseSet = true
		t.base = version
		if basedOn := fleet.Version(t.note.GetBasedOn()); basedOn > 0 {
			t.base = basedOn
		}
	}
	state, err := t.stateAt(ctx, head)
	if err != nil {
		return nil, err
	}
	if t.base < version {
		if err := t.checkClashes(ctx, version); err != nil {
			return nil, err
		}
	}
	return state, Check(state, t.note)
}

// checkClashes compares the note with those accepted after its base.
func (t *publication) checkClashes(ctx context.Context, version fleet.Version) error {
	if version-t.base > maxRecordsBehind {
		return tooOldError(t.base, version)
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
func (t *publication) stateAt(ctx context.Context, head Head) (*schema.FleetState, error) {
	state := t.replica.state()
	if state.GetVersion() > head.GetVersion() {
		return nil, &staleError{"the head"}
	}
	snapshot, records, err := t.store.ReadUpdates(ctx, fleet.Version(state.GetVersion()), head)
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

// confirmRefusal returns the refusal if it still applies at the newest head, and
// otherwise the error of a stale read. Without it, a note that refers to an entry
// of the previous note could be refused because that entry does not exist. It
// also settles a lost reply: if the head is unchanged since the refusal and the
// publish id is unused, no earlier attempt was accepted. None can be accepted any
// more, since a refusal after a lost reply is due to a later head.
func (t *publication) confirmRefusal(ctx context.Context, head Head, refusal error) error {
	if err := t.store.table.Commit(ctx, store.Txn{Checks: t.preconditions(head)}); err != nil {
		var unknownOutcome *store.UnknownOutcomeError
		if errors.As(err, &unknownOutcome) && !t.replyLost {
			return &staleError{"the head"} // The transaction writes nothing, so its lost reply does not matter.
		}
		return err
	}
	return refusal
}

// preconditions require that the head is unchanged and the publish id unused.
func (t *publication) preconditions(head Head) []store.Check {
	return []store.Check{{Key: headKey, Version: head.rowVersion}, {Key: publishKey(t.id)}}
}

// commit writes the note as the next version.
func (t *publication) commit(ctx context.Context, head Head, state *schema.FleetState) (PublishResult, error) {
	record := &schema.NoteRecord{
		Version: head.GetVersion() + 1, Note: t.note, Author: t.author, PublishId: string(t.id),
		AcceptedUnixMs: t.timer.Now().UnixMilli(), FirstNumber: state.GetLastNumber() + 1,
	}
	next := &schema.NoteHead{Version: record.GetVersion(), SnapshotVersion: head.GetSnapshotVersion(), PublishId: string(t.id)}
	txn, err := t.buildTxn(head, next, record)
	if err != nil {
		return PublishResult{}, err
	}
	if err := t.store.table.Commit(ctx, txn); err != nil {
		return PublishResult{}, err
	}
	t.replica.ApplyRecords(record)
	t.storeSnapshot(ctx, state, record)
	return PublishResult{Record: record}, nil
}

func (t *publication) buildTxn(head Head, next *schema.NoteHead, record *schema.NoteRecord) (store.Txn, error) {
	key := recordKey(fleet.Version(record.GetVersion()))
	txn := store.Txn{Checks: append(t.preconditions(head), store.Check{Key: key})}
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
