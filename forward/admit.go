package forward

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/route"
)

const (
	// notReadyRetryAfter is when a caller of a router without a configuration
	// comes back, probably to another router.
	notReadyRetryAfter = 250 * time.Millisecond
	// stoppingRetryAfter sends a caller to another router at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// overloadedRetryAfter is when a caller comes back that this router has no processor
	// time for. The balancer brings most to the same router again, where streams end
	// within some tenths of a second; the strictest targets leave no more.
	overloadedRetryAfter = 200 * time.Millisecond
	// defaultMaxBody bounds a body before a configuration says how long it may be.
	defaultMaxBody = 4 << 20
	// bodyTimeout bounds the arrival of a body that the caller has begun to send.
	bodyTimeout = 10 * time.Second
)

// admit reads the request and finds out how it is to be handled. It returns a
// refusal when it isn't.
func (j *job) admit() *refusal.Error {
	h := j.handler
	if h.held.isRefusing() {
		return refusal.New(refusal.Stopping, "this router stops", stoppingRetryAfter)
	}
	j.intake = h.Dialect.Intake(j.request.Header)
	table := h.State.Table()
	if table == nil {
		return refusal.New(refusal.NotReady, "this router has no configuration yet", notReadyRetryAfter)
	}
	j.version = table.Version()
	if err := j.findRoute(table); err != nil {
		return err
	}
	if err := j.authenticate(table); err != nil {
		return err
	}
	if h.Takes != nil && !h.Takes(j.arrived, j.account) {
		return j.shed()
	}
	if err := j.checkLine(); err != nil {
		return err
	}
	return j.readBody(table.Limits())
}

// shed refuses a request for which this router has no processor time.
func (j *job) shed() *refusal.Error {
	if j.handler.Shed != nil {
		j.handler.Shed(j.service, j.account, j.cost())
	}
	return refusal.New(refusal.RouterOverloaded, "this router has too much to do", overloadedRetryAfter)
}

// checkLine refuses a request, before its body is read, when so many of its account
// wait here that its turn can't come in time.
func (j *job) checkLine() *refusal.Error {
	after, full := j.handler.lines.IsFull(j.arrived, j.line(), j.patience())
	if !full {
		return nil
	}
	return refusal.New(refusal.AccountQueueFull, "too many requests of the account wait here", after)
}

func (j *job) line() lineKey { return lineKey{j.service, j.account} }

func (j *job) findRoute(table *route.Table) *refusal.Error {
	path, _, _ := strings.Cut(j.request.RequestURI, "?")
	found, ok := table.Find(j.request.Host, path)
	if !ok {
		return refusal.New(refusal.UnknownRoute, "no route for this host and path", 0)
	}
	j.route = found
	j.service = found.ServiceOf(j.intake.ID)
	j.deadline = j.arrived.Add(found.Timeout)
	if j.intake.Left > 0 && j.intake.Left < found.Timeout {
		j.deadline = j.arrived.Add(j.intake.Left)
	}
	return nil
}

func (j *job) authenticate(table *route.Table) *refusal.Error {
	if !table.Keyed() {
		return nil
	}
	account, ok := table.AccountOf(j.intake.Key)
	if ok {
		j.account = account
		return nil
	}
	if j.route.Public {
		return nil
	}
	return refusal.New(refusal.UnknownAccount, "no account holds this key", 0)
}

// readBody reads the whole body before the request may wait: a caller that
// sends slowly would hold a place at an upstream that others wait for.
func (j *job) readBody(limits route.Limits) *refusal.Error {
	if j.request.ContentLength == 0 {
		return j.prepare(nil)
	}
	most := int64(limits.MaxBodyBytes)
	if most <= 0 {
		most = defaultMaxBody
	}
	control := http.NewResponseController(j.writer)
	_ = control.SetReadDeadline(j.arrived.Add(bodyTimeout)) // a writer without deadlines is one of a test
	body, err := j.readAll(most)
	if err != nil {
		j.writer.Header().Set("Connection", "close")
		return bodyRefusal(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return j.prepare(body)
}

func (j *job) readAll(most int64) ([]byte, error) {
	reader := http.MaxBytesReader(j.writer, j.request.Body, most)
	length := j.request.ContentLength
	if length < 0 || length > most {
		return io.ReadAll(reader)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
}

func bodyRefusal(err error) *refusal.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(refusal.BodyTooLarge, "the body is too long", 0)
	}
	return &refusal.Error{Reason: refusal.BodyTooSlow, Outcome: refusal.NotRun, Detail: "the body broke off", Cause: err}
}

// prepare makes the header that upstreams get.
func (j *job) prepare(body []byte) *refusal.Error {
	j.body = body
	j.header = j.request.Header
	attempt.StripHopByHop(j.header)
	j.header.Del("Expect")
	j.header.Del("Content-Length")
	j.handler.Dialect.Clean(j.header)
	return nil
}
