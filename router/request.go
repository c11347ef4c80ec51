package router

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
)

// contextAccount is the echo context key of the client account's id.
const contextAccount = "account"

// parsedRequest holds the parts of a request that chat completions and plain
// calls have in common.
type parsedRequest struct {
	account        *schema.Account
	idempotencyKey string
	deadline       time.Time
	body           []byte
}

// readRequest authenticates the caller and reads the deadline, the idempotency
// key and the whole body.
func (r *Router) readRequest(c echo.Context) (parsedRequest, *refusal.Error) {
	req := c.Request()
	account, refused := r.authenticate(req)
	if refused != nil {
		return parsedRequest{}, refused
	}
	c.Set(contextAccount, account.GetId())
	if err := caller.FromContext(req.Context()).Lease().Admit(fleet.AccountID(account.GetId())); err != nil {
		return parsedRequest{}, caller.RefuseConnection(err, memoryRetryAfter)
	}
	deadline, refused := r.parseDeadline(req)
	if refused != nil {
		return parsedRequest{}, refused
	}
	key, refused := idempotencyKey(req)
	if refused != nil {
		return parsedRequest{}, refused
	}
	body, refused := r.readBody(c)
	if refused != nil {
		return parsedRequest{}, refused
	}
	return parsedRequest{account: account, idempotencyKey: key, deadline: deadline, body: body}, nil
}

// callRequest returns the request to run at the service.
func (parsed parsedRequest) callRequest(c echo.Context, service *schema.Service) call.Request {
	req := c.Request()
	return call.Request{
		ID:             requestID(c),
		Account:        parsed.account,
		Service:        service,
		Method:         req.Method,
		Path:           req.URL.RequestURI(),
		Header:         forwardedHeader(req.Header),
		Body:           parsed.body,
		IdempotencyKey: parsed.idempotencyKey,
		Deadline:       parsed.deadline,
	}
}

// forwardedHeader returns the header to send to the upstream. It omits the
// account key, which could otherwise leak through an upstream's log.
func forwardedHeader(header http.Header) http.Header {
	out := header.Clone()
	for _, name := range notForwarded {
		out.Del(name)
	}
	for _, name := range strings.Split(header.Get(echo.HeaderConnection), ",") {
		out.Del(strings.TrimSpace(name))
	}
	return out
}

// notForwarded lists the hop-by-hop headers of RFC 9110, section 7.6.1, and the
// headers meant only for the router.
var notForwarded = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authorization", "Authorization", "Content-Length", "Accept-Encoding",
	HeaderTimeout, HeaderNonIdempotent,
}

// passToRunner runs a validated request. The Runner reports the end of the request.
func (r *Router) passToRunner(c echo.Context, request call.Request) error {
	c.Set(contextPassedToRunner, true)
	return r.Runner.Run(c.Request().Context(), c.Response(), request)
}

// handlePlainCall serves a call to a plain service.
func (r *Router) handlePlainCall(c echo.Context) error {
	parsed, refused := r.readRequest(c)
	if refused != nil {
		return refused
	}
	service, refused := r.authorisedService(c, parsed.account, fleet.ServiceID(c.Param("service")), fleet.Plain)
	if refused != nil {
		return refused
	}
	request := parsed.callRequest(c, service)
	request.Path = plainPath(c)
	request.Idempotent = isIdempotent(c.Request(), service)
	request.EstimatedCost = estimate.CallCost(service.GetCallCost())
	return r.passToRunner(c, request)
}

// plainPath returns the path and query below the service's name, with the
// caller's escaping unchanged.
func plainPath(c echo.Context) string {
	prefix := fmt.Sprintf("/v1/services/%s", c.Param("service"))
	path := strings.TrimPrefix(c.Request().URL.RequestURI(), prefix)
	if !strings.HasPrefix(path, "/") {
		return "/" + path
	}
	return path
}

// isIdempotent reports whether the call may safely run twice. The caller's
// non-idempotent header takes precedence, then the service's list of methods,
// then the HTTP definition (RFC 9110, section 9.2.2).
func isIdempotent(req *http.Request, service *schema.Service) bool {
	if req.Header.Get(HeaderNonIdempotent) == "true" {
		return false
	}
	methods := service.GetNonIdempotentMethods()
	if len(methods) == 0 {
		methods = defaultNonIdempotentMethods
	}
	return !slices.Contains(methods, req.Method)
}

var defaultNonIdempotentMethods = []string{http.MethodPost, http.MethodPatch}
