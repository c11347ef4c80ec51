// Package forward serves the requests of callers on the routes of a
// configuration: it finds the route and the account, waits for a turn, passes
// the request on and the answer back.
//
// What it holds to, whatever fails: "not run" is only said when no upstream has
// run the request and none will; a request that must not run twice is sent
// again only then; an answer reaches its caller whole and unchanged, or is
// visibly broken off; a caller that leaves ends its work at the upstream.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

// Intake is what the header of a caller's request says.
type Intake struct {
	ID fleet.RequestID
	// Key is the account's key, empty when the caller gave none.
	Key string
	// Left is how long the caller will wait; zero when it doesn't say.
	Left time.Duration
	// Beginnings are those of the prompt, from short to long.
	Beginnings []turn.Beginning
	// Input and Output are the tokens of the prompt, and those that will
	// probably be generated; zero when the request has no prompt.
	Input  int
	Output int
}

// Passing is what an upstream is told besides the request.
type Passing struct {
	// Left is how long the caller will wait.
	Left    time.Duration
	Account fleet.AccountID
	// Upstream is the life that may run the request.
	Upstream registry.Upstream
	// After is the id of the last event that the caller has, empty when it has
	// none or said so itself.
	After string
	// FetchFrom is the address of an upstream from whose cache the request's one
	// should copy the beginning of the prompt, empty for none.
	FetchFrom string
}

// Verdict is what an answer says besides its content.
type Verdict struct {
	// NotRun is true when the upstream says that it hasn't run the request and
	// never will.
	NotRun bool
	// Genuine is true when the answer bears an upstream's signature.
	Genuine bool
}

// Dialect translates between header fields and what they mean.
type Dialect interface {
	// Intake reads a caller's header. A field that can't be read counts as absent.
	Intake(header http.Header) Intake
	// Clean removes the fields that callers may not set for upstreams, and the key.
	Clean(header http.Header)
	// Address sets the fields that an upstream is to get.
	Address(header http.Header, passing Passing)
	// Verdict reads the header of an upstream's answer.
	Verdict(status int, header http.Header) Verdict
}

// State is what a router knows. It is safe for concurrent use.
type State interface {
	// Table returns the configuration in force, nil when none is known.
	Table() *route.Table
	// Turn waits for a request's turn at a service. The error is
	// *turn.RefusedError when the turn can't come in time, or that of ctx.
	Turn(ctx context.Context, service fleet.ServiceID, demand turn.Demand) (home.Ticket, error)
	// Retries returns the retry policy of a service.
	Retries(service fleet.ServiceID) retry.Policy
}

// Quarantine knows requests that crash the upstreams that run them. It is safe for
// concurrent use.
type Quarantine interface {
	// Refuses returns for how long a request is refused, zero if it isn't.
	Refuses(now time.Time, request quarantine.Fingerprint) time.Duration
	// IsOnProbation reports whether a request was refused of late, so that it isn't sent
	// again if it breaks off.
	IsOnProbation(now time.Time, request quarantine.Fingerprint) bool
	// Served notes that an upstream has answered a request.
	Served(now time.Time, request quarantine.Fingerprint)
	// Broken notes that an upstream ended its connection while it ran a request that began
	// at a time.
	Broken(request quarantine.Fingerprint, upstream registry.Upstream, began time.Time)
}

// Handler serves callers. All fields have to be set but Routine, Crowded, Takes, Shed,
// Quarantine, Guard and Latency.
type Handler struct {
	Dialect Dialect
	State   State
	Client  *upstream.Client
	Metrics *metric.Set
	// Log is for requests that were sent and got no whole answer, and for sums of refusals.
	Log *slog.Logger
	// Routine is for all other requests, of which there may be many; nil means Log.
	Routine *slog.Logger
	// Crowded reports whether connections should close after their answer, because
	// too many are open; nil never.
	Crowded func() bool
	// Takes reports whether the router has processor time for a request of an
	// account that has just arrived; nil always.
	Takes func(now time.Time, account fleet.AccountID) bool
	// Shed is told of each request that Takes refused, with what it counts in its account's
	// service, in tokens; it may be nil.
	Shed func(service fleet.ServiceID, account fleet.AccountID, tokens float64)
	// Quarantine may be nil.
	Quarantine Quarantine
	// Guard contains panics of single requests; nil lets them pass.
	Guard *recovery.Guard
	// Latency returns how long goroutines waited for the processor of late; nil means zero.
	Latency func() time.Duration

	lines  admission.Lines[lineKey]
	held   held
	served atomic.Uint64
	sums   refusal.Summary
}

// lineKey is whose requests wait in one line.
type lineKey struct {
	service fleet.ServiceID
	account fleet.AccountID
}

// isSampled reports whether a request that was served as usual is logged.
func (h *Handler) isSampled() bool { return h.served.Add(1)%sampleEvery == 1 }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.held.enter()
	defer h.held.leave()
	j := &job{handler: h, writer: w, request: r, arrived: time.Now()}
	if h.held.isLeaving() || (h.Crowded != nil && h.Crowded()) {
		w.Header().Set("Connection", "close")
	}
	if err := h.Guard.Do(recovery.Request, j.handle, "request", requestOf{j}); err != nil {
		j.panicked(err)
	}
}
