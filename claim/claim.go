// Package claim runs a request with an idempotency key at most once in the
// whole fleet. It writes a row to the platform's table before the request is
// sent.
//
// A router may send a request only after it has inserted the row in state
// sending. No other router ever takes that row over, so it does not matter how
// long the first router pauses, whether it crashes or whether its clock is wrong.
// A repeat of the request finds the row and gets the stored answer,
// duplicate-in-flight or outcome-lost; it is never sent. Only the router that
// wrote the row changes it: to done with the answer, to not-run if the request
// certainly was not sent or was refused without being run, or to lost. A key in
// state not-run can be claimed again, conditionally on that version of the row.
//
// Clocks only decide whether a repeat is refused with duplicate-in-flight or
// outcome-lost, and when a row may be removed. A row is kept for an hour after
// the request's deadline (DefaultRetention), after which the key must not be
// used again. A claim's lease ends at the request's deadline on the claiming
// router's monotonic clock and is checked right before each sending. This check
// alone could not exclude a second router, because a pause may fall between
// check and sending; the row excludes it. The check stops a router that resumes
// after more than an hour, when its row may have been removed, from sending.
//
// A request without a key needs no claim: a repeat of it can't be recognised,
// and it is sent in a single attempt, so it runs at most once each time the
// caller sends it.
package claim

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
)

// Prefix begins the table key of every claim row.
const Prefix store.Key = "claims/"

// Sizes of the parts of a row, in bytes. They are small because rows are sent
// between routers.
const (
	rowKeySize      = 16
	fingerprintSize = 8
	attemptIDSize   = 12
)

// Request describes the request to be claimed.
type Request struct {
	Account fleet.AccountID
	// Key is the caller's idempotency key.
	Key string
	// Method, Path and Body detect a key that is reused for another request.
	Method string
	Path   string
	Body   []byte
	// Deadline is when the router gives up on the request.
	Deadline time.Time
}

// rowKey returns the table key of the request's row. The account is part of the
// hash, so that equal idempotency keys of two accounts don't collide.
func (r Request) rowKey() store.Key {
	return Prefix + store.Key(hex.EncodeToString(digest(rowKeySize, string(r.Account), r.Key)))
}

func (r Request) fingerprint() []byte {
	return digest(fingerprintSize, r.Method, r.Path, string(r.Body))
}

// digest hashes parts to size bytes. Each part is prefixed with its length, so
// that different lists of parts have different hash inputs.
func digest(size int, parts ...string) []byte {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return hash.Sum(nil)[:size]
}

// attemptID is the random id of one attempt to claim and run a request.
type attemptID string

func newAttemptID() attemptID {
	var id [attemptIDSize]byte
	_, _ = rand.Read(id[:])
	return attemptID(id[:])
}

// Answer is an upstream's complete answer, stored for repeats of the request.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Claim is the right to send one request. Its holder must call Finish, Release
// or MarkLost once. It is not safe for concurrent use.
type Claim struct {
	store   *Store
	key     store.Key
	attempt attemptID
	// version is the row's version, zero while unknown.
	version store.RowVersion
	// leaseEnd is when the right to send ends. It has a monotonic clock reading.
	leaseEnd time.Time
	// ended is true after Finish, Release or MarkLost.
	ended bool
	row   *schema.ClaimRow
}

// Valid reports whether the request may be sent now. It must be called right
// before each sending.
//
// The lease is checked against both clocks: the monotonic clock may stand still
// while a VM is suspended, and the wall clock can be set back.
func (c *Claim) Valid() bool {
	now := c.store.now()
	return !c.ended && now.Before(c.leaseEnd) && now.Round(0).Before(c.leaseEnd.Round(0))
}
