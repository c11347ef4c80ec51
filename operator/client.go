package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/answer"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
)

// Client calls the administration API of several routers, trying one after
// another until one answers.
type Client struct {
	urls []string
	key  string
	http *http.Client
}

// clientTimeout bounds one request to one router. It exceeds publishTimeout, so
// that a publish ends by its own timeout.
const clientTimeout = publishTimeout + 5*time.Second

// readOnlyTimeout bounds a read-only request to one router. A frozen router
// accepts connections but does not answer; the next one is tried after that.
const readOnlyTimeout = 5 * time.Second

// NewClient returns a Client that authenticates with key at the routers whose
// administration addresses are at the URLs.
func NewClient(key string, urls ...string) *Client {
	trimmed := make([]string, len(urls))
	for i, u := range urls {
		trimmed[i] = strings.TrimRight(u, "/")
	}
	return &Client{urls: trimmed, key: key, http: &http.Client{Timeout: clientTimeout}}
}

// ResponseError reports a request that a router answered with an error.
type ResponseError struct {
	URL    string
	Status int
	Detail *schema.OperatorError
}

// Error returns the router's status, reason and message.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s answered %d, %s: %s", e.URL, e.Status, e.Detail.GetReason(), e.Detail.GetMessage())
}

// Reason returns the router's reason.
func (e *ResponseError) Reason() Reason { return Reason(e.Detail.GetReason()) }

// UnreachableError reports a request that no router answered.
type UnreachableError struct {
	// Causes holds the error of each router that was tried, in order.
	Causes []error
}

// Error lists the causes.
func (e *UnreachableError) Error() string {
	return "no router answered: " + errors.Join(e.Causes...).Error()
}

// Publish publishes the release note in data. It tries each router with the same
// publish id, so that the next router can determine the outcome of an attempt
// whose reply was lost, and nothing is published twice. It fails with
// *ResponseError or *UnreachableError when nothing was accepted, and with
// *note.UnsettledError when the outcome is unknown; a later Publish with the same
// id determines it.
func (c *Client) Publish(ctx context.Context, data []byte, id note.PublishID) (*schema.PublishAnswer, error) {
	answer := &schema.PublishAnswer{}
	header := http.Header{}
	header.Set(PublishIDHeader, string(id))
	if state, err := c.State(ctx); err == nil && state.GetNoteVersion() > 0 {
		header.Set(BasedOnHeader, strconv.FormatUint(state.GetNoteVersion(), 10))
	}
	var causes []error
	unsettled := false
	for range maxPublishRounds {
		for _, base := range c.urls {
			err := c.publishAt(ctx, base, data, header, answer)
			if isFinal(err, unsettled) {
				return answer, err
			}
			unsettled = unsettled || mayHaveArrived(err)
			causes = append(causes, err)
		}
		if !unsettled {
			break
		}
	}
	if unsettled {
		return nil, &note.UnsettledError{PublishID: id, Cause: errors.Join(causes...)}
	}
	return nil, lastResponseError(causes)
}

// maxPublishRounds is how often all routers are tried while the outcome is
// unknown.
const maxPublishRounds = 2

func (c *Client) publishAt(ctx context.Context, base string, data []byte, header http.Header, answer *schema.PublishAnswer) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/notes", bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "publish")
	}
	request.Header = header.Clone()
	return c.do(request, base, answer)
}

// isFinal reports whether an attempt settles the publish. After a lost reply,
// only an acceptance does, or a refusal of the note itself, which a router
// returns only when no earlier attempt was accepted or can still be.
func isFinal(err error, unsettled bool) bool {
	if err == nil {
		return true
	}
	var responseErr *ResponseError
	if !errors.As(err, &responseErr) {
		return false
	}
	switch responseErr.Reason() {
	case Invalid:
		// A router reports faults of the document without checking the outcome of
		// earlier attempts, but a note with such faults cannot have been accepted.
		return true
	case Clashing:
		return true
	case Denied, BadRequest, BodyTooLarge:
		return !unsettled
	}
	return false
}

// mayHaveArrived reports whether a router may have received and accepted the
// note.
func mayHaveArrived(err error) bool {
	var responseErr *ResponseError
	if errors.As(err, &responseErr) {
		return responseErr.Reason() == Unsettled || responseErr.Reason() == Internal
	}
	var opErr *net.OpError
	return !errors.As(err, &opErr) || opErr.Op != "dial"
}

