package logging_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/logging"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	mu  sync.Mutex
	out bytes.Buffer
	let chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// What reads the log stands still. A router that waited for it would stand
// still too, and callers would see it; lines are dropped and counted instead.
func TestStuckReaderDelaysNobody(t *testing.T) {
	t.Parallel()
	out := &stuck{let: make(chan struct{})}
	w := logging.New(out)
	log := w.Log(slog.LevelInfo)
	begin := time.Now()
	for i := range 5_000 {
		log.Info("line", "number", i)
	}
	require.Less(t, time.Since(begin), 5*time.Second)
	require.Greater(t, w.Dropped(), uint64(3_000))
	close(out.let)
	w.Close()
	require.Contains(t, out.out.String(), "log lines dropped")
}

func TestLinesAreWhole(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	w := logging.New(&out)
	log := w.Log(slog.LevelInfo)
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
	log := w.Log(slog.LevelInfo)
	for i := range b.N {
		log.Info("request answered", "request", "319a0f5c100837b1", "upstream", "i-148be361f1", "sends", i, "first-ms", 12.5)
	}
	w.Close()
}

// Guards against a flood of lines about refusals that pushes out why requests broke off, and
// what the router believed then.
func TestLinesOfHigherPriorityHaveRoom(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	w := logging.New(&out)
	log := w.Log(slog.LevelInfo).With("router", "r")
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
	require.LessOrEqual(t, strings.Count(out.String(), "\n"), 2*400+1, "the bound of all lines holds over the end of a second")
	require.Positive(t, w.Dropped())
}
