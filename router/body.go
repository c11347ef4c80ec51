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

// readBody reads the whole request body before the request is queued. A slow
// sender would otherwise occupy an upstream slot, and a broken connection would
// leave a partial request at the upstream.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request) ([]byte, *refusal.Error) {
	controller := http.NewResponseController(w)
	// Only response writers of tests do not support deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(r.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, r.Limits.MaxBodyBytes))
	if err != nil {
		// The deadline stays set: net/http reads the rest of the body before it
		// sends the response. Without a deadline it would wait for a slow caller
		// that itself waits for the refusal.
		w.Header().Set("Connection", "close")
		return nil, r.bodyRefusal(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// bodyRefusal returns the refusal for an error of reading the body.
func (r *Router) bodyRefusal(err error) *refusal.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.BodyTooLarge, fmt.Sprintf("the body is longer than %d bytes", r.Limits.MaxBodyBytes), 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal.New(refusal.BodyTooSlow, fmt.Sprintf("the body did not arrive within %s", r.Limits.BodyTimeout), time.Second)
	default:
		return &refusal.Error{
			Reason: refusal.BadRequest, Outcome: refusal.NotRun,
			Detail: "the body broke off", Cause: err,
		}
	}
}
