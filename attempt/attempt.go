// Package attempt sends one request to an upstream and reports whether the
// upstream may have run it.
//
// The outcome of a failed exchange that is returned to the caller (not-run,
// outcome-unknown or run) is computed in one place, Facts.Outcome, only from
// the bytes that this router sent and received. An exchange is never retried here:
// net/http retries some requests by itself if a reused connection turns out to
// be closed, so the requests are built in a way that prevents it, and a
// connection that would carry a second copy rejects the write.
package attempt

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/retry"
)

// Names of the headers between router and upstream.
const (
	RequestIDHeader = "Nutmeglock-Request-Id"
	StreamIDHeader  = "Nutmeglock-Stream-Id"
	RefusedHeader   = "Nutmeglock-Refused"
)

// Request is a request to an upstream.
type Request struct {
	ID     fleet.RequestID
	Method string
	// Path is the escaped path with the query. It begins with a slash.
	Path string
	// Header is copied without hop-by-hop fields and credentials.
	Header http.Header
	Body   []byte
	// StreamID is the id of the stream at a model engine; empty for plain services.
	StreamID string
	// Idempotent is true if a second run does no harm. Other requests get a
	// connection of their own, so that none fails on an idle connection that the
	// upstream is about to close.
	Idempotent bool
}

// Answer is an upstream's answer, whose header has been read.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Body streams the answer's body. A read fails with *Error if the answer is
	// incomplete. The caller must close it.
	Body io.ReadCloser
	// TimeToHeader is the time from the start of the exchange until the header was read.
	TimeToHeader time.Duration
}

// UpstreamRefusal is the reason for which an upstream refused a request without running
// it; empty if it did not.
type UpstreamRefusal string

// Values of RefusedHeader.
const (
	Draining UpstreamRefusal = "draining"
	Full     UpstreamRefusal = "full"
)

// Error is a failed exchange.
type Error struct {
	Address string
	Facts   Facts
	Cause   error
}

// Error returns a message with the address, the outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s, %s: %v", e.Address, e.Facts.Outcome(), e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Result returns the result that is reported to dispatch.
func (e *Error) Result() dispatch.Result {
	switch e.Facts.Refused {
	case "":
		return dispatch.Failed
	case Draining:
		return dispatch.Draining
	default:
		return dispatch.Refused
	}
}

// RetryReason returns the reason by which a retry is counted.
func (e *Error) RetryReason() retry.Reason {
	switch {
	case e.Facts.Refused == Draining:
		return retry.UpstreamDraining
	case e.Facts.Refused != "":
		return retry.UpstreamRefused
	case !e.Facts.Connected:
		return retry.ConnectFailed
	default:
		return retry.BrokenBeforeAnswer
	}
}
