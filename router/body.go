package router

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/refusal"
)

// contextBody is the key of how far a request's body was read, in the context of its handler.
const contextBody = "body"

// Values of contextBody.
const (
	bodyBroken = "broken"
	bodyWhole  = "whole"
)

// memoryRetryAfter is about the time for which requests hold memory. The load balancer may route the retry to another
// router.
const memoryRetryAfter = time.Second

// readBody reads the whole request body before the request is queued. A slow
// sender would otherwise occupy an upstream slot, and a broken connection would
// leave a partial request at the upstream.
func (r *Router) readBody(c echo.Context) ([]byte, *refusal.Error) {
	reader := caller.BodyReader{MaxBytes: r.Limits.MaxBodyBytes, Deadline: time.Now().Add(r.Limits.BodyTimeout)}
	body, err := reader.Read(c.Response(), c.Request())
	if err == nil {
		err = caller.FromContext(c.Request().Context()).Lease().Take(time.Now(), int64(body.Len())) // for the copy
	}
	if err != nil {
		c.Set(contextBody, bodyBroken)
		return nil, r.bodyRefusal(err)
	}
	c.Set(contextBody, bodyWhole)
	return body.Join(), nil
}

// endUnreadBody bounds what becomes of the body of a request that is refused.
func endUnreadBody(c echo.Context) {
	if read := c.Get(contextBody); read != bodyWhole {
		caller.EndUnread(c.Response(), c.Request(), read == bodyBroken)
	}
}

// bodyRefusal returns the refusal for an error of reading the body.
func (r *Router) bodyRefusal(err error) *refusal.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.BodyTooLarge, fmt.Sprintf("the body is longer than %d bytes", r.Limits.MaxBodyBytes), 0)
	case caller.IsShortOfMemory(err):
		return caller.RefuseMemory(err, memoryRetryAfter)
	case caller.IsTooSlow(err):
		return refusal.New(refusal.BodyTooSlow, fmt.Sprintf("the body did not arrive within %s", r.Limits.BodyTimeout), time.Second)
	default:
		return &refusal.Error{
			Reason: refusal.BadRequest, Outcome: refusal.NotRun,
			Detail: "the body broke off", Cause: err,
		}
	}
}
