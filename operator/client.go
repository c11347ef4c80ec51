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

	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
)

// Client speaks to the administration API of any of several routers, in turn
// until one answers.
type Client struct {
	urls []string
	key  string
	http *http.Client
}

// clientTimeout bounds one request to one router. It lets a publish end by its own bound.
const clientTimeout = publishTimeout + 5*time.Second

// readTimeout bounds a request that changes nothing at one router. A router
// that is frozen takes connections and answers nothing; the next one is asked.
const readTimeout = 5 * time.Second

// NewClient returns a Client that presents key to the routers whose
// administration addresses are at the URLs.
func NewClient(key string, urls ...string) *Client {
	trimmed := make([]string, len(urls))
	for i, u := range urls {
		trimmed[i] = strings.TrimRight(u, "/")
	}
	return &Client{urls: trimmed, key: key, http: &http.Client{Timeout: clientTimeout}}
}

// AnswerError is the error of a request that a router answered but did not do.
type AnswerError struct {
	URL    string
	Status int
	Detail *schema.OperatorError
}

// Error returns what the router says.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s answered %d, %s: %s", e.URL, e.Status, e.Detail.GetReason(), e.Detail.GetMessage())
}

// Reason returns why the router did not do it.
func (e *AnswerError) Reason() Reason { return Reason(e.Detail.GetReason()) }

// UnreachableError is the error of a request that no router answered.
type UnreachableError struct {
	// Causes holds the error of each router that was tried, in order.
	Causes []error
}

// Error lists the causes.
func (e *UnreachableError) Error() string {
	return "no router answered: " + errors.Join(e.Causes...).Error()
}

// Publish publishes the release note in data. Each router is tried with the
// same publish id, so that a try whose reply is lost is found out about by the
// next one, and nothing is published twice. It fails with *AnswerError or
// *UnreachableError when nothing was accepted, and with *note.UnsettledError
// when that could not be found out; a later Publish with the same id finds out.
func (c *Client) Publish(ctx context.Context, data []byte, id note.PublishID) (*schema.PublishAnswer, error) {
	answer := &schema.PublishAnswer{}
	header := http.Header{}
	header.Set(PublishIDHeader, string(id))
	if state, err := c.State(ctx); err == nil && state.GetNoteVersion() > 0 {
		header.Set(BasedOnHeader, strconv.FormatUint(state.GetNoteVersion(), 10))
	}
	var causes []error
	unsettled := false
	for range publishRounds {
		for _, base := range c.urls {
			err := c.publishAt(ctx, base, data, header, answer)
			if final(err, unsettled) {
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
	return nil, lastAnswer(causes)
}

// publishRounds is how often all routers are tried when the outcome is not known.
const publishRounds = 2

func (c *Client) publishAt(ctx context.Context, base string, data []byte, header http.Header, answer *schema.PublishAnswer) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/notes", bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "publish")
	}
	request.Header = header.Clone()
	return c.do(request, base, answer)
}

// final reports whether a try settles the publish. After a try whose reply was
// lost only an acceptance does, or a refusal of the note itself, which a router
// gives only when no earlier try was accepted or can still be.
func final(err error, unsettled bool) bool {
	if err == nil {
		return true
	}
	var answered *AnswerError
	if !errors.As(err, &answered) {
		return false
	}
	switch answered.Reason() {
	case Invalid:
		// A router finds faults of the text itself without asking what became
		// of an earlier try; but with these no try can have been accepted.
		return true
	case Clashing:
		return true
	case Denied, BadRequest, BodyTooLarge:
		return !unsettled
	}
	return false
}

// mayHaveArrived reports whether a router may have received the note and may have accepted it.
func mayHaveArrived(err error) bool {
	var answered *AnswerError
	if errors.As(err, &answered) {
		return answered.Reason() == Unsettled || answered.Reason() == Internal
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

// lastAnswer returns the last answer among the errors, or that no router answered.
func lastAnswer(causes []error) error {
	for i := len(causes) - 1; i >= 0; i-- {
		var answered *AnswerError
		if errors.As(causes[i], &answered) {
			return answered
		}
	}
	return &UnreachableError{Causes: causes}
}

// Check asks a router whether it would accept the release note in data.
func (c *Client) Check(ctx context.Context, data []byte) (*schema.CheckAnswer, error) {
	answer := &schema.CheckAnswer{}
	return answer, c.inTurn(ctx, http.MethodPost, "/v1/notes/check", data, answer)
}

// History returns at most limit notes before a version, newest first. Zero
// stands for the newest version and for the router's limit.
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

// Accounts returns the accounts in force.
func (c *Client) Accounts(ctx context.Context) (*schema.AccountList, error) {
	list := &schema.AccountList{}
	return list, c.get(ctx, "/v1/accounts", list)
}

// Services returns the services in force.
func (c *Client) Services(ctx context.Context) (*schema.ServiceList, error) {
	list := &schema.ServiceList{}
	return list, c.get(ctx, "/v1/services", list)
}

// Upstreams returns the upstreams in force.
func (c *Client) Upstreams(ctx context.Context) (*schema.UpstreamList, error) {
	list := &schema.UpstreamList{}
	return list, c.get(ctx, "/v1/upstreams", list)
}

// State returns the state of the first router that answers.
func (c *Client) State(ctx context.Context) (*schema.RouterState, error) {
	state := &schema.RouterState{}
	return state, c.get(ctx, "/v1/state", state)
}

// Routers returns the fleet as the first router that answers sees it.
func (c *Client) Routers(ctx context.Context) (*schema.RouterList, error) {
	list := &schema.RouterList{}
	return list, c.get(ctx, "/v1/routers", list)
}

func (c *Client) get(ctx context.Context, path string, answer proto.Message) error {
	return c.inTurn(ctx, http.MethodGet, path, nil, answer)
}

// inTurn makes a request that changes nothing at one router after the other,
// until one answers other than that it cannot now.
func (c *Client) inTurn(ctx context.Context, method, path string, body []byte, answer proto.Message) error {
	var causes []error
	for _, base := range c.urls {
		err := c.read(ctx, method, base, path, body, answer)
		var answered *AnswerError
		if err == nil || (errors.As(err, &answered) && answered.Status < http.StatusInternalServerError) {
			return err
		}
		causes = append(causes, err)
	}
	return lastAnswer(causes)
}

func (c *Client) read(ctx context.Context, method, base, path string, body []byte, answer proto.Message) error {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, method, base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, path)
	}
	return c.do(request, base, answer)
}

// maxAnswerBytes bounds an answer: the list of 36,000 accounts with their load has less than 20 MB.
const maxAnswerBytes = 64 << 20

// do makes one request and reads the answer. It fails with *AnswerError when
// the router answers with anything but a success.
func (c *Client) do(request *http.Request, base string, answer proto.Message) error {
	request.Header.Set(echo.HeaderAuthorization, bearer+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return eris.Wrapf(err, "the answer of %s is not whole", base)
	}
	lenient := protojson.UnmarshalOptions{DiscardUnknown: true}
	if response.StatusCode < http.StatusMultipleChoices {
		return eris.Wrapf(lenient.Unmarshal(data, answer), "the answer of %s", base)
	}
	body := &schema.OperatorErrorBody{}
	if err := lenient.Unmarshal(data, body); err != nil || body.GetError() == nil {
		return &AnswerError{URL: base, Status: response.StatusCode, Detail: &schema.OperatorError{
			Reason: string(Internal), Message: "the answer is not from a router's administration address",
		}}
	}
	return &AnswerError{URL: base, Status: response.StatusCode, Detail: body.GetError()}
}
