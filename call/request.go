// Package call takes one accepted request from its slot to the whole answer:
// it waits for a turn, sends the request, repeats what may be repeated, relays
// the answer and reports the cost.
package call

import (
	"net/http"
	"strings"
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// Headers that a router adds to an answer, and that a caller may send.
const (
	ResumeTokenHeader = "Nutmeglock-Resume-Token" //nolint:gosec // a header name
	// ResumableHeader set to true keeps a stream alive at its engine when the
	// caller's connection breaks, for a resumption. Without it the stream is
	// cancelled at once, because nobody is left to read it.
	ResumableHeader = "Nutmeglock-Resumable"
	// ReplayedHeader marks an answer that was kept from the first run.
	ReplayedHeader = "Nutmeglock-Replayed"
)

// Request is one accepted request. The router has authenticated and checked it.
type Request struct {
	ID      fleet.RequestID
	Account *schema.Account
	Service *schema.Service
	Method  string
	// Path is the escaped path and query that the upstream is to get.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent is false when a second run would do harm.
	Idempotent bool
	// Key is the caller's idempotency key, empty when it sent none.
	Key string
	// Estimate is the expected cost.
	Estimate fleet.Tokens
	// Prefix identifies the beginning of the prompt, for cache affinity.
	Prefix   []uint64
	Deadline time.Time
}

func (r *Request) model() bool { return fleet.Kind(r.Service.GetKind()) == fleet.Model }

// claimed reports whether the request needs a claim. Without a key a claim
// could not be related to the caller's repeat.
func (r *Request) claimed() bool { return !r.Idempotent && r.Key != "" }

func (r *Request) resumable() bool {
	return strings.EqualFold(r.Header.Get(ResumableHeader), "true")
}

func (r *Request) work(avoid []fleet.UpstreamID) dispatch.Work {
	return dispatch.Work{
		Request: r.ID, Account: r.Account, Service: r.Service, Estimate: r.Estimate,
		Prefix: r.Prefix, Deadline: r.Deadline, Avoid: avoid,
	}
}
