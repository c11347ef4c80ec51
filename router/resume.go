package router

import (
	"fmt"
	"strconv"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/stream"
)

// HeaderLastEventID is the header that a browser's EventSource sends when it
// reconnects.
const HeaderLastEventID = "Last-Event-ID"

// handleResume resumes a stream after the loss of its connection or router.
func (r *Router) handleResume(c echo.Context) error {
	account, refused := r.authenticate(c.Request())
	if refused != nil {
		return refused
	}
	c.Set(contextAccount, account.GetId())
	deadline, refused := r.parseDeadline(c.Request())
	if refused != nil {
		return refused
	}
	after, refused := lastEventID(c)
	if refused != nil {
		return refused
	}
	return r.Runner.Resume(c.Request().Context(), c.Response(), call.ResumeRequest{
		ID: requestID(c), Account: account, Token: c.Param("token"), After: after, Deadline: deadline,
	})
}

// lastEventID returns the id of the last event that the caller received, or zero.
func lastEventID(c echo.Context) (stream.EventID, *refusal.Error) {
	text := c.QueryParam("after")
	if text == "" {
		text = c.Request().Header.Get(HeaderLastEventID)
	}
	if text == "" {
		return 0, nil
	}
	after, err := strconv.ParseUint(text, decimal, eventIDBits)
	if err != nil {
		detail := fmt.Sprintf("the last event is %q; allowed is a whole number", text)
		return 0, refusal.New(refusal.BadRequest, detail, 0)
	}
	return stream.EventID(after), nil
}

const eventIDBits = 63
