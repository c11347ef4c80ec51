// Package refusal defines the responses that nutmeglock gives instead of an upstream's:
// the reason, whether the request was run, and when to retry.
package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is whether a request was run, as reported to its caller.
type Outcome string

const (
	// NotRun means that no upstream has run or will run the request.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have run the request, or may still run it.
	Unknown Outcome = "outcome-unknown"
	// Run means that an upstream ran the request but its answer is incomplete.
	Run Outcome = "run"
)

// Reason is why a request was refused. Each reason has its own counter.
type Reason string

// The reasons. They are documented for operators in docs/operator/refusals.md.
const (
	BadRequest             Reason = "bad-request"
	BodyTooLarge           Reason = "body-too-large"
	BodyTooSlow            Reason = "body-too-slow"
	CallersHoldMemory      Reason = "callers-hold-memory"
	CallersHoldConnections Reason = "callers-hold-connections"
	HeaderTooLarge         Reason = "header-too-large"
	UnknownAccount         Reason = "unknown-account"
	UnknownService         Reason = "unknown-service"
	UnknownRoute           Reason = "unknown-route"
	ServiceNotAllowed      Reason = "service-not-allowed"
	AccountQueueFull       Reason = "account-queue-full"
	AccountAhead           Reason = "account-ahead"
	RouterQueueFull        Reason = "router-queue-full"
	RouterOverloaded       Reason = "router-overloaded"
	DeadlineBeforeTurn     Reason = "deadline-before-turn"
	DeadlinePassed         Reason = "deadline-passed"
	NoUpstream             Reason = "no-upstream"
	UpstreamsLeaving       Reason = "upstreams-leaving"
	UpstreamsBackOff       Reason = "upstreams-back-off"
	SoftwareReplaced       Reason = "software-replaced"
	OriginUnknown          Reason = "stream-origin-unknown"
	UpstreamFailed         Reason = "upstream-failed"
	UpstreamBusy           Reason = "upstream-busy"
	CrashesUpstreams       Reason = "crashes-upstreams"
	RetriesExhausted       Reason = "retries-exhausted"
	Stopping               Reason = "stopping"
	NotReady               Reason = "not-ready"
	ClaimsUnavailable      Reason = "claims-unavailable"
	DuplicateInFlight      Reason = "duplicate-in-flight"
	KeyReused              Reason = "idempotency-key-reused"
	OutcomeLost            Reason = "outcome-lost"
	BadResumeToken         Reason = "bad-resume-token"
	ResumeExpired          Reason = "resume-expired"
	CallerGone             Reason = "caller-gone"
	Internal               Reason = "internal"
)

// Reasons returns all reasons, for counters that start at zero.
func Reasons() []Reason {
	return []Reason{
		BadRequest, BodyTooLarge, BodyTooSlow, CallersHoldMemory, CallersHoldConnections, HeaderTooLarge, UnknownAccount, UnknownService, UnknownRoute,
		ServiceNotAllowed, AccountQueueFull, AccountAhead, RouterQueueFull, RouterOverloaded, DeadlineBeforeTurn, DeadlinePassed,
		NoUpstream, UpstreamsLeaving, UpstreamsBackOff, SoftwareReplaced, OriginUnknown, UpstreamFailed, UpstreamBusy, CrashesUpstreams, RetriesExhausted, Stopping, NotReady,
		ClaimsUnavailable, DuplicateInFlight, KeyReused, OutcomeLost, BadResumeToken,
		ResumeExpired, CallerGone, Internal,
	}
}

// Error is a refusal that is returned to the caller. Match it with errors.As.
type Error struct {
	Reason  Reason
	Outcome Outcome
	// Detail is one sentence for the caller.
	Detail string
	// RetryAfter is how long to wait before a retry; zero means that a retry won't help.
	RetryAfter time.Duration
	// Cause is logged and not shown to the caller.
	Cause error
}

// Error returns the reason, the outcome and the detail.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Detail)
	if e.Cause == nil {
		return text
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns a refusal of a request that was not run.
func New(reason Reason, detail string, retryAfter time.Duration) *Error {
	return &Error{Reason: reason, Outcome: NotRun, Detail: detail, RetryAfter: retryAfter}
}

var statuses = map[Reason]int{
	BadRequest:             http.StatusBadRequest,
	BodyTooLarge:           http.StatusRequestEntityTooLarge,
	BodyTooSlow:            http.StatusRequestTimeout,
	CallersHoldMemory:      http.StatusServiceUnavailable,
	CallersHoldConnections: http.StatusServiceUnavailable,
	HeaderTooLarge:         http.StatusRequestHeaderFieldsTooLarge,
	UnknownAccount:         http.StatusUnauthorized,
	UnknownService:         http.StatusNotFound,
	UnknownRoute:           http.StatusNotFound,
	ServiceNotAllowed:      http.StatusForbidden,
	AccountQueueFull:       http.StatusTooManyRequests,
	AccountAhead:           http.StatusTooManyRequests,
	RouterQueueFull:        http.StatusServiceUnavailable,
	RouterOverloaded:       http.StatusServiceUnavailable,
	DeadlineBeforeTurn:     http.StatusServiceUnavailable,
	DeadlinePassed:         http.StatusGatewayTimeout,
	NoUpstream:             http.StatusServiceUnavailable,
	UpstreamsLeaving:       http.StatusServiceUnavailable,
	UpstreamsBackOff:       http.StatusServiceUnavailable,
	SoftwareReplaced:       http.StatusServiceUnavailable,
	OriginUnknown:          http.StatusServiceUnavailable,
	UpstreamFailed:         http.StatusBadGateway,
	UpstreamBusy:           http.StatusServiceUnavailable,
	CrashesUpstreams:       http.StatusServiceUnavailable,
	RetriesExhausted:       http.StatusBadGateway,
	Stopping:               http.StatusServiceUnavailable,
	NotReady:               http.StatusServiceUnavailable,
	ClaimsUnavailable:      http.StatusServiceUnavailable,
	DuplicateInFlight:      http.StatusConflict,
	KeyReused:              http.StatusUnprocessableEntity,
	OutcomeLost:            http.StatusConflict,
	BadResumeToken:         http.StatusBadRequest,
	ResumeExpired:          http.StatusGone,
}

// Status returns the HTTP status of a reason, 500 if none is defined.
func (r Reason) Status() int {
	if status, ok := statuses[r]; ok {
		return status
	}
	return http.StatusInternalServerError
}
