package router

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
)

// HTTP headers of the API for callers.
const (
	HeaderRequestID      = "nutmeglock-request-id"
	HeaderTimeout        = "nutmeglock-timeout-ms"
	HeaderNonIdempotent  = "nutmeglock-non-idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	requestIDBytes         = 16
	contextRequestID       = "request-id"
	maxIdempotencyKeyBytes = 128
	bearerPrefix           = "Bearer "
	firstPrintable         = ' '
	lastPrintable          = '~'
	decimal                = 10
	timeoutBits            = 32
	minTimeout             = time.Millisecond
)

// assignRequestID gives each request a unique id, which is also sent to the
// upstream. Callers can't choose it, because the upstream could mistake two
// requests with the same id for one.
func (r *Router) assignRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := newRequestID()
		c.Set(contextRequestID, id)
		c.Set(contextArrival, r.Timer.Now())
		c.Response().Header().Set(HeaderRequestID, string(id))
		return next(c)
	}
}

func newRequestID() fleet.RequestID {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read ends the process rather than fail.
	return fleet.RequestID(hex.EncodeToString(raw[:]))
}

func requestID(c echo.Context) fleet.RequestID {
	id, _ := c.Get(contextRequestID).(fleet.RequestID)
	return id
}

// authenticate returns the client account of the request's bearer key.
func (r *Router) authenticate(req *http.Request) (*schema.Account, *refusal.Error) {
	key, found := strings.CutPrefix(req.Header.Get(echo.HeaderAuthorization), bearerPrefix)
	if !found || key == "" {
		return nil, refusal.New(refusal.UnknownAccount, "the Authorization header holds no bearer key", 0)
	}
	account := r.Notes.Current().AccountByKey(key)
	if account == nil {
		return nil, refusal.New(refusal.UnknownAccount, "no client account has this key", 0)
	}
	return account, nil
}

// authorisedService returns the service with the id if it is of the kind and
// the account may call it.
func (r *Router) authorisedService(c echo.Context, account *schema.Account, id fleet.ServiceID, kind fleet.ServiceKind) (*schema.Service, *refusal.Error) {
	service := r.Notes.Current().Service(id)
	if service == nil || fleet.ServiceKind(service.GetKind()) != kind {
		return nil, refusal.New(refusal.UnknownService, fmt.Sprintf("there is no %s %q", kindName(kind), id), 0)
	}
	c.Set(contextService, service.GetId())
	allowed := account.GetServices()
	if len(allowed) > 0 && !slices.Contains(allowed, service.GetId()) {
		return nil, refusal.New(refusal.ServiceNotAllowed, fmt.Sprintf("this client account may not call %q", id), 0)
	}
	return service, nil
}

// kindName returns the name of the kind for refusals.
func kindName(kind fleet.ServiceKind) string {
	if kind == fleet.Model {
		return "model"
	}
	return "plain service"
}

// parseDeadline returns the deadline from the caller's timeout header, or the
// default deadline.
func (r *Router) parseDeadline(req *http.Request) (time.Time, *refusal.Error) {
	now := r.Timer.Now()
	text := req.Header.Get(HeaderTimeout)
	if text == "" {
		return now.Add(r.Limits.DefaultDeadline), nil
	}
	ms, err := strconv.ParseUint(text, decimal, timeoutBits)
	timeout := time.Duration(ms) * time.Millisecond
	if err != nil || timeout < minTimeout || timeout > r.Limits.MaxDeadline {
		detail := fmt.Sprintf("%s is %q; allowed is a whole number of milliseconds from 1 to %d",
			HeaderTimeout, text, r.Limits.MaxDeadline.Milliseconds())
		return time.Time{}, refusal.New(refusal.BadRequest, detail, 0)
	}
	return now.Add(timeout), nil
}

// idempotencyKey returns the request's idempotency key, or "" if it has none.
func idempotencyKey(req *http.Request) (string, *refusal.Error) {
	key := req.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		detail := fmt.Sprintf("%s has %d characters; allowed are at most %d", HeaderIdempotencyKey, len(key), maxIdempotencyKeyBytes)
		return "", refusal.New(refusal.BadRequest, detail, 0)
	}
	for _, char := range key {
		if char < firstPrintable || char > lastPrintable {
			return "", refusal.New(refusal.BadRequest, HeaderIdempotencyKey+" holds a character that is not printable ASCII", 0)
		}
	}
	return key, nil
}
