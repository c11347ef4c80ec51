// Package call runs accepted requests: it waits for an upstream slot, sends the
// request, retries it where that is safe, relays the answer and reports the cost.
package call

import (
	"net/http"
	"strings"
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// Headers of a router's answers, and ResumableHeader of callers' requests.
const (
	ResumeTokenHeader = "Nutmeglock-Resume-Token" //nolint:gosec // a header name
	// ResumableHeader set to true keeps a stream running at its engine after the
	// caller's connection broke, so that it can be resumed. Without it the stream
	// is cancelled at once, because nobody would read it.
	ResumableHeader = "Nutmeglock-Resumable"
	// ReplayedHeader marks a stored answer of an earlier run of the request.
	ReplayedHeader = "Nutmeglock-Replayed"
)

// Request is an accepted request, already authenticated and validated.
type Request struct {
	ID      fleet.RequestID
	Account *schema.Account
	Service *schema.Service
	Method  string
	// Path is the escaped path and query to send to the upstream.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent is false if a second run would do harm.
	Idempotent bool
	// IdempotencyKey is the caller's idempotency key, empty if there is none.
	IdempotencyKey string
	// EstimatedCost is the expected cost.
	EstimatedCost fleet.Tokens
	// Prefixes holds the ids of the prompt's prefixes, as in dispatch.Request.
	Prefixes []uint64
	Deadline time.Time
}

func (r *Request) isModel() bool { return fleet.ServiceKind(r.Service.GetKind()) == fleet.Model }

// needsClaim reports whether the request needs a claim. Without a key, a repeat
// could not be matched with the claim.
func (r *Request) needsClaim() bool { return !r.Idempotent && r.IdempotencyKey != "" }

func (r *Request) resumable() bool {
	return strings.EqualFold(r.Header.Get(ResumableHeader), "true")
}

func (r *Request) dispatchRequest(avoided []fleet.UpstreamID) dispatch.Request {
	return dispatch.Request{
		ID: r.ID, Account: r.Account, Service: r.Service, Estimate: r.EstimatedCost,
		Prefixes: r.Prefixes, Deadline: r.Deadline, AvoidedUpstreams: avoided,
	}
}
