// Package claim lets a request with an idempotency key run once at most, in
// the whole fleet, by a row in the platform's table that is written before the
// request is sent.
//
// The write that inserts a row in state sending is what allows its router to
// send. It is never taken over: no router, however late, reads a row in that
// state as permission. So it does not matter how long the first router pauses,
// whether it dies, or what its clock says; a repeat of the request meets the
// row and is answered with the kept answer, with duplicate-in-flight, or with
// outcome-lost, and never sent. Only the router that wrote the row changes it:
// to done with the answer, to not-run when the request certainly did not leave
// or was refused unrun, or to lost. A key in state not-run can be claimed
// again, conditionally on that very row.
//
// Clocks choose between words (in flight, or lost) and bound the retention.
// Retention: a row is kept for an hour after its request's deadline
// (DefaultRetention), and may then be swept. A key must not be used again
// later than that. The lease of a claim ends at the request's deadline on the
// claiming router's monotonic clock, and is checked right before each sending.
// The check alone could not keep a second router out, because a pause may fall
// between check and sending; the row does that. The check is there for the
// other end: it keeps a router that wakes after an hour and more, when its row
// may have been swept, from sending.
//
// A request without a key needs no claim. Nothing could relate a repeat of it
// to the first, and this fleet sends it in one attempt, so it runs once at most
// for each time that the caller sends it.
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

// Prefix is where the rows are in the table.
const Prefix store.Key = "claims/"

// Lengths of the parts of a row, in bytes. Rows cross the connections between
// routers, where each byte counts.
const (
	keySize         = 16
	fingerprintSize = 8
	attemptSize     = 12
)

// Request is what is claimed.
type Request struct {
	Account fleet.AccountID
	// Key is the caller's idempotency key.
	Key string
	// Method, Path and Body identify the request that the key stands for.
	Method string
	Path   string
	Body   []byte
	// Deadline is when the router gives the request up.
	Deadline time.Time
}

// row returns the key of the request's row. Accounts can't meet each other's
// keys, because the account is part of what is hashed.
func (r Request) row() store.Key {
	return Prefix + store.Key(hex.EncodeToString(digest(keySize, string(r.Account), r.Key)))
}

func (r Request) fingerprint() []byte {
	return digest(fingerprintSize, r.Method, r.Path, string(r.Body))
}

// digest hashes parts to size bytes, so that no two lists of parts run together.
func digest(size int, parts ...string) []byte {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return hash.Sum(nil)[:size]
}

type attemptID string

func newAttemptID() attemptID {
	var id [attemptSize]byte
	_, _ = rand.Read(id[:])
	return attemptID(id[:])
}

// Answer is an upstream's whole answer, as kept for repeats.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Claim is the right to send one request. Its holder has to call Finish,
// Release or Lose once. It is used by one goroutine.
type Claim struct {
	store   *Store
	key     store.Key
	attempt attemptID
	// version is the row's, zero while it is not known.
	version store.RowVersion
	// lease is when the right to send ends. It keeps the monotonic clock.
	lease  time.Time
	sealed bool
	row    *schema.ClaimRow
}

// Ready reports whether the request may be sent now. It has to be asked right
// before each sending.
//
// The lease is compared on both clocks: a VM that is suspended may resume with
// a monotonic clock that did not move, and a wall clock can be set back.
func (c *Claim) Ready() bool {
	now := c.store.now()
	return !c.sealed && now.Before(c.lease) && now.Round(0).Before(c.lease.Round(0))
}
