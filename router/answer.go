package router

import (
	"errors"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/encoding/protojson"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
)

// handleError turns a handler's error into a refusal, counts and logs it, and
// sends it to the caller. Nothing else sends or counts refusals.
func (r *Router) handleError(err error, c echo.Context) {
	refused := asRefusal(err)
	r.Metrics.Refusals.WithLabelValues(string(refused.Reason)).Inc()
	r.logRefusal(c, refused)
	r.reportRefusal(c, refused.Reason)
	if !c.Response().Committed {
		endUnreadBody(c)
		writeRefusal(c, refused)
		return
	}
	// A truncated response would look complete if its connection were closed
	// cleanly.
	caller.Abort(c.Request())
}

// asRefusal returns the refusal for an error of a handler or of echo.
func asRefusal(err error) *refusal.Error {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return refused
	}
	var broken *call.BrokenError
	if errors.As(err, &broken) {
		return &refusal.Error{
			Reason: refusal.UpstreamFailed, Outcome: broken.Outcome,
			Detail: "the answer broke off", Cause: err,
		}
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) && httpErr.Code < http.StatusInternalServerError {
		return &refusal.Error{
			Reason: refusal.BadRequest, Outcome: refusal.NotRun,
			Detail: "there is no such path or method here", Cause: err,
		}
	}
	// The outcome is unknown: the request may have reached an upstream.
	return &refusal.Error{
		Reason: refusal.Internal, Outcome: refusal.Unknown,
		Detail: "the router failed", Cause: err,
	}
}

func writeRefusal(c echo.Context, refused *refusal.Error) {
	body := &schema.RefusalBody{Error: &schema.RefusalDetail{
		RequestId:    string(requestID(c)),
		Outcome:      string(refused.Outcome),
		Reason:       string(refused.Reason),
		Message:      refused.Detail,
		RetryAfterMs: uint32(refused.RetryAfter.Milliseconds()),
	}}
	text, err := protojson.Marshal(body)
	if err != nil {
		text = []byte(`{"error":{"outcome":"outcome-unknown","reason":"internal"}}`)
	}
	if refused.RetryAfter > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, ceilSeconds(refused.RetryAfter))
	}
	// The error is ignored, because it means that the caller has disconnected.
	_ = c.Blob(refused.Reason.Status(), echo.MIMEApplicationJSON, text)
}

// ceilSeconds formats d in whole seconds for Retry-After, rounded up so that
// callers do not retry too early.
func ceilSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func (r *Router) logRefusal(c echo.Context, refused *refusal.Error) {
	level := slog.LevelInfo
	if refused.Reason == refusal.Internal {
		level = slog.LevelError
	}
	attrs := []slog.Attr{
		slog.String("request-id", string(requestID(c))),
		slog.String("reason", string(refused.Reason)),
		slog.String("outcome", string(refused.Outcome)),
		slog.String("detail", refused.Detail),
	}
	if id, ok := c.Get(contextAccount).(string); ok {
		attrs = append(attrs, slog.String("account", id))
	}
	if refused.Cause != nil {
		attrs = append(attrs, slog.String("cause", refused.Cause.Error()))
	}
	r.Log.LogAttrs(c.Request().Context(), level, "request refused", attrs...)
}
