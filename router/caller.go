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

// Headers between callers and routers.
const (
	HeaderRequestID     = "nutmeglock-request-id"
	HeaderTimeout       = "nutmeglock-timeout-ms"
	HeaderNonIdempotent = "nutmeglock-non-idempotent"
	HeaderIdempotency   = "Idempotency-Key"
)

const (
	requestIDBytes   = 16
	requestIDKey     = "request-id"
	maxKeyLength     = 128
	bearer           = "Bearer "
	firstPrintable   = ' '
	lastPrintable    = '~'
	decimal          = 10
	timeoutBits      = 32
	minDeadlineAhead = time.Millisecond
)

// identify gives each request an id of its own, which also names it at the
// upstream. A caller can't choose it: two requests of one id could be taken
// for one there.
func (r *Router) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := newRequestID()
		c.Set(requestIDKey, id)
		c.Set(arrivedKey, r.Timer.Now())
		c.Response().Header().Set(HeaderRequestID, string(id))
		return next(c)
	}
}

func newRequestID() fleet.RequestID {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails; it ends the process instead.
	return fleet.RequestID(hex.EncodeToString(raw[:]))
}

func requestID(c echo.Context) fleet.RequestID {
	id, _ := c.Get(requestIDKey).(fleet.RequestID)
	return id
}

// account returns the client account whose key the request presents.
func (r *Router) account(req *http.Request) (*schema.Account, *refusal.Error) {
	key, found := strings.CutPrefix(req.Header.Get(echo.HeaderAuthorization), bearer)
	if !found || key == "" {
		return nil, refusal.New(refusal.UnknownAccount, "the Authorization header holds no bearer key", 0)
	}
	account := r.Notes.Current().AccountByKey(key)
	if account == nil {
		return nil, refusal.New(refusal.UnknownAccount, "no client account has this key", 0)
	}
	return account, nil
}

// service returns a service that the account may call.
func (r *Router) service(c echo.Context, account *schema.Account, id fleet.ServiceID, kind fleet.Kind) (*schema.Service, *refusal.Error) {
	service := r.Notes.Current().Service(id)
	if service == nil || fleet.Kind(service.GetKind()) != kind {
		return nil, refusal.New(refusal.UnknownService, fmt.Sprintf("there is no %s %q", describe(kind), id), 0)
	}
	c.Set(serviceKey, service.GetId())
	allowed := account.GetServices()
	if len(allowed) > 0 && !slices.Contains(allowed, service.GetId()) {
		return nil, refusal.New(refusal.ServiceNotAllowed, fmt.Sprintf("this client account may not call %q", id), 0)
	}
	return service, nil
}

// describe returns what a refusal calls a service of the kind.
func describe(kind fleet.Kind) string {
	if kind == fleet.Model {
		return "model"
	}
	return "plain service"
}

// deadline returns when the caller gives up.
func (r *Router) deadline(req *http.Request) (time.Time, *refusal.Error) {
	now := r.Timer.Now()
	text := req.Header.Get(HeaderTimeout)
	if text == "" {
		return now.Add(r.Limits.DefaultDeadline), nil
	}
	ms, err := strconv.ParseUint(text, decimal, timeoutBits)
	wait := time.Duration(ms) * time.Millisecond
	if err != nil || wait < minDeadlineAhead || wait > r.Limits.MaxDeadline {
		detail := fmt.Sprintf("%s is %q; allowed is a whole number of milliseconds from 1 to %d",
			HeaderTimeout, text, r.Limits.MaxDeadline.Milliseconds())
		return time.Time{}, refusal.New(refusal.BadRequest, detail, 0)
	}
	return now.Add(wait), nil
}

// idempotencyKey returns the caller's key, empty when it gave none.
func idempotencyKey(req *http.Request) (string, *refusal.Error) {
	key := req.Header.Get(HeaderIdempotency)
	if len(key) > maxKeyLength {
		detail := fmt.Sprintf("%s has %d characters; allowed are at most %d", HeaderIdempotency, len(key), maxKeyLength)
		return "", refusal.New(refusal.BadRequest, detail, 0)
	}
	for _, char := range key {
		if char < firstPrintable || char > lastPrintable {
			return "", refusal.New(refusal.BadRequest, HeaderIdempotency+" holds a character that is not printable ASCII", 0)
		}
	}
	return key, nil
}
