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
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/router"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/timer"
)

type source struct{ view *note.View }

func (s source) Current() *note.View { return s.view }

type runner struct {
	last call.Request
	run  func(w http.ResponseWriter) error
}

func (r *runner) Run(_ context.Context, w http.ResponseWriter, request call.Request) error {
	r.last = request
	if r.run != nil {
		return r.run(w)
	}
	_, err := io.WriteString(w, "ran")
	return err
}

func (*runner) Resume(_ context.Context, w http.ResponseWriter, _ call.Resumption) error {
	_, err := io.WriteString(w, "ran")
	return err
}

type flat struct{}

func (flat) Model(*schema.Account, *schema.Service, int, int) fleet.Tokens { return 320 }

var state = &schema.FleetState{
	Version: 1,
	Accounts: []*schema.Account{
		{Id: "mwanga", KeySha256: []string{note.HashKey("mwanga-key")}},
		{Id: "narrow", KeySha256: []string{note.HashKey("narrow-key")}, Services: []string{"findings"}},
	},
	Services: []*schema.Service{{Id: "findings", Kind: "model"}, {Id: "orders", Kind: "plain"}},
}

func newRouter(view *note.View) (*router.Router, *runner) {
	run := &runner{}
	return router.New(router.Options{
		Notes: source{view}, Runner: run, Estimator: flat{}, Timer: timer.System{},
		Metrics: metric.New(prometheus.NewRegistry()),
		Log:     slog.New(slog.DiscardHandler),
		Limits: router.Limits{
			BodyBytes: 256, HeaderBytes: 200, BodyTimeout: time.Second,
			DefaultDeadline: time.Second, MaxDeadline: time.Minute,
		},
	}), run
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
			r, _ := newRouter(note.NewView(state))
			recorder := httptest.NewRecorder()
			r.ServeHTTP(recorder, parse(t, raw))
			require.Equal(t, strings.TrimSpace(expected), describe(t, recorder))
			require.NotEmpty(t, recorder.Header().Get(router.HeaderRequestID))
		})
	}
}

func parse(t *testing.T, raw string) *http.Request {
	t.Helper()
	head, body, _ := strings.Cut(raw, "\n\n")
	line, headers, _ := strings.Cut(head, "\n")
	text := line + " HTTP/1.1\nHost: router\n" + headers + "\n\n"
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	require.NoError(t, err)
	req.Body = io.NopCloser(strings.NewReader(body))
	return req
}

func describe(t *testing.T, recorder *httptest.ResponseRecorder) string {
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

// A plain service may tell apart paths that differ only in their escapes. A
// router that decoded and encoded them again would call another path than the
// one the caller named.
func TestPlainCallKeepsItsPath(t *testing.T) {
	t.Parallel()
	r, run := newRouter(note.NewView(state))
	req := parse(t, "PUT /v1/services/orders/a%2Fb/new?x=%20\nAuthorization: Bearer mwanga-key\nTe: trailers\n\n{}")
	r.ServeHTTP(httptest.NewRecorder(), req)
	require.Equal(t, "/a%2Fb/new?x=%20", run.last.Path)
	require.Empty(t, run.last.Header.Get("Authorization"))
	require.Empty(t, run.last.Header.Get("Te"))
	require.True(t, run.last.Idempotent)
}

// A router that was just replaced holds no release note yet. If it served
// anybody it would have to guess who may call what, so it says that the
// request was not run and when to come back.
func TestRouterWithoutNoteServesNobody(t *testing.T) {
	t.Parallel()
	r, _ := newRouter(nil)
	recorder := httptest.NewRecorder()
	r.ServeHTTP(recorder, parse(t, "POST /v1/chat/completions\nAuthorization: Bearer mwanga-key\n\n{}"))
	require.Equal(t, "503 not-ready not-run", describe(t, recorder))
	require.Equal(t, "2", recorder.Header().Get("Retry-After"))
}

// A router in its graceful shutdown must not take work that it could no longer
// finish. The caller hears at once that nothing was run.
func TestStoppingRouterRefusesNewRequests(t *testing.T) {
	t.Parallel()
	r, _ := newRouter(note.NewView(state))
	require.NoError(t, r.Stop(t.Context()))
	recorder := httptest.NewRecorder()
	r.ServeHTTP(recorder, parse(t, "POST /v1/chat/completions\nAuthorization: Bearer mwanga-key\n\n{}"))
	require.Equal(t, "503 stopping not-run", describe(t, recorder))
	require.Equal(t, "close", recorder.Header().Get("Connection"))
}

// The upstream breaks off after half of an answer went out. If the connection
// ended in order, the caller would take the half for the whole.
func TestBrokenAnswerIsSeenByTheCaller(t *testing.T) {
	t.Parallel()
	r, run := newRouter(note.NewView(state))
	run.run = func(w http.ResponseWriter) error {
		_, _ = io.WriteString(w, "half")
		return &call.BrokenError{Outcome: refusal.Run, Cause: io.ErrUnexpectedEOF}
	}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	req := parse(t, "POST /v1/chat/completions\nAuthorization: Bearer mwanga-key\n\n"+`{"model":"findings","messages":[]}`)
	req.URL.Scheme, req.URL.Host, req.RequestURI = "http", server.Listener.Addr().String(), ""
	answer, err := http.DefaultClient.Do(req)
	if err == nil {
		_, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
	}
	require.Error(t, err)
	require.InDelta(t, 1, testutil.ToFloat64(r.Metrics.Refusals.WithLabelValues("upstream-failed")), 0)
}

// A caller on a bad line sends the beginning of its request and then nothing.
// It must not hold anything for longer than the bound, and hears why.
func TestSlowBodyIsRefused(t *testing.T) {
	t.Parallel()
	r, _ := newRouter(note.NewView(state))
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
