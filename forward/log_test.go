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

// logLine is what the tests read of a line.
type logLine struct {
	Message  string  `json:"msg"`
	Request  string  `json:"request"`
	Reason   string  `json:"reason"`
	Upstream string  `json:"upstream"`
	By       string  `json:"ended-by"`
	Decision string  `json:"decision"`
	Cause    string  `json:"cause"`
	Took     float64 `json:"attempt-ms"`
	Silent   float64 `json:"silent-ms"`
	Limit    float64 `json:"silence-limit-ms"`
	Latency  float64 `json:"latency-ms"`
	Count    int     `json:"count"`
	Route    string  `json:"route"`
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

// withLog wires a handler to a log as a router does. It returns what the log has in the end.
func (f *fixture) withLog() (end func() []byte) {
	var out bytes.Buffer
	w := logging.New(&out)
	log := w.Log(slog.LevelInfo)
	f.handler.Log = logging.WithPriority(log, logging.Failure)
	f.handler.Routine = logging.WithPriority(log, logging.Request)
	return func() []byte {
		f.handler.LogRefusals()
		w.Close()
		return out.Bytes()
	}
}

// flood makes the handler refuse so many requests a second until ctx ends.
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

// breaking answers by the way in which the stream of a path is to break off.
func breaking(w http.ResponseWriter, r *http.Request) {
	way := strings.Split(r.URL.Path, "/")[2]
	if way == "reset" {
		resets(w, r)
		return
	}
	if way == "part" {
		events(1, 3, false)(w, r)
		return
	}
	w.Header().Set("X-Signed", "yes")
	_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done() // the way is that of the router or the caller
}

// brokenWays are the ways in which streams break off, with what the log has to say.
var brokenWays = []struct {
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

// Guards against a flood of refusals after which nobody can tell why streams broke off.
func TestBrokenStreamsAreExplainedUnderAFlood(t *testing.T) {
	t.Parallel()
	f := start(t, slices.Repeat([]http.HandlerFunc{breaking}, 8)...) // with a slot for each stream
	end := f.withLog()
	f.handler.Latency = func() time.Duration { return 7 * time.Millisecond }
	f.flooded(t)
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
		for _, way := range brokenWays {
			requireExplained(t, lines, fmt.Sprintf("%s-%d", way.path, i), way.by, way.decision, way.reason, way.cause)
		}
	}
	require.Greater(t, summed, 1000)
	require.LessOrEqual(t, len(lines), 4*400, "the bound on lines of a second holds")
}

func (f *fixture) flooded(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var flood, streams sync.WaitGroup
	flood.Go(func() { f.flood(ctx, 2000) })
	time.Sleep(100 * time.Millisecond) // the bounds of this second are used up
	for i := range 10 {
		for _, way := range brokenWays {
			streams.Go(func() { f.breakOff(t, way.path, fmt.Sprintf("%s-%d", way.path, i)) })
			time.Sleep(5 * time.Millisecond) // a line of the account that fills at once would refuse some
		}
	}
	streams.Wait()
	cancel()
	flood.Wait()
}

// breakOff asks for a stream, and leaves it if that is the way in which it breaks off.
func (f *fixture) breakOff(t *testing.T, path, id string) {
	t.Helper()
	r := f.request(t, http.MethodPost, path, "")
	r.Header.Set("X-Id", id)
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
	_, _, _, _ = f.do(t, r.WithContext(ctx)) // what the caller gets is the matter of other tests
}

// requireExplained checks that a line of a request tells what was tried and who ended it.
func requireExplained(t *testing.T, lines []logLine, id, by, decision, reason, cause string) {
	t.Helper()
	for _, l := range lines {
		if l.Request != id || l.Message != "attempt failed" {
			continue
		}
		require.Equal(t, by, l.By, id)
		require.Equal(t, decision, l.Decision, id)
		require.Equal(t, reason, l.Reason, id)
		require.Contains(t, l.Cause, cause, id)
		require.NotEmpty(t, l.Upstream, id)
		require.Positive(t, l.Took, id)
		require.InDelta(t, 7, l.Latency, 0.1, id)
		if decision == "silence" {
			require.GreaterOrEqual(t, l.Silent, l.Limit, id)
			require.Positive(t, l.Limit, id)
		}
		return
	}
	others := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Request != id })
	require.Fail(t, "no line", "%s has %+v", id, others)
}
