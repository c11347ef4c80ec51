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
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
)

// handleError gives the caller a refusal for whatever a handler returned, and
// counts it. It is the only place that does either.
func (r *Router) handleError(err error, c echo.Context) {
	refused := asRefusal(err)
	r.Metrics.Refusals.WithLabelValues(string(refused.Reason)).Inc()
	r.log(c, refused)
	r.report(c, refused.Reason)
	if !c.Response().Committed {
		writeRefusal(c, refused)
		return
	}
	// An answer that broke off would look whole if its connection were closed
	// in order: a caller would take half a finding for all of it. Aborting the
	// handler cuts the connection, so that every HTTP client reports an error.
	panic(http.ErrAbortHandler)
}

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
	var web *echo.HTTPError
	if errors.As(err, &web) && web.Code < http.StatusInternalServerError {
		return &refusal.Error{
			Reason: refusal.BadRequest, Outcome: refusal.NotRun,
			Detail: "there is no such path or method here", Cause: err,
		}
	}
	// The outcome is unknown, because nobody can say how far the request had come.
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
		c.Response().Header().Set(echo.HeaderRetryAfter, wholeSeconds(refused.RetryAfter))
	}
	// A caller that is gone can't be told.
	_ = c.Blob(refused.Reason.Status(), echo.MIMEApplicationJSON, text)
}

// wholeSeconds rounds up, so that nobody comes back too early.
func wholeSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func (r *Router) log(c echo.Context, refused *refusal.Error) {
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
	if id, ok := c.Get(accountKey).(string); ok {
		attrs = append(attrs, slog.String("account", id))
	}
	if refused.Cause != nil {
		attrs = append(attrs, slog.String("cause", refused.Cause.Error()))
	}
	r.Log.LogAttrs(c.Request().Context(), level, "request refused", attrs...)
}
