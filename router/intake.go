package router

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
)

const accountKey = "account"

// intake is what every kind of request has in common once it was read.
type intake struct {
	account  *schema.Account
	key      string
	deadline time.Time
	body     []byte
}

// accept reads a request whole and checks what does not depend on its kind.
func (r *Router) accept(c echo.Context) (intake, *refusal.Error) {
	req := c.Request()
	account, refused := r.account(req)
	if refused != nil {
		return intake{}, refused
	}
	c.Set(accountKey, account.GetId())
	deadline, refused := r.deadline(req)
	if refused != nil {
		return intake{}, refused
	}
	key, refused := idempotencyKey(req)
	if refused != nil {
		return intake{}, refused
	}
	body, refused := r.readBody(c.Response(), req)
	if refused != nil {
		return intake{}, refused
	}
	return intake{account: account, key: key, deadline: deadline, body: body}, nil
}

// request returns the call that an intake asks of a service.
func (in intake) request(c echo.Context, service *schema.Service) call.Request {
	req := c.Request()
	return call.Request{
		ID:       requestID(c),
		Account:  in.account,
		Service:  service,
		Method:   req.Method,
		Path:     req.URL.RequestURI(),
		Header:   forwarded(req.Header),
		Body:     in.body,
		Key:      in.key,
		Deadline: in.deadline,
	}
}

// forwarded returns the headers that an upstream gets. The account key stays
// here: an upstream that leaks its log would leak it too.
func forwarded(header http.Header) http.Header {
	out := header.Clone()
	for _, name := range hopByHop {
		out.Del(name)
	}
	for _, name := range strings.Split(header.Get(echo.HeaderConnection), ",") {
		out.Del(strings.TrimSpace(name))
	}
	return out
}

// hopByHop holds the headers of RFC 9110, section 7.6.1, that belong to one
// connection only, and those that are between the caller and the router.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authorization", "Authorization", "Content-Length", "Accept-Encoding",
	HeaderTimeout, HeaderNonIdempotent,
}

// run hands an accepted request on and returns what became of it.
func (r *Router) run(c echo.Context, request call.Request) error {
	c.Set(handedOnKey, true)
	return r.Runner.Run(c.Request().Context(), c.Response(), request)
}

// plain passes a call on to a plain service.
func (r *Router) plain(c echo.Context) error {
	in, refused := r.accept(c)
	if refused != nil {
		return refused
	}
	service, refused := r.service(c, in.account, fleet.ServiceID(c.Param("service")), fleet.Plain)
	if refused != nil {
		return refused
	}
	request := in.request(c, service)
	request.Path = plainPath(c)
	request.Idempotent = idempotent(c.Request(), service)
	request.Estimate = estimate.Call(service.GetCallCost())
	return r.run(c, request)
}

// plainPath returns the path and query below the service's name, in the
// caller's own spelling.
func plainPath(c echo.Context) string {
	prefix := fmt.Sprintf("/v1/services/%s", c.Param("service"))
	path := strings.TrimPrefix(c.Request().URL.RequestURI(), prefix)
	if !strings.HasPrefix(path, "/") {
		return "/" + path
	}
	return path
}

// idempotent reports whether a second run of the call does no harm. A service
// that lists methods is taken at its word; else the definition of HTTP holds
// (RFC 9110, section 9.2.2). The caller's mark goes before both.
func idempotent(req *http.Request, service *schema.Service) bool {
	if req.Header.Get(HeaderNonIdempotent) == "true" {
		return false
	}
	methods := service.GetNonIdempotentMethods()
	if len(methods) == 0 {
		methods = nonIdempotentByDefault
	}
	return !slices.Contains(methods, req.Method)
}

var nonIdempotentByDefault = []string{http.MethodPost, http.MethodPatch}
