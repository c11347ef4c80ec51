// Package forward serves client requests on the routes of a configuration: it finds the route and
// the account, waits for a turn, forwards the request to an upstream and relays the answer.
//
// It guarantees, whatever fails: a request is reported as not run only when no upstream has run it
// and none will; a non-idempotent request is sent again only in that case; an answer reaches its
// caller complete and unchanged, or is visibly truncated; when a caller disconnects, its request
// to the upstream is cancelled.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/diagnosis"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

// RequestInfo holds the values parsed from a caller's header.
type RequestInfo struct {
	ID fleet.RequestID
	// Key is the account's API key, empty when the caller sent none.
	Key string
	// Timeout is the caller's timeout; zero when it states none.
	Timeout time.Duration
	// Resumes is the id of the attempt that brought the first event of the stream that the request
	// takes up again, empty if it takes up none. LastEventID is the id of the last event that the
	// caller has, zero if it has none.
	Resumes     fleet.RequestID
	LastEventID uint64
	// Prefixes are the prefixes of the prompt, from short to long.
	Prefixes []turn.Prefix
	// InputTokens is the number of prompt tokens, and OutputTokens the expected number of generated
	// tokens; both are zero when the request has no prompt.
	InputTokens  int
	OutputTokens int
}

// AttemptInfo holds the values that an attempt adds to the request's header.
type AttemptInfo struct {
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	Account  fleet.AccountID
	// Upstream is the upstream that the request is sent to.
	Upstream registry.Upstream
	// LastEventID is the id of the last event that was relayed to the caller. It is empty when there is
	// none or when the caller sent Last-Event-ID itself.
	LastEventID string
	// FetchFrom is the address of an upstream from whose cache a prefix of the prompt is to be
	// copied; empty for none.
	FetchFrom string
}

// AnswerInfo holds the values parsed from the status and header of an upstream's answer.
type AnswerInfo struct {
	// NotRun is true when the upstream states that it hasn't run the request and never will.
	NotRun bool
	// Signed is true when the answer carries an upstream's signature.
	Signed bool
	// Leaving is true when the upstream states that it is leaving.
	Leaving bool
	// Backoff is for how long an upstream that refused the request wants no others from this router;
	// zero when it doesn't say.
	Backoff time.Duration
	// Load is what the upstream states about its load, and LoadRejection why a figure of it isn't used; empty if all are.
	Load          pace.Statement
	LoadRejection pace.Rejection
}

// HeaderCodec translates between header fields and their meaning.
type HeaderCodec interface {
	// ParseRequest parses a caller's header. A field that can't be parsed counts as absent.
	ParseRequest(header http.Header) RequestInfo
	// ParseParts returns the parts of the prompt that the request may share with others.
	ParseParts(header http.Header) prompt.Parts
	// StripReserved removes the key, and the fields that callers may not set for upstreams.
	StripReserved(header http.Header)
	// SetUpstreamHeader sets the fields of the request that is sent to an upstream.
	SetUpstreamHeader(header http.Header, info AttemptInfo)
	// ParseAnswer parses the status and header of an upstream's answer.
	ParseAnswer(status int, header http.Header) AnswerInfo
}

// RoutingState gives access to a router's configuration, turns and retry policies. It is safe for
// concurrent use.
type RoutingState interface {
	// Table returns the configuration in force, nil when none is known.
	Table() *route.Table
	// Turn waits for a request's turn at a service. The error is *turn.RefusedError when the
	// request can't get its turn in time, or the error of ctx.
	Turn(ctx context.Context, service fleet.ServiceID, request turn.Request) (home.Ticket, error)
	// Retries returns the retry policy of a service.
	Retries(service fleet.ServiceID) retry.Policy
}

// Quarantine tracks requests that crash the upstreams that run them. It is safe for concurrent use.
type Quarantine interface {
	// IsActive reports whether an upstream has crashed lately, or anything is refused. While it isn't
	// active, nothing but broken requests need be recorded.
	IsActive(now time.Time) bool
	// RefusedFor returns how long a request will still be refused, zero if it isn't refused.
	RefusedFor(now time.Time, s quarantine.Subject) time.Duration
	// Admit is RefusedFor for a request that is sent if the result is zero.
	Admit(ctx context.Context, now time.Time, s quarantine.Subject) time.Duration
	// IsSuspected reports whether a request isn't retried after a broken connection.
	IsSuspected(now time.Time, s quarantine.Subject) bool
	// RecordServed records that an upstream has answered a request.
	RecordServed(now time.Time, s quarantine.Subject)
	// RecordSound records that an answer to a request has come far, or is whole. The subject has no
	// fingerprint.
	RecordSound(now time.Time, s quarantine.Subject, isWhole bool)
	// RecordBroken records that an upstream closed its connection while it ran a request.
	RecordBroken(b BrokenRequest)
	// HasEnded reports whether an upstream's process has ended, other than after it had said that it
	// would. If this is asked late, another process may have its address.
	HasEnded(ctx context.Context, upstream registry.Upstream, isLate bool) bool
}

