package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/logging"
)

// logLine holds the fields of a log line that the tests check.
type logLine struct {
	Message        string  `json:"msg"`
	Request        string  `json:"request"`
	Reason         string  `json:"reason"`
	Upstream       string  `json:"upstream"`
	EndedBy        string  `json:"ended-by"`
	Decision       string  `json:"decision"`
	Cause          string  `json:"cause"`
	AttemptMs      float64 `json:"attempt-ms"`
	SilentMs       float64 `json:"silent-ms"`
	SilenceLimitMs float64 `json:"silence-limit-ms"`
	LatencyMs      float64 `json:"latency-ms"`
	Parts          string  `json:"parts"`
	AttemptEvents  int     `json:"attempt-events"`
	HeaderMs       float64 `json:"header-ms"`
	FirstEventMs   float64 `json:"first-event-ms"`
	Count          int     `json:"count"`
	Route          string  `json:"route"`
}

func readLog(t *testing.T, log []byte) []logLine {
	t.Helper()
	var lines []logLine
	scanner := bufio.NewScanner(bytes.NewReader(log))
	for scanner.Scan() {
		var l logLine
		require.NoError(t, json.Unmarshal(scanner.Bytes(), &l), scanner.Text())
		lines = append(lines, l)
	}
	return lines
}

// captureLog sets up the handler's logs as a router does. The returned function closes the log and
// returns its content.
func (f *fixture) captureLog() (end func() []byte) {
	var out bytes.Buffer
	w := logging.New(&out)
	log := w.Logger(slog.LevelInfo)
	f.handler.Log = logging.WithPriority(log, logging.Failure)
	f.handler.RoutineLog = logging.WithPriority(log, logging.Request)
	return func() []byte {
		f.handler.LogRefusals()
		w.Close()
		return out.Bytes()
	}
}

// flood makes the handler refuse requests at a rate per second until ctx ends.
func (f *fixture) flood(ctx context.Context, perSecond int) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for range perSecond / 100 {
			n++
			r := httptest.NewRequest(http.MethodPost, "http://h/order/1", nil)
			r.RequestURI = "/order/1"
			r.Header.Set("X-Id", fmt.Sprintf("flood-%d", n))
			r.Header.Set("X-Key", "unknown")
			f.handler.ServeHTTP(httptest.NewRecorder(), r)
		}
	}
}

// breakOffByPath breaks a stream off in the way that its path names.
func breakOffByPath(w http.ResponseWriter, r *http.Request) {
	kind := strings.Split(r.URL.Path, "/")[2]
	if kind == "reset" {
		resets(w, r)
		return
	}
	if kind == "part" {
		events(1, 3, false)(w, r)
		return
	}
	w.Header().Set("X-Signed", "yes")
	_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done() // the router or the caller ends the stream
}

// breakCases are the ways in which streams break off, with the expected fields of the log line.
var breakCases = []struct {
	path          string
	by, decision  string
	cause, reason string
}{
	{path: "/once/reset", by: "upstream", reason: "broken-before-answer", cause: "connection reset"},
	{path: "/once/part", by: "upstream", reason: "stream-broken", cause: "unexpected EOF"},
	{path: "/stream/silent", by: "router", decision: "silence", reason: "stream-broken", cause: "silent"},
	{path: "/once/long", by: "router", decision: "deadline", reason: "stream-broken", cause: "time is over"},
	{path: "/once/left", by: "caller", reason: "stream-broken", cause: "context canceled"},
}

// Guards against a flood of refusals that crowds the causes of broken streams out of the log.
func TestBrokenStreamsAreExplainedUnderAFlood(t *testing.T) {
	t.Parallel()
	f := start(t, slices.Repeat([]http.HandlerFunc{breakOffByPath}, 8)...) // enough slots for all streams
	end := f.captureLog()
	f.handler.SchedulingLatency = func() time.Duration { return 7 * time.Millisecond }
	f.breakOffUnderFlood(t)
	lines := readLog(t, end())
	summed := 0
	for _, l := range lines {
		if l.Message == "requests refused" {
			require.Equal(t, "unknown-account", l.Reason, "%+v", l)
			require.Equal(t, "order", l.Route)
			summed += l.Count
		}
	}
	for i := range 10 {
		for _, c := range breakCases {
			requireExplained(t, lines, fmt.Sprintf("%s-%d", c.path, i), c.by, c.decision, c.reason, c.cause)
		}
	}
	require.Greater(t, summed, 1000)
	require.LessOrEqual(t, len(lines), 4*400, "the bound on lines of a second holds")
}

func (f *fixture) breakOffUnderFlood(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var flood, streams sync.WaitGroup
	flood.Go(func() { f.flood(ctx, 2000) })
	time.Sleep(100 * time.Millisecond) // the flood uses up this second's bounds on log lines
	for i := range 10 {
		for _, c := range breakCases {
			streams.Go(func() { f.breakOff(t, c.path, fmt.Sprintf("%s-%d", c.path, i)) })
			time.Sleep(5 * time.Millisecond) // all at once would overfill the account's queue
		}
	}
	streams.Wait()
	cancel()
	flood.Wait()
}

// breakOff requests a stream that breaks off in the way that its path names.
func (f *fixture) breakOff(t *testing.T, path, id string) {
	t.Helper()
	r := f.request(t, http.MethodPost, path, "")
	r.Header.Set("X-Id", id)
	r.Header.Set("X-Parts", "5c,6")
	switch path {
	case "/once/long":
		r.Header.Set("X-Left", "600ms")
	case "/stream/silent":
		r.Header.Set("X-Left", "1500ms")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if path == "/once/left" {
		time.AfterFunc(400*time.Millisecond, cancel)
	}
	_, _, _, _ = f.do(t, r.WithContext(ctx)) // the answer is checked by other tests
}

// requireExplained checks that a request's "attempt failed" line names the upstream, who ended the
// attempt and why.
func requireExplained(t *testing.T, lines []logLine, id, by, decision, reason, cause string) {
	t.Helper()
	for _, l := range lines {
		if l.Request != id || l.Message != "attempt failed" {
			continue
		}
		require.Equal(t, by, l.EndedBy, id)
		require.Equal(t, decision, l.Decision, id)
		require.Equal(t, reason, l.Reason, id)
		require.Contains(t, l.Cause, cause, id)
		require.NotEmpty(t, l.Upstream, id)
		require.Positive(t, l.AttemptMs, id)
		require.InDelta(t, 7, l.LatencyMs, 0.1, id)
		require.Equal(t, "5c,6", l.Parts, id)
		if l.AttemptEvents > 0 {
			require.GreaterOrEqual(t, l.HeaderMs, l.FirstEventMs, id)
		}
		if decision == "silence" {
			require.GreaterOrEqual(t, l.SilentMs, l.SilenceLimitMs, id)
			require.Positive(t, l.SilenceLimitMs, id)
		}
		return
	}
	found := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Request != id })
	require.Fail(t, "no line", "%s has %+v", id, found)
}
