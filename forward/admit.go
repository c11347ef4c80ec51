package forward

import (
	"cmp"
	"errors"
	"net/http"
	"strings"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/segment"
)

const (
	// notReadyRetryAfter is the Retry-After of a router without a configuration; the retry will
	// probably reach another router.
	notReadyRetryAfter = 250 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a stopping router; another one can serve the caller
	// at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// overloadedRetryAfter is the Retry-After of a router without processor time. The balancer
	// sends most retries to the same router, where streams end within some tenths of a second; the
	// strictest targets leave no time for more.
	overloadedRetryAfter = 200 * time.Millisecond
	// memoryRetryAfter is the Retry-After of a request whose body found no memory. Bodies and answers take some
	// hundred milliseconds, and the retry will probably reach another router.
	memoryRetryAfter = 500 * time.Millisecond
	// defaultMaxBody is the maximum body size in bytes if the configuration sets none.
	defaultMaxBody = 4 << 20
	// bodyTimeout bounds the time from a request's arrival until its whole body is read.
	bodyTimeout = 10 * time.Second
)

// admit authenticates the request, finds its route and reads its body. It returns a refusal if the
// request isn't served. If isHandedOver is set then, another router has served it.
func (j *job) admit() *refusal.Error {
	h := j.handler
	if h.shutdown.isRefusing() {
		return refusal.New(refusal.Stopping, "this router is stopping", stoppingRetryAfter)
	}
	j.info = h.Codec.ParseRequest(j.request.Header)
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
	if err := j.admitConnection(); err != nil {
		return err
	}
	if err := j.findDataCenters(table.RegionsOf(j.account)); err != nil {
		return err
	}
	if h.HasCapacity != nil && !h.HasCapacity(j.arrived, j.account) {
		if j.handOver() {
			return nil
		}
		return j.shed()
	}
	if err := j.checkQueue(); err != nil {
		return err
	}
	return j.readBody(table.Limits())
}

// shed returns the refusal of a request for which this router has no processor time, and reports
// its cost.
func (j *job) shed() *refusal.Error {
	if j.handler.OnShed != nil {
		j.handler.OnShed(j.service, j.account, j.cost())
	}
	return refusal.New(refusal.RouterOverloaded, "this router is overloaded", overloadedRetryAfter)
}

// checkQueue refuses a request, before its body is read, if its account's queue is so long that its
// turn can't come in time.
func (j *job) checkQueue() *refusal.Error {
	after, full := j.handler.queues.IsFull(j.arrived, j.queueKey(), j.maxWait())
	if !full {
		return nil
	}
	return refusal.New(refusal.AccountQueueFull, "too many requests of the account are queued", after)
}

func (j *job) queueKey() queueKey { return queueKey{j.service, j.account} }

func (j *job) findRoute(table *route.Table) *refusal.Error {
	path, _, _ := strings.Cut(j.request.RequestURI, "?")
	found, ok := table.Find(j.request.Host, path)
	if !ok {
		return refusal.New(refusal.UnknownRoute, "no route for this host and path", 0)
	}
	j.route = found
	// A stream that is taken up again stays at its service.
	j.service = found.ServiceOf(cmp.Or(j.info.Resumes, j.info.ID))
	j.deadline = j.arrived.Add(found.Timeout)
	if j.info.Timeout > 0 && j.info.Timeout < found.Timeout {
		j.deadline = j.arrived.Add(j.info.Timeout)
	}
	return nil
}

func (j *job) authenticate(table *route.Table) *refusal.Error {
	if !table.RequiresKey() {
		return nil
	}
	account, ok := table.AccountOf(j.info.Key)
	if ok {
		j.account = account
		return nil
	}
	if j.route.Public {
		return nil
	}
	return refusal.New(refusal.UnknownAccount, "no account has this key", 0)
}

// admitConnection counts the request towards those that may be in hand.
func (j *job) admitConnection() *refusal.Error {
	if err := j.caller.Lease().Admit(j.account); err != nil {
		return caller.RefuseConnection(err, memoryRetryAfter)
	}
	return nil
}

// readBody reads the whole body before the request is queued. Otherwise a caller that sends slowly
// would occupy a slot at an upstream.
func (j *job) readBody(limits route.Limits) *refusal.Error {
	maxBytes := int64(limits.MaxBodyBytes)
	if maxBytes <= 0 {
		maxBytes = defaultMaxBody
	}
	reader := caller.BodyReader{MaxBytes: maxBytes, Deadline: j.arrived.Add(bodyTimeout), IsOverloaded: j.handler.IsOverloaded}
	body, err := reader.Read(j.writer, j.request)
	if err != nil {
		j.bodyRead = bodyBroken
		return bodyRefusal(err)
	}
	j.bodyRead = bodyWhole
	return j.prepareHeader(body)
}

func bodyRefusal(err error) *refusal.Error {
	var (
		tooLarge *http.MaxBytesError
		framing  *caller.FramingError
	)
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.BodyTooLarge, "the body is too large", 0)
	case caller.IsShortOfMemory(err):
		return caller.RefuseMemory(err, memoryRetryAfter)
	case errors.As(err, &framing):
		return &refusal.Error{
			Reason: refusal.RouterOverloaded, Outcome: refusal.NotRun, Detail: "this router is overloaded, and the body comes in small chunks",
			RetryAfter: overloadedRetryAfter, Cause: err,
		}
	}
	return &refusal.Error{Reason: refusal.BodyTooSlow, Outcome: refusal.NotRun, Detail: "the body did not arrive completely", Cause: err}
}

// prepareHeader stores the body and turns the caller's header into the one that upstreams get.
func (j *job) prepareHeader(body segment.List) *refusal.Error {
	j.body = body
	j.header = j.request.Header
	attempt.StripHopByHop(j.header)
	j.header.Del("Expect")
	j.header.Del("Content-Length")
	j.handler.Codec.StripReserved(j.header)
	return nil
}