// BrokenRequest is a request whose upstream closed the connection while it ran the request.
type BrokenRequest struct {
	Subject  quarantine.Subject
	Upstream registry.Upstream
	SentAt   time.Time
	// Stage is how far the answer had come.
	Stage diagnosis.Stage
}

// Identification is whether a stream may only be sent to the process that an upstream's entry describes.
type Identification int

// The kinds of identification.
const (
	NoIdentification Identification = iota
	// PreferredIdentification means that another process may get the stream, whose software version then is unknown.
	PreferredIdentification
	RequiredIdentification
)

// Origins knows which software versions began the streams of the fleet. It is safe for concurrent
// use.
type Origins interface {
	// Find returns the software version that began a stream of a service. The error is
	// *origin.UnknownError if nothing tells it.
	Find(ctx context.Context, service fleet.ServiceID, stream origin.StreamID) (origin.Finding, error)
	// Identification returns whether a stream may only be sent to the process that an upstream's entry
	// describes, because another one could have another software version. continues is set for a stream that has begun.
	Identification(service fleet.ServiceID, continues bool) Identification
	// SoftwareOf returns the software version of an upstream that has just answered, empty if that
	// isn't certain.
	SoftwareOf(upstream registry.Upstream) fleet.SoftwareVersion
	// Record records which software version began a stream, and until when its caller may take it
	// up again.
	Record(now time.Time, stream origin.Stream, until time.Time)
}

// Avoidance knows which upstreams this router must not send to, because they have stated so in their
// answers. It is safe for concurrent use.
type Avoidance interface {
	// RecordLeaving records that the answer to a request states that its upstream is leaving.
	RecordLeaving(now time.Time, u registry.Upstream, request fleet.RequestID)
	// RecordBackoff records that the answer to a request asks this router to send its upstream nothing
	// for a while.
	RecordBackoff(now time.Time, u registry.Upstream, backoff time.Duration, request fleet.RequestID)
	// Avoided returns why an upstream must not be sent requests now, and whether that is so.
	Avoided(now time.Time, u registry.Upstream) (avoidance.Term, bool)
}

// Handler is the http.Handler for callers. All fields are required but RoutineLog,
// Regions, TooManyConnections, HasCapacity, IsOverloaded, Handover, OnShed, LeavingSince, Avoidance, Quarantine, Origins, Guard and SchedulingLatency.
type Handler struct {
	Codec   HeaderCodec
	State   RoutingState
	Client  *upstream.Client
	Metrics *metric.Set
	// Log gets failed attempts, refusals of requests that were sent, and summaries of other
	// refusals.
	Log *slog.Logger
	// RoutineLog gets the lines on all other requests, of which there may be many; nil means Log.
	RoutineLog *slog.Logger
	// TooManyConnections reports whether so many connections are open that each should be closed
	// after its answer; nil means never.
	TooManyConnections func() bool
	// HasCapacity reports whether the router has processor time for an account's request that has
	// just arrived; nil means always.
	HasCapacity func(now time.Time, account fleet.AccountID) bool
	// IsOverloaded reports whether the router is short of processor time; nil means never.
	IsOverloaded func() bool
	// Handover hands over requests for which HasCapacity reports false; nil means that all of them
	// are refused.
	Handover Handover
	// OnShed is called for each request refused for lack of capacity, with the request's cost in
	// tokens; it may be nil.
	OnShed func(service fleet.ServiceID, account fleet.AccountID, tokens float64)
	// LeavingSince returns when the fleet learned that an upstream is leaving, zero if that is
	// unknown, and whether it is; nil means that none is.
	LeavingSince func(upstream registry.Upstream) (time.Time, bool)
	// Regions has the region of each data centre; nil if no route or account is bound to regions.
	Regions map[fleet.DataCenterID]fleet.RegionID
	// Avoidance may be nil: then nothing that upstreams state is taken into account.
	Avoidance Avoidance
	// Quarantine may be nil.
	Quarantine Quarantine
	// Origins may be nil: then all upstreams of a service count as of one software version.
	Origins Origins
	// Guard recovers from panics in single requests; nil lets them propagate.
	Guard *recovery.Guard
	// SchedulingLatency returns the recent scheduling latency of goroutines; nil means zero.
	SchedulingLatency func() time.Duration

	queues   admission.QueueLimiter[queueKey]
	shutdown shutdownState
	answered atomic.Uint64
	// whole counts whole answers, of which a sample is recorded.
	whole    atomic.Uint64
	refusals refusal.Summary
}

// queueKey identifies a queue: requests of one account for one service wait together.
type queueKey struct {
	service fleet.ServiceID
	account fleet.AccountID
}

// isSampled reports whether a request that was answered normally is logged.
func (h *Handler) isSampled() bool { return h.answered.Add(1)%answerLogInterval == 1 }

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.shutdown.begin()
	defer h.shutdown.end()
	j := h.newJob(w, r)
	if h.shutdown.isClosingConnections() || (h.TooManyConnections != nil && h.TooManyConnections()) {
		w.Header().Set("Connection", "close")
	}
	if err := h.Guard.Do(recovery.Request, j.handle, "request", requestIDValue{j}); err != nil {
		j.panicked(err)
	}
}
