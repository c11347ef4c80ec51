package claim

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/timer"
)

const (
	// DefaultRetention is how long a row is kept after its request's deadline. At
	// 690 claims a second the table holds about 2.5 million rows of some 200 bytes.
	DefaultRetention = time.Hour
	// releasedRetention is how long a row in state not-run is kept after its
	// deadline. It has to exceed the delay of writes that take effect late.
	releasedRetention = 10 * time.Minute
	// maxTries bounds the writes of one claim: the first, one to find out the
	// effect of a write without a reply, and two for rows that change meanwhile.
	maxTries = 4
	// maxClockSkew is how far the clocks of two routers may differ when one
	// compares the other's deadline with its own clock.
	maxClockSkew = 2 * time.Second
	// retryAfterOutage is the Retry-After of a request that was refused because
	// the table is down.
	retryAfterOutage = 2 * time.Second
	// maxRetryAfter bounds the Retry-After of a duplicate in flight.
	maxRetryAfter = 5 * time.Second
)

// Store claims requests. Table must be set. Without Objects, answers larger
// than MaxInlineBody are not stored. It is safe for concurrent use.
type Store struct {
	Table   store.Table
	Objects store.ObjectStore
	// Router determines the row at which this router's Sweeper starts.
	Router fleet.RouterID
	// Timer is the clock; nil means the system clock.
	Timer timer.Service
	// Retention is how long a row is kept after its deadline; zero means an hour.
	Retention time.Duration

	backlog backlog
	breaker breaker
}

// Available returns an error if claims are likely to fail now, so that a
// request can be refused before it waits for a slot.
func (s *Store) Available() error {
	if s.breaker.ready(s.now()) {
		return nil
	}
	return unavailable(errBreakerOpen)
}

var errBreakerOpen = eris.New("too many recent claims failed")

func (s *Store) now() time.Time {
	if s.Timer == nil {
		return time.Now()
	}
	return s.Timer.Now()
}

func (s *Store) retention() time.Duration {
	if s.Retention == 0 {
		return DefaultRetention
	}
	return s.Retention
}

// expired reports whether the retention of a row is over.
func (s *Store) expired(row *schema.ClaimRow) bool {
	retention := s.retention()
	if row.GetState() == schema.ClaimState_CLAIM_STATE_NOT_RUN {
		retention = min(retention, releasedRetention)
	}
	return time.UnixMilli(row.GetDeadlineUnixMs()).Add(retention).Before(s.now())
}

// Claim returns a claim if this router may send the request, or else the answer
// that is stored for it. It fails with *refusal.Error: claims-unavailable (not
// run) if the table is unavailable, duplicate-in-flight or outcome-lost if
// another attempt has or had the claim, and idempotency-key-reused.
func (s *Store) Claim(ctx context.Context, request Request) (*Claim, *Answer, error) {
	if !s.breaker.allow(s.now()) {
		return nil, nil, unavailable(errBreakerOpen)
	}
	claimed, answer, err := s.claim(ctx, request)
	var refused *refusal.Error
	switch {
	case !errors.As(err, &refused) || refused.Reason != refusal.ClaimsUnavailable || refused.Outcome != refusal.NotRun:
		s.breaker.recordSuccess()
	case !errors.Is(ctx.Err(), context.Canceled):
		s.breaker.recordFailure(s.now())
	}
	return claimed, answer, err
}

func (s *Store) claim(ctx context.Context, request Request) (*Claim, *Answer, error) {
	c := s.newClaim(request)
	expected := store.RowVersion(0)
	var outcomeUnknown bool
	var cause error
	for range maxTries {
		var conflict *store.ConflictError
		cause = s.commit(ctx, c.key, expected, c.row)
		switch {
		case cause == nil:
			return c, nil, nil
		case isUnknownOutcome(cause):
			// The write may have been applied or may yet be. Repeating it is safe:
			// only one of the two can find the expected version, and both carry
			// this attempt's id.
			outcomeUnknown = true
			continue
		case !errors.As(cause, &conflict):
			return nil, nil, s.giveUp(c, outcomeUnknown, cause)
		}
		row, version, err := s.read(ctx, c.key, conflict.Found)
		if err != nil {
			return nil, nil, s.giveUp(c, outcomeUnknown, err)
		}
		if row != nil && attemptID(row.GetAttempt()) == c.attempt {
			c.version = version
			return c, nil, nil
		}
		if row != nil && row.GetState() != schema.ClaimState_CLAIM_STATE_NOT_RUN {
			answer, err := s.resolveDuplicate(ctx, row, request)
			return nil, answer, err
		}
		expected = version
	}
	return nil, nil, s.giveUp(c, outcomeUnknown, cause)
}

