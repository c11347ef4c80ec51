// Package attempt makes one exchange of a request with an upstream and says
// truthfully what may have become of it.
//
// The word that a caller hears about a failed exchange (not-run,
// outcome-unknown or run) has one source, Facts.Outcome, which knows only what
// left this router and what came back. An exchange is never repeated in here:
// net/http repeats some requests by itself when a reused connection turns out
// to be closed, so the requests are built in a way that it can't, and a
// connection that would carry a second copy refuses to write.
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

// Names of the headers that a router and an upstream exchange.
const (
	RequestIDHeader = "Nutmeglock-Request-Id"
	StreamIDHeader  = "Nutmeglock-Stream-Id"
	RefusedHeader   = "Nutmeglock-Refused"
)

// Request is what is sent to an upstream.
type Request struct {
	ID     fleet.RequestID
	Method string
	// Path is the escaped path with the query, beginning with a slash.
	Path string
	// Header is copied; hop-by-hop fields and credentials in it are dropped.
	Header http.Header
	Body   []byte
	// Stream names the stream at a model engine; empty for plain services.
	Stream string
	// Idempotent is true when a second run does no harm. The others get a
	// connection of their own, so that none is lost to an idle connection
	// that the upstream was about to close.
	Idempotent bool
}

// Answer is an upstream's answer, of which the header has arrived.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 when it is not known.
	Length int64
	// Body yields the answer's body as it arrives. A read fails with *Error
	// when the answer breaks off. It has to be closed.
	Body io.ReadCloser
	// FirstByte is the time from the start of the exchange to the header.
	FirstByte time.Duration
}

// Refused is an upstream's word that it turned a request away unrun.
type Refused string

// The words that an upstream may give in RefusedHeader.
const (
	Draining Refused = "draining"
	Full     Refused = "full"
)

// Error is a failed exchange.
type Error struct {
	Address string
	Facts   Facts
	Cause   error
}

// Error names the address, the outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s, %s: %v", e.Address, e.Facts.Outcome(), e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Result returns what dispatch is to learn of the failure.
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

// RetryReason returns the reason that a further attempt is counted under.
func (e *Error) RetryReason() retry.Reason {
	switch {
	case e.Facts.Refused == Draining:
		return retry.UpstreamDraining
	case e.Facts.Refused != "":
		return retry.UpstreamRefused
	case !e.Facts.Connected:
		return retry.ConnectFailed
	default:
		return retry.BrokenBefore
	}
}
