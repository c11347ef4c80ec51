package recovery_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/recovery"
)

func TestPanicIsRecoveredAndLogged(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	counted := 0
	g := &recovery.Guard{Log: slog.New(slog.NewJSONHandler(&out, nil)), OnPanic: func() { counted++ }}
	err := g.Do(recovery.Home, func() error { return divideOneBy(0) }, "request", "id-1")
	var panicked *recovery.Error
	require.ErrorAs(t, err, &panicked)
	require.Equal(t, recovery.Home, panicked.Part)
	require.ErrorContains(t, err, "divide by zero")
	require.Equal(t, 1, counted)
	var line map[string]string
	require.NoError(t, json.Unmarshal(out.Bytes(), &line), "one line")
	require.Equal(t, "home", line["part"])
	require.Equal(t, "id-1", line["request"])
	require.Contains(t, line["stack"], "recovery_test.divideOneBy")
}

// Guards against a log line that is too long for one atomic write to a pipe.
func TestLineOfADeepPanicIsShort(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	g := &recovery.Guard{Log: slog.New(slog.NewJSONHandler(&out, nil))}
	g.Run(recovery.Request, func() { deep(200) })
	require.Less(t, out.Len(), 4096)
	require.Contains(t, out.String(), "recovery_test.deep")
}

// deep panics after the given number of recursive calls.
func deep(calls int) {
	if calls == 0 {
		panic("a fault")
	}
	deep(calls - 1)
}

// divideOneBy panics if divisor is zero.
func divideOneBy(divisor int) error {
	_ = 1 / divisor
	return nil
}

func TestWorkThatDoesNotPanicIsLeftAlone(t *testing.T) {
	t.Parallel()
	g := &recovery.Guard{Log: slog.New(slog.DiscardHandler)}
	require.NoError(t, g.Do(recovery.Request, func() error { return nil }))
	require.ErrorIs(t, g.Do(recovery.Request, func() error { return http.ErrServerClosed }), http.ErrServerClosed)
}

// Guards against an aborted response that looks complete because the abort was recovered.
func TestAbortedAnswerIsNotRecovered(t *testing.T) {
	t.Parallel()
	g := &recovery.Guard{Log: slog.New(slog.DiscardHandler)}
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		g.Run(recovery.Request, func() { panic(http.ErrAbortHandler) })
	})
}

// Guards against panics that go unnoticed.
func TestNilGuardDoesNotRecover(t *testing.T) {
	t.Parallel()
	var noGuard *recovery.Guard
	require.Panics(t, func() { noGuard.Run(recovery.Home, func() { _ = divideOneBy(0) }) })
}