func (s *Store) newClaim(request Request) *Claim {
	attempt := newAttemptID()
	return &Claim{
		store: s, key: request.rowKey(), attempt: attempt, leaseEnd: request.Deadline,
		row: &schema.ClaimRow{
			Attempt: []byte(attempt), State: schema.ClaimState_CLAIM_STATE_SENDING,
			Fingerprint: request.fingerprint(), DeadlineUnixMs: request.Deadline.UnixMilli(),
		},
	}
}

// giveUp returns the refusal of a request that will not be sent. If one of the
// claim's writes may yet take effect, its row would make the caller's repeat
// look like a duplicate of a request that is never sent. The backlog then
// releases the key later.
func (s *Store) giveUp(c *Claim, outcomeUnknown bool, cause error) error {
	if outcomeUnknown {
		c.ended = true
		final := s.newFinalWrite(c, schema.ClaimState_CLAIM_STATE_NOT_RUN, nil)
		final.outcomeUnknown = true
		s.backlog.add(final)
	}
	return unavailable(cause)
}

func unavailable(cause error) error {
	refused := refusal.New(refusal.ClaimsUnavailable,
		"The request may run once at most, and the table that ensures it can't be reached.", retryAfterOutage)
	refused.Cause = cause
	return refused
}

// resolveDuplicate returns the stored answer, or the refusal, of a request whose
// key another attempt has claimed.
func (s *Store) resolveDuplicate(ctx context.Context, row *schema.ClaimRow, request Request) (*Answer, error) {
	if !bytes.Equal(row.GetFingerprint(), request.fingerprint()) {
		return nil, refusal.New(refusal.KeyReused, "The idempotency key stands for another request.", 0)
	}
	switch row.GetState() {
	case schema.ClaimState_CLAIM_STATE_DONE:
		return s.loadAnswer(ctx, row.GetAnswer())
	case schema.ClaimState_CLAIM_STATE_SENDING:
		left := time.UnixMilli(row.GetDeadlineUnixMs()).Add(maxClockSkew).Sub(s.now())
		if left > 0 {
			return nil, &refusal.Error{
				Reason: refusal.DuplicateInFlight, Outcome: refusal.Unknown,
				Detail:     "The request with this idempotency key is still under way.",
				RetryAfter: min(left, maxRetryAfter),
			}
		}
	}
	return nil, &refusal.Error{
		Reason: refusal.OutcomeLost, Outcome: refusal.Unknown,
		Detail: "The request with this idempotency key may have been run; its answer was lost. It is not run again.",
	}
}

// commit writes a row if its version in the table is expected.
func (s *Store) commit(ctx context.Context, key store.Key, expected store.RowVersion, row *schema.ClaimRow) error {
	value, err := proto.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "encode claim")
	}
	return s.Table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: key, Version: expected}},
		Writes: []store.Write{{Key: key, Value: value}},
	})
}

// read returns a row and its version, which is at least minVersion, or nil for
// a minVersion of zero. It retries because a read may return an older state, in
// which a new row does not exist yet.
func (s *Store) read(ctx context.Context, key store.Key, minVersion store.RowVersion) (*schema.ClaimRow, store.RowVersion, error) {
	if minVersion == 0 {
		return nil, 0, nil
	}
	for range maxTries {
		rows, err := s.Table.Read(ctx, key)
		if err != nil {
			return nil, 0, err
		}
		if len(rows) != 1 || rows[0].Version < minVersion {
			continue
		}
		row := &schema.ClaimRow{}
		if err := proto.Unmarshal(rows[0].Value, row); err != nil {
			return nil, 0, eris.Wrapf(err, "decode row %s", key)
		}
		return row, rows[0].Version, nil
	}
	return nil, 0, eris.Errorf("row %s: reads return versions older than %d", key, minVersion)
}

func isUnknownOutcome(err error) bool {
	var unknown *store.UnknownOutcomeError
	return errors.As(err, &unknown)
}
