package router_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/router"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/timer"
)

type noteSource struct{ view *note.View }

func (s noteSource) Current() *note.View { return s.view }

type fakeRunner struct {
	last call.Request
	run  func(w http.ResponseWriter) error
}

func (r *fakeRunner) Run(_ context.Context, w http.ResponseWriter, request call.Request) error {
	r.last = request
	if r.run != nil {
		return r.run(w)
	}
	_, err := io.WriteString(w, "ran")
	return err
}

func (*fakeRunner) Resume(_ context.Context, w http.ResponseWriter, _ call.ResumeRequest) error {
	_, err := io.WriteString(w, "ran")
	return err
}

type fixedEstimator struct{}

func (fixedEstimator) EstimateChat(*schema.Account, *schema.Service, int, int) fleet.Tokens {
	return 320
}

var fleetState = &schema.FleetState{
	Version: 1,
	Accounts: []*schema.Account{
		{Id: "mwanga", KeySha256: []string{note.HashKey("mwanga-key")}},
		{Id: "narrow", KeySha256: []string{note.HashKey("narrow-key")}, Services: []string{"findings"}},
	},
	Services: []*schema.Service{{Id: "findings", Kind: "model"}, {Id: "orders", Kind: "plain"}},
}

func newRouter(view *note.View) (*router.Router, *fakeRunner) {
	runner := &fakeRunner{}
	return router.New(router.Options{
		Notes: noteSource{view}, Runner: runner, Estimator: fixedEstimator{}, Timer: timer.System{},
		Metrics: metric.New(prometheus.NewRegistry()),
		Log:     slog.New(slog.DiscardHandler),
		Limits: router.Limits{
			MaxBodyBytes: 256, MaxHeaderBytes: 200, BodyTimeout: time.Second,
			DefaultDeadline: time.Second, MaxDeadline: time.Minute,
		},
	}), runner
}

func TestRefusals(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("testdata/refusals.txt")
	require.NoError(t, err)
	for _, part := range strings.Split(string(text), "\n== ")[1:] {
		name, rest, _ := strings.Cut(part, "\n")
		raw, expected, _ := strings.Cut(rest, "\n--> ")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, _ := newRouter(note.NewView(fleetState))
			recorder := httptest.NewRecorder()
			r.ServeHTTP(recorder, parseRequest(t, raw))
			require.Equal(t, strings.TrimSpace(expected), summarise(t, recorder))
			require.NotEmpty(t, recorder.Header().Get(router.HeaderRequestID))
		})
	}
}

// parseRequest parses a request line, headers and body in the format of the test cases.
func parseRequest(t *testing.T, raw string) *http.Request {
	t.Helper()
	head, body, _ := strings.Cut(raw, "\n\n")
	line, headers, _ := strings.Cut(head, "\n")
	text := line + " HTTP/1.1\nHost: router\n" + headers + "\n\n"
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	require.NoError(t, err)
	req.Body = io.NopCloser(strings.NewReader(body))
	return req
}

// summarise returns the status, reason and outcome of a refusal, or "ran" for
// the response of fakeRunner.
func summarise(t *testing.T, recorder *httptest.ResponseRecorder) string {
	t.Helper()
	if recorder.Body.String() == "ran" {
		return "ran"
	}
	var body struct {
		Error struct{ Reason, Outcome, Message string }
	}
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &body))
	require.NotEmpty(t, body.Error.Message)
	return fmt.Sprintf("%d %s %s", recorder.Code, body.Error.Reason, body.Error.Outcome)
}

// A plain service may distinguish paths that differ only in their escaping. A
// router that decodes and re-encodes paths would call the wrong one.
func TestPlainCallKeepsItsPath(t *testing.T) {
	t.Parallel()
	r, runner := newRouter(note.NewView(fleetState))
	req := parseRequest(t, "PUT /v1/services/orders/a%2Fb/new?x=%20\nAuthorization: Bearer mwanga-key\nTe: trailers\n\n{}")
	r.ServeHTTP(httptest.NewRecorder(), req)
	require.Equal(t, "/a%2Fb/new?x=%20", runner.last.Path)
	require.Empty(t, runner.last.Header.Get("Authorization"))
	require.Empty(t, runner.last.Header.Get("Te"))
	require.True(t, runner.last.Idempotent)
}

