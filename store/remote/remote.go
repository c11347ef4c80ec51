// Package remote is a router's HTTP client of the platform. Its errors say
// whether a failed write can have taken effect: a caller that takes "maybe"
// for "no" would run a non-idempotent request twice.
package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/store/wire"
)

// maxReply bounds the size of an answer, in bytes. The largest is a snapshot
// of the fleet state, 7 MB at the size that the design has to carry.
const maxReply = 32 << 20

// maxIdle is the number of connections that are kept alive.
const maxIdle = 8

// Observer is told of the bytes of one exchange with the platform, headers
// included.
type Observer func(sent, received int)

// Client implements store.Table, store.Objects and store.VMs.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	traffic *traffic
	observe Observer
}

// New returns a client of the platform at base, an http or https URL. Each
// call is given up after timeout. The observer may be nil.
func New(base string, timeout time.Duration, observe Observer) *Client {
	if observe == nil {
		observe = func(int, int) {}
	}
	counted := &traffic{}
	transport := &http.Transport{
		DialContext:         counted.dial,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: timeout,
		http:    &http.Client{Transport: transport},
		traffic: counted,
		observe: observe,
	}
}

// Close closes the connections that are kept alive.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read returns a row for each key, in the order of keys.
func (c *Client) Read(ctx context.Context, keys ...store.Key) ([]store.Row, error) {
	rows, err := c.rows(ctx, "read", wire.ReadPath, wire.ReadRequest{Keys: keys})
	if err == nil && len(rows) != len(keys) {
		cause := fmt.Errorf("%d rows for %d keys", len(rows), len(keys))
		return nil, &store.UnavailableError{Operation: "read", Cause: cause}
	}
	return rows, err
}

// Scan returns at most limit rows whose key begins with prefix and is greater than after.
func (c *Client) Scan(ctx context.Context, prefix, after store.Key, limit int) ([]store.Row, error) {
	return c.rows(ctx, "scan", wire.ScanPath, wire.ScanRequest{Prefix: prefix, After: after, Limit: limit})
}

func (c *Client) rows(ctx context.Context, operation, path string, message any) ([]store.Row, error) {
	var reply wire.RowsReply
	err := c.read(ctx, call{operation: operation, method: http.MethodPost, path: path, message: message}, &reply)
	if err != nil {
		return nil, err
	}
	rows := make([]store.Row, len(reply.Rows))
	for i, row := range reply.Rows {
		rows[i] = store.Row(row)
	}
	return rows, nil
}

// Commit applies a transaction whole or not at all.
func (c *Client) Commit(ctx context.Context, txn store.Txn) error {
	request := wire.CommitRequest{}
	for _, check := range txn.Checks {
		request.Checks = append(request.Checks, wire.Check(check))
	}
	for _, write := range txn.Writes {
		request.Writes = append(request.Writes, wire.Write(write))
	}
	return c.write(ctx, call{operation: "commit", method: http.MethodPost, path: wire.CommitPath, message: request})
}

// Put stores an object whole.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	return c.write(ctx, call{operation: "put", method: http.MethodPut, path: objectPath(name), body: data})
}

// Get returns an object, or *store.NotFoundError when there is none.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	result := c.do(ctx, call{operation: "get", method: http.MethodGet, path: objectPath(name)})
	switch {
	case result.err == nil && result.status == http.StatusOK:
		return result.body, nil
	case result.err == nil && result.status == http.StatusNotFound:
		return nil, &store.NotFoundError{Name: name}
	default:
		return nil, &store.UnavailableError{Operation: "get", Cause: result.cause()}
	}
}

// List returns the VMs that the platform believes in.
func (c *Client) List(ctx context.Context) ([]store.VM, error) {
	var reply wire.VMsReply
	err := c.read(ctx, call{operation: "list", method: http.MethodGet, path: wire.VMsPath}, &reply)
	if err != nil {
		return nil, err
	}
	vms := make([]store.VM, len(reply.VMs))
	for i, vm := range reply.VMs {
		vms[i] = store.VM(vm)
	}
	return vms, nil
}

func objectPath(name string) string {
	parts := strings.Split(name, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return wire.ObjectPath + strings.Join(parts, "/")
}

// read makes a call without effect, whose every failure is definite.
func (c *Client) read(ctx context.Context, request call, reply any) error {
	result := c.do(ctx, request)
	if result.err != nil || result.status != http.StatusOK {
		return &store.UnavailableError{Operation: request.operation, Cause: result.cause()}
	}
	if err := json.Unmarshal(result.body, reply); err != nil {
		return &store.UnavailableError{Operation: request.operation, Cause: err}
	}
	return nil
}

// write makes a call with an effect. Its failure is definite only when no
// connection was ever opened for it, or when the platform itself said so.
func (c *Client) write(ctx context.Context, request call) error {
	result := c.do(ctx, request)
	if result.err != nil && !result.connected {
		return &store.UnavailableError{Operation: request.operation, Cause: result.err}
	}
	if result.err != nil {
		return &store.IndefiniteError{Operation: request.operation, Cause: result.err}
	}
	switch result.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return conflict(request.operation, result)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest,
		http.StatusRequestEntityTooLarge:
		return &store.UnavailableError{Operation: request.operation, Cause: result.cause()}
	default:
		return &store.IndefiniteError{Operation: request.operation, Cause: result.cause()}
	}
}

func conflict(operation string, result result) error {
	var reply wire.ConflictReply
	if err := json.Unmarshal(result.body, &reply); err != nil {
		return &store.UnavailableError{Operation: operation, Cause: err}
	}
	return &store.ConflictError{Key: reply.Key, Expected: reply.Expected, Found: reply.Found}
}

// call is one exchange: message is sent as JSON, or body as it is.
type call struct {
	operation string
	method    string
	path      string
	message   any
	body      []byte
}

// result is what is known of an exchange once it ended.
type result struct {
	status int
	body   []byte
	err    error
	// connected is true once a connection was ready, after which bytes may have gone out.
	connected bool
}

// cause returns the error of the exchange, or an error that names its status.
func (r result) cause() error {
	if r.err != nil {
		return r.err
	}
	return &StatusError{Status: r.status, Body: string(r.body[:min(len(r.body), 200)])}
}

// StatusError is the error of an answer whose status was not expected.
type StatusError struct {
	Status int
	Body   string
}

// Error names the status and the beginning of the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// TooLargeError is the error of an answer over the bound.
type TooLargeError struct{ Bound int }

// Error names the bound.
func (e *TooLargeError) Error() string { return fmt.Sprintf("answer of more than %d bytes", e.Bound) }

func (c *Client) do(ctx context.Context, request call) result {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	defer func() { c.observe(c.traffic.take()) }()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r := c.exchange(ctx, request)
	r.connected = connected.Load()
	return r
}

func (c *Client) exchange(ctx context.Context, request call) result {
	httpRequest, err := c.request(ctx, request)
	if err != nil {
		return result{err: err}
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err == nil && len(body) > maxReply {
		err = &TooLargeError{Bound: maxReply}
	}
	return result{status: response.StatusCode, body: body, err: err}
}

func (c *Client) request(ctx context.Context, request call) (*http.Request, error) {
	body := request.body
	if request.message != nil {
		encoded, err := json.Marshal(request.message)
		if err != nil {
			return nil, err
		}
		body = encoded
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, c.base+request.path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if request.message != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	return httpRequest, nil
}