// lastResponseError returns the last error that a router answered with, or
// *UnreachableError when none answered.
func lastResponseError(causes []error) error {
	for i := len(causes) - 1; i >= 0; i-- {
		var responseErr *ResponseError
		if errors.As(causes[i], &responseErr) {
			return responseErr
		}
	}
	return &UnreachableError{Causes: causes}
}

// Check returns whether a router would accept the release note in data.
func (c *Client) Check(ctx context.Context, data []byte) (*schema.CheckAnswer, error) {
	answer := &schema.CheckAnswer{}
	return answer, c.tryRouters(ctx, http.MethodPost, "/v1/notes/check", data, answer)
}

// History returns at most limit notes before a version, newest first. A zero
// before starts at the newest note, and a zero limit is the router's default.
func (c *Client) History(ctx context.Context, before uint64, limit int) (*schema.NoteList, error) {
	query := url.Values{}
	if before > 0 {
		query.Set("before", strconv.FormatUint(before, 10))
	}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	list := &schema.NoteList{}
	return list, c.get(ctx, "/v1/notes?"+query.Encode(), list)
}

// Record returns one accepted note.
func (c *Client) Record(ctx context.Context, version uint64) (*schema.NoteRecord, error) {
	record := &schema.NoteRecord{}
	return record, c.get(ctx, "/v1/notes/"+strconv.FormatUint(version, 10), record)
}

// Accounts returns the current accounts.
func (c *Client) Accounts(ctx context.Context) (*schema.AccountList, error) {
	list := &schema.AccountList{}
	return list, c.get(ctx, "/v1/accounts", list)
}

// Services returns the current services.
func (c *Client) Services(ctx context.Context) (*schema.ServiceList, error) {
	list := &schema.ServiceList{}
	return list, c.get(ctx, "/v1/services", list)
}

// Upstreams returns the current upstreams.
func (c *Client) Upstreams(ctx context.Context) (*schema.UpstreamList, error) {
	list := &schema.UpstreamList{}
	return list, c.get(ctx, "/v1/upstreams", list)
}

// State returns the state of the first router that answers.
func (c *Client) State(ctx context.Context) (*schema.RouterState, error) {
	state := &schema.RouterState{}
	return state, c.get(ctx, "/v1/state", state)
}

// Routers returns the fleet as seen by the first router that answers.
func (c *Client) Routers(ctx context.Context) (*schema.RouterList, error) {
	list := &schema.RouterList{}
	return list, c.get(ctx, "/v1/routers", list)
}

func (c *Client) get(ctx context.Context, path string, answer proto.Message) error {
	return c.tryRouters(ctx, http.MethodGet, path, nil, answer)
}

// tryRouters sends a read-only request to one router after another, until one
// succeeds or answers with an error below status 500.
func (c *Client) tryRouters(ctx context.Context, method, path string, body []byte, answer proto.Message) error {
	var causes []error
	for _, base := range c.urls {
		err := c.doWithTimeout(ctx, method, base, path, body, answer)
		var responseErr *ResponseError
		if err == nil || (errors.As(err, &responseErr) && responseErr.Status < http.StatusInternalServerError) {
			return err
		}
		causes = append(causes, err)
	}
	return lastResponseError(causes)
}

func (c *Client) doWithTimeout(ctx context.Context, method, base, path string, body []byte, answer proto.Message) error {
	requestCtx, cancel := context.WithTimeout(ctx, readOnlyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(requestCtx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, path)
	}
	return c.do(request, base, answer)
}

// maxResponseBytes bounds a response. The list of 36,000 accounts with their load
// is smaller than 20 MB.
const maxResponseBytes = 64 << 20

// do sends one request and decodes the response. It fails with *ResponseError
// when the router responds with an error.
func (c *Client) do(request *http.Request, base string, out proto.Message) error {
	request.Header.Set(echo.HeaderAuthorization, bearerPrefix+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := answer.CheckHead(response); err != nil {
		return eris.Wrapf(err, "response from %s", base)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrapf(err, "incomplete response from %s", base)
	}
	lenient := protojson.UnmarshalOptions{DiscardUnknown: true}
	if response.StatusCode < http.StatusMultipleChoices {
		return eris.Wrapf(lenient.Unmarshal(data, out), "response from %s", base)
	}
	body := &schema.OperatorErrorBody{}
	if err := lenient.Unmarshal(data, body); err != nil || body.GetError() == nil {
		return &ResponseError{URL: base, Status: response.StatusCode, Detail: &schema.OperatorError{
			Reason: string(Internal), Message: "the response is not from a router's administration address",
		}}
	}
	return &ResponseError{URL: base, Status: response.StatusCode, Detail: body.GetError()}
}