// A router that has just started has no release note, so it can't check which
// services an account may call. It must refuse requests as not run, with a time
// to retry.
func TestRouterWithoutNoteServesNobody(t *testing.T) {
	t.Parallel()
	r, _ := newRouter(nil)
	recorder := httptest.NewRecorder()
	r.ServeHTTP(recorder, parseRequest(t, "POST /v1/chat/completions\nAuthorization: Bearer mwanga-key\n\n{}"))
	require.Equal(t, "503 not-ready not-run", summarise(t, recorder))
	require.Equal(t, "2", recorder.Header().Get("Retry-After"))
}

// A router in its graceful shutdown must not accept requests that it can no
// longer finish. It must refuse them at once as not run.
func TestStoppingRouterRefusesNewRequests(t *testing.T) {
	t.Parallel()
	r, _ := newRouter(note.NewView(fleetState))
	require.NoError(t, r.Stop(t.Context()))
	recorder := httptest.NewRecorder()
	r.ServeHTTP(recorder, parseRequest(t, "POST /v1/chat/completions\nAuthorization: Bearer mwanga-key\n\n{}"))
	require.Equal(t, "503 stopping not-run", summarise(t, recorder))
	require.Equal(t, "close", recorder.Header().Get("Connection"))
}

// The upstream's response ends after a part of it was forwarded. If the router
// closed the connection cleanly, that part would look complete to the caller.
func TestBrokenAnswerIsSeenByTheCaller(t *testing.T) {
	t.Parallel()
	r, runner := newRouter(note.NewView(fleetState))
	runner.run = func(w http.ResponseWriter) error {
		_, _ = io.WriteString(w, "half")
		return &call.BrokenError{Outcome: refusal.Run, Cause: io.ErrUnexpectedEOF}
	}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	req := parseRequest(t, "POST /v1/chat/completions\nAuthorization: Bearer mwanga-key\n\n"+`{"model":"findings","messages":[]}`)
	req.URL.Scheme, req.URL.Host, req.RequestURI = "http", server.Listener.Addr().String(), ""
	answer, err := http.DefaultClient.Do(req)
	if err == nil {
		_, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
	}
	require.Error(t, err)
	require.InDelta(t, 1, testutil.ToFloat64(r.Metrics.Refusals.WithLabelValues("upstream-failed")), 0)
}

// Guards against a part of an answer that passes for a whole one at a caller of HTTP/1.0, where it ends with its connection.
func TestBrokenAnswerIsSeenByACallerOfHTTP10(t *testing.T) {
	t.Parallel()
	r, runner := newRouter(note.NewView(fleetState))
	runner.run = func(w http.ResponseWriter) error {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		return &call.BrokenError{Outcome: refusal.Run, Cause: io.ErrUnexpectedEOF}
	}
	address := startWithPool(t, r, &caller.Pool{})
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/services/orders/1 HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer mwanga-key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer answer.Body.Close()
	require.Equal(t, http.StatusOK, answer.StatusCode)
	_, err = io.ReadAll(answer.Body)
	require.Error(t, err)
}

// A caller sends the beginning of its body and then stalls. The router must not
// wait longer than BodyTimeout, and must send a refusal.
func TestSlowBodyIsRefused(t *testing.T) {
	t.Parallel()
	r, _ := newRouter(note.NewView(fleetState))
	r.Limits.BodyTimeout = 10 * time.Millisecond
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"+
		"Authorization: Bearer mwanga-key\r\nContent-Length: 100\r\n\r\n{")
	require.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = answer.Body.Close() })
	require.Equal(t, http.StatusRequestTimeout, answer.StatusCode)
}
