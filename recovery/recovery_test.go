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

func TestPanicIsContainedAndTold(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	counted := 0
	g := &recovery.Guard{Log: slog.New(slog.NewJSONHandler(&out, nil)), Count: func() { counted++ }}
	err := g.Do(recovery.Home, func() error { return empty(0) }, "request", "id-1")
	var panicked *recovery.Error
	require.ErrorAs(t, err, &panicked)
	require.Equal(t, recovery.Home, panicked.Part)
	require.ErrorContains(t, err, "divide by zero")
	require.Equal(t, 1, counted)
	var line map[string]string
	require.NoError(t, json.Unmarshal(out.Bytes(), &line), "one line")
	require.Equal(t, "home", line["part"])
	require.Equal(t, "id-1", line["request"])
	require.Contains(t, line["stack"], "recovery_test.empty")
}

// Guards against a line of which the reader of a pipe loses the end.
func TestLineOfADeepPanicIsShort(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	g := &recovery.Guard{Log: slog.New(slog.NewJSONHandler(&out, nil))}
	g.Run(recovery.Request, func() { deep(200) })
	require.Less(t, out.Len(), 4096)
	require.Contains(t, out.String(), "recovery_test.deep")
}

// deep panics after so many calls.
func deep(calls int) {
	if calls == 0 {
		panic("a fault")
	}
	deep(calls - 1)
}

// empty divides by a number.
func empty(by int) error {
	_ = 1 / by
	return nil
}

func TestWorkThatDoesNotPanicIsLeftAlone(t *testing.T) {
	t.Parallel()
	g := &recovery.Guard{Log: slog.New(slog.DiscardHandler)}
	require.NoError(t, g.Do(recovery.Request, func() error { return nil }))
	require.ErrorIs(t, g.Do(recovery.Request, func() error { return http.ErrServerClosed }), http.ErrServerClosed)
}

// Guards against an answer that seems whole because its breaking off was contained.
func TestAnswerThatIsBrokenOffPasses(t *testing.T) {
	t.Parallel()
	g := &recovery.Guard{Log: slog.New(slog.DiscardHandler)}
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		g.Run(recovery.Request, func() { panic(http.ErrAbortHandler) })
	})
}

// Guards against panics that nobody hears of.
func TestWithoutAGuardPanicsPass(t *testing.T) {
	t.Parallel()
	var none *recovery.Guard
	require.Panics(t, func() { none.Run(recovery.Home, func() { _ = empty(0) }) })
}
