package logging_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/logging"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	mu      sync.Mutex
	out     bytes.Buffer
	release chan struct{}
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *blockedOutput) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.String()
}

// The reader of the log stops reading. A router must not wait for it, since that would
// delay callers; lines are dropped and counted instead.
func TestStuckReaderDelaysNobody(t *testing.T) {
	t.Parallel()
	out := &blockedOutput{release: make(chan struct{})}
	w := logging.New(out)
	log := w.Logger(slog.LevelInfo)
	begin := time.Now()
	for i := range 5_000 {
		log.Info("line", "number", i)
	}
	require.Less(t, time.Since(begin), 5*time.Second)
	require.Greater(t, w.Dropped(logging.Router), uint64(3_000))
	close(out.release)
	w.Close()
	require.Contains(t, out.out.String(), "log lines dropped")
}

func TestLinesAreWhole(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	w := logging.New(&out)
	log := w.Logger(slog.LevelInfo)
	log.Info("one", "request", "a")
	log.Debug("not wanted")
	log.Warn("two", "request", "b")
	w.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], `"request":"a"`)
	require.Contains(t, lines[1], `"level":"WARN"`)
}

func BenchmarkLine(b *testing.B) {
	w := logging.New(&bytes.Buffer{})
	log := w.Logger(slog.LevelInfo)
	for i := range b.N {
		log.Info("request answered", "request", "319a0f5c100837b1", "upstream", "i-148be361f1", "sends", i, "first-ms", 12.5)
	}
	w.Close()
}

// Guards against a flood of lines about refusals that displaces the lines about failed
// requests and about the state of the router.
func TestLinesOfHigherPriorityHaveRoom(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	w := logging.New(&out)
	log := w.Logger(slog.LevelInfo).With("router", "r")
	requests := logging.WithPriority(log, logging.Request)
	failures := logging.WithPriority(log, logging.Failure)
	for range 1000 {
		requests.Warn("request refused")
	}
	for range 1000 {
		failures.Warn("attempt failed")
	}
	log.Warn("overload changed")
	w.Close()
	require.Contains(t, out.String(), "overload changed")
	require.Contains(t, out.String(), `"router":"r"`)
	require.GreaterOrEqual(t, strings.Count(out.String(), "attempt failed"), 100)
	require.LessOrEqual(t, strings.Count(out.String(), "\n"), 2*400+1, "the limit on all lines holds across the end of a second")
	require.Positive(t, w.Dropped(logging.Request))
}

// Guards against failures that are not logged because there were too many in one second: they
// are written later.
func TestFailuresBeyondTheBoundWaitForRoom(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{release: make(chan struct{})}
		close(out.release)
		w := logging.New(out)
		log := w.Logger(slog.LevelInfo).With("router", "r")
		failures := logging.WithPriority(log, logging.Failure)
		for i := range 500 {
			failures.Warn("attempt failed", "number", i)
		}
		require.Zero(t, w.Dropped(logging.Failure))
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, 300, strings.Count(out.text(), "attempt failed"), "the limit per second holds")
		time.Sleep(1500 * time.Millisecond)
		w.Close()
		require.Equal(t, 500, strings.Count(out.text(), `"router":"r"`))
		require.Contains(t, out.text(), `"number":499`)
		require.NotContains(t, out.text(), "log lines dropped")
	})
}

// Guards against memory that grows with the failures, and against dropped lines that are not
// counted by priority.
func TestNewestFailuresAreKeptAndLossesCounted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := logging.New(&out)
		failures := logging.WithPriority(w.Logger(slog.LevelInfo), logging.Failure)
		cause := strings.Repeat("x", 4_000)
		for i := range 700 { // 300 are written, 300 are deferred, of which 256 KiB are kept
			failures.Warn("attempt failed", "number", i, "cause", cause)
		}
		w.Close()
		require.Positive(t, w.Dropped(logging.Failure))
		require.Zero(t, w.Dropped(logging.Request))
		require.NotContains(t, out.String(), `"number":310`, "older lines are dropped")
		require.Contains(t, out.String(), `"number":599`)
		require.Contains(t, out.String(), fmt.Sprintf(`"failure-lines":%d,"request-lines":0`, w.Dropped(logging.Failure)))
	})
}
