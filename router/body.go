package router

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"nutmeglock.example/nutmeglock/refusal"
)

// readBody returns the whole request body. It has to be whole before the
// request may wait: a caller that sends slowly would hold a slot at an
// upstream that others wait for, and one that breaks off in the middle would
// leave half a request there.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request) ([]byte, *refusal.Error) {
	control := http.NewResponseController(w)
	// A writer without deadlines is one of a test; it has no slow callers.
	_ = control.SetReadDeadline(time.Now().Add(r.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, r.Limits.BodyBytes))
	if err != nil {
		// The deadline stays: net/http reads the rest of a body before it sends
		// the answer. Without a deadline it would wait for the slow caller, who
		// would wait for the refusal.
		w.Header().Set("Connection", "close")
		return nil, r.bodyRefusal(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func (r *Router) bodyRefusal(err error) *refusal.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.BodyTooLarge, fmt.Sprintf("the body is longer than %d bytes", r.Limits.BodyBytes), 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal.New(refusal.BodyTooSlow, fmt.Sprintf("the body did not arrive within %s", r.Limits.BodyTimeout), time.Second)
	default:
		return &refusal.Error{
			Reason: refusal.BadRequest, Outcome: refusal.NotRun,
			Detail: "the body broke off", Cause: err,
		}
	}
}
