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
	// DefaultRetention is how long a row outlives its request's deadline. At
	// 690 claims a second it makes about 2.5 million rows of some 200 bytes.
	DefaultRetention = time.Hour
	// releasedRetention is how long a row in state not-run outlives its
	// deadline. It has to outlive writes that may yet take effect.
	releasedRetention = 10 * time.Minute
	// rounds bounds the tries of one claim: the first, one to settle a lost
	// reply, and two for rows that change meanwhile.
	rounds = 4
	// clockSkew is how far the clocks of two routers may differ when one reads
	// the other's deadline.
	clockSkew = 2 * time.Second
	// retryAfterOutage is when a caller may repeat a request that was refused
	// because the table is down.
	retryAfterOutage = 2 * time.Second
	// maxRetryAfter bounds when a caller asks again for an answer in flight.
	maxRetryAfter = 5 * time.Second
)

// Store claims requests. Table has to be set; Objects may be nil, and answers
// over MaxInline are then not kept. It is safe for concurrent use.
type Store struct {
	Table   store.Table
	Objects store.Objects
	// Router decides where the sweeper begins.
	Router fleet.RouterID
	// Timer tells the time; nil means the machine's clock.
	Timer timer.Service
	// Retention is how long a row outlives its deadline; zero means an hour.
	Retention time.Duration

	backlog backlog
	breaker breaker
}

// Available reports whether claims can probably be had now, so that a request
// need not wait for its turn first.
func (s *Store) Available() error {
	if s.breaker.closed(s.now()) {
		return nil
	}
	return unavailable(errBroken)
}

var errBroken = eris.New("the last claims failed")

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

// expired reports whether a row may be removed.
func (s *Store) expired(row *schema.ClaimRow) bool {
	retention := s.retention()
	if row.GetState() == schema.ClaimState_CLAIM_STATE_NOT_RUN {
		retention = min(retention, releasedRetention)
	}
	return time.UnixMilli(row.GetDeadlineUnixMs()).Add(retention).Before(s.now())
}

// Claim returns a claim when this router may send the request, or the answer
// that is kept for it. It fails with *refusal.Error: claims-unavailable (and
// not run) when the table can't be asked, duplicate-in-flight or outcome-lost
// when another attempt has or had the claim, and idempotency-key-reused.
func (s *Store) Claim(ctx context.Context, request Request) (*Claim, *Answer, error) {
	if !s.breaker.try(s.now()) {
		return nil, nil, unavailable(errBroken)
	}
	held, answer, err := s.claim(ctx, request)
	var refused *refusal.Error
	switch {
	case !errors.As(err, &refused) || refused.Reason != refusal.ClaimsUnavailable || refused.Outcome != refusal.NotRun:
		s.breaker.answered()
	case !errors.Is(ctx.Err(), context.Canceled):
		s.breaker.failed(s.now())
	}
	return held, answer, err
}

func (s *Store) claim(ctx context.Context, request Request) (*Claim, *Answer, error) {
	c := s.newClaim(request)
	expected := store.RowVersion(0)
	var unsettled bool
	var cause error
	for range rounds {
		var conflict *store.ConflictError
		cause = s.commit(ctx, c.key, expected, c.row)
		switch {
		case cause == nil:
			return c, nil, nil
		case isIndefinite(cause):
			// The write may be in effect or may yet be. Writing the same again
			// settles it: only one of the two can find the row as expected, and
			// both carry this attempt's id.
			unsettled = true
			continue
		case !errors.As(cause, &conflict):
			return nil, nil, s.giveUp(c, unsettled, cause)
		}
		row, version, err := s.read(ctx, c.key, conflict.Found)
		if err != nil {
			return nil, nil, s.giveUp(c, unsettled, err)
		}
		if row != nil && attemptID(row.GetAttempt()) == c.attempt {
			c.version = version
			return c, nil, nil
		}
		if row != nil && row.GetState() != schema.ClaimState_CLAIM_STATE_NOT_RUN {
			answer, err := s.meet(ctx, row, request)
			return nil, answer, err
		}
		expected = version
	}
	return nil, nil, s.giveUp(c, unsettled, cause)
}

func (s *Store) newClaim(request Request) *Claim {
	attempt := newAttemptID()
	return &Claim{
		store: s, key: request.row(), attempt: attempt, lease: request.Deadline,
		row: &schema.ClaimRow{
			Attempt: []byte(attempt), State: schema.ClaimState_CLAIM_STATE_SENDING,
			Fingerprint: request.fingerprint(), DeadlineUnixMs: request.Deadline.UnixMilli(),
		},
	}
}

// giveUp refuses a request that will not be sent. When one of its writes
// may yet take effect, the row would make the caller's repeat look like a
// duplicate of a request that is never sent. So the attempt is released later.
func (s *Store) giveUp(c *Claim, unsettled bool, cause error) error {
	if unsettled {
		c.sealed = true
		last := s.settlement(c, schema.ClaimState_CLAIM_STATE_NOT_RUN, nil)
		last.unsettled = true
		s.backlog.add(last)
	}
	return unavailable(cause)
}

func unavailable(cause error) error {
	refused := refusal.New(refusal.ClaimsUnavailable,
		"The request may run once at most, and the table that ensures it can't be reached.", retryAfterOutage)
	refused.Cause = cause
	return refused
}

// meet answers a request whose key another attempt holds.
func (s *Store) meet(ctx context.Context, row *schema.ClaimRow, request Request) (*Answer, error) {
	if !bytes.Equal(row.GetFingerprint(), request.fingerprint()) {
		return nil, refusal.New(refusal.KeyReused, "The idempotency key stands for another request.", 0)
	}
	switch row.GetState() {
	case schema.ClaimState_CLAIM_STATE_DONE:
		return s.kept(ctx, row.GetAnswer())
	case schema.ClaimState_CLAIM_STATE_SENDING:
		left := time.UnixMilli(row.GetDeadlineUnixMs()).Add(clockSkew).Sub(s.now())
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

// commit writes a row if it is at the version expected.
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

// read returns the row at a version that is not older than least. The table may
// answer from an older state, in which a row that exists seems absent.
func (s *Store) read(ctx context.Context, key store.Key, least store.RowVersion) (*schema.ClaimRow, store.RowVersion, error) {
	if least == 0 {
		return nil, 0, nil
	}
	for range rounds {
		rows, err := s.Table.Read(ctx, key)
		if err != nil {
			return nil, 0, err
		}
		if len(rows) != 1 || rows[0].Version < least {
			continue
		}
		row := &schema.ClaimRow{}
		if err := proto.Unmarshal(rows[0].Value, row); err != nil {
			return nil, 0, eris.Wrapf(err, "row %s", key)
		}
		return row, rows[0].Version, nil
	}
	return nil, 0, eris.Errorf("row %s: reads are older than version %d", key, least)
}

func isIndefinite(err error) bool {
	var indefinite *store.IndefiniteError
	return errors.As(err, &indefinite)
}
