package operator

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
)

// Reason identifies why the API returned an error.
type Reason string

// The reasons.
const (
	Denied       Reason = "denied"
	BadRequest   Reason = "bad-request"
	BodyTooLarge Reason = "body-too-large"
	NotFound     Reason = "not-found"
	// Invalid is a release note with faults. No part of it was accepted.
	Invalid Reason = "invalid"
	// Clashing is a release note that clashes with accepted ones. No part of it
	// was accepted.
	Clashing Reason = "clash"
	// Busy is a release note that was not accepted, because each attempt either
	// conflicted with another note or read stale rows.
	Busy Reason = "busy"
	// Unavailable means that the platform's table is down. Nothing was changed.
	Unavailable Reason = "unavailable"
	// Unsettled means that it is not known whether the note was accepted.
	Unsettled Reason = "unsettled"
	// NotReady means that the router holds no release note yet.
	NotReady Reason = "not-ready"
	Internal Reason = "internal"
)

// Reasons returns every reason, so that their counters exist from the start.
func Reasons() []Reason {
	return []Reason{
		Denied, BadRequest, BodyTooLarge, NotFound, Invalid, Clashing, Busy, Unavailable, Unsettled, NotReady, Internal,
	}
}

// failure is an error response.
type failure struct {
	status int
	detail *schema.OperatorError
}

// Error returns the reason and the message.
func (f *failure) Error() string { return f.detail.GetReason() + ": " + f.detail.GetMessage() }

// retryAfter is how long to wait after an outage or repeated conflicts.
// Meanwhile an operator's command tries the other routers.
const retryAfter = 2 * time.Second

func newFailure(status int, reason Reason, message string) *failure {
	return &failure{status, &schema.OperatorError{Reason: string(reason), Message: message}}
}

func newRetryableFailure(status int, reason Reason, message string) *failure {
	f := newFailure(status, reason, message)
	f.detail.RetryAfterMs = uint32(retryAfter.Milliseconds())
	return f
}

// failureFor returns the response to an error.
func failureFor(err error) *failure {
	var existing *failure
	if errors.As(err, &existing) {
		return existing
	}
	if f := noteFailure(err); f != nil {
		return f
	}
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) {
		return newRetryableFailure(http.StatusServiceUnavailable, Unavailable, "the platform cannot be reached; this request changed nothing")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newFailure(http.StatusRequestEntityTooLarge, BodyTooLarge, "a release note takes at most "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		return routingFailure(httpErr)
	}
	return newFailure(http.StatusInternalServerError, Internal, "the router could not answer; its log says why")
}

func routingFailure(err *echo.HTTPError) *failure {
	if err.Code == http.StatusNotFound || err.Code == http.StatusMethodNotAllowed {
		return newFailure(err.Code, NotFound, http.StatusText(err.Code))
	}
	return newFailure(err.Code, BadRequest, http.StatusText(err.Code))
}

// noteFailure returns the response to a release note that was not accepted, or
// nil for any other error.
func noteFailure(err error) *failure {
	var faults *document.FaultsError
	var clash *note.ClashError
	var busy *note.BusyError
	var unsettled *note.UnsettledError
	switch {
	case errors.As(err, &faults):
		return faultsFailure(faults)
	case errors.As(err, &clash):
		return clashFailure(clash)
	case errors.As(err, &busy):
		return newRetryableFailure(http.StatusServiceUnavailable, Busy, busy.Error())
	case errors.As(err, &unsettled):
		f := newRetryableFailure(http.StatusGatewayTimeout, Unsettled, "it is not known whether the note was accepted; publish it again with the same publish id to find out, which never publishes it twice")
		f.detail.PublishId = string(unsettled.PublishID)
		return f
	}
	return nil
}

func faultsFailure(err *document.FaultsError) *failure {
	detail := &schema.OperatorError{
		Reason: string(Invalid), Message: "the release note was not accepted because of its faults", Dropped: uint32(err.Dropped),
	}
	for _, f := range err.Faults {
		detail.Faults = append(detail.Faults, &schema.NoteFault{
			Line: uint32(f.Line), Column: uint32(f.Column), Path: f.Path, Kind: string(f.Kind), Found: f.Found, Allowed: f.Allowed,
		})
	}
	return &failure{http.StatusUnprocessableEntity, detail}
}

func clashFailure(err *note.ClashError) *failure {
	detail := &schema.OperatorError{
		Reason: string(Clashing), Message: "the release note was not accepted: others touched the same entries", BasedOn: uint64(err.BasedOn),
	}
	for _, c := range err.Clashes {
		detail.Clashes = append(detail.Clashes, &schema.NoteClash{
			Kind: string(c.Entry.Kind), Id: c.Entry.ID, Version: uint64(c.Version), Author: c.Author, Summary: c.Summary,
		})
	}
	return &failure{http.StatusConflict, detail}
}

// handleError sends the response to a request that failed, counts it and logs
// it.
func (a *api) handleError(err error, c echo.Context) {
	f := failureFor(err)
	a.errorsByReason.WithLabelValues(f.detail.GetReason()).Inc()
	a.Log.InfoContext(c.Request().Context(), "administration request failed",
		"method", c.Request().Method, "path", c.Path(), "author", author(c), "reason", f.detail.GetReason(), "error", err)
	if c.Response().Committed {
		return
	}
	if ms := f.detail.GetRetryAfterMs(); ms > 0 {
		seconds := (time.Duration(ms)*time.Millisecond + time.Second - 1) / time.Second
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	_ = writeJSON(c, f.status, &schema.OperatorErrorBody{Error: f.detail}) // A failed write means that the connection was closed.
}
