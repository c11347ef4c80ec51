package router

import (
	"fmt"
	"strconv"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/stream"
)

// HeaderLastEvent is what a browser's event source sends when it connects again.
const HeaderLastEvent = "Last-Event-ID"

// resume takes up a stream whose connection, or whose router, was lost.
func (r *Router) resume(c echo.Context) error {
	account, refused := r.account(c.Request())
	if refused != nil {
		return refused
	}
	c.Set(accountKey, account.GetId())
	deadline, refused := r.deadline(c.Request())
	if refused != nil {
		return refused
	}
	after, refused := lastEvent(c)
	if refused != nil {
		return refused
	}
	return r.Runner.Resume(c.Request().Context(), c.Response(), call.Resumption{
		ID: requestID(c), Account: account, Token: c.Param("token"), After: after, Deadline: deadline,
	})
}

// lastEvent returns the id of the last event that the caller has, zero for none.
func lastEvent(c echo.Context) (stream.EventID, *refusal.Error) {
	text := c.QueryParam("after")
	if text == "" {
		text = c.Request().Header.Get(HeaderLastEvent)
	}
	if text == "" {
		return 0, nil
	}
	after, err := strconv.ParseUint(text, decimal, eventBits)
	if err != nil {
		detail := fmt.Sprintf("the last event is %q; allowed is a whole number", text)
		return 0, refusal.New(refusal.BadRequest, detail, 0)
	}
	return stream.EventID(after), nil
}

const eventBits = 63
