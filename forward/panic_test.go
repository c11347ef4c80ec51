package forward_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/turn"
)

// panickingCodec panics when it parses an upstream's answer.
type panickingCodec struct{ testCodec }

func (panickingCodec) ParseAnswer(int, http.Header) forward.AnswerInfo {
	panic("a fault of the router")
}

// recoverPanics sets a Guard. It returns the Guard's log and the number of recovered panics.
func (f *fixture) recoverPanics() (log *bytes.Buffer, panics *atomic.Int64) {
	log, panics = &bytes.Buffer{}, &atomic.Int64{}
	f.handler.Guard = &recovery.Guard{
		Log:     slog.New(slog.NewJSONHandler(log, nil)),
		OnPanic: func() { panics.Add(1) },
	}
	return log, panics
}

// Guards against a panic that leaks a slot at an upstream or leaves its caller without an answer.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	t.Parallel()
	f := start(t, answersOK)
	log, panics := f.recoverPanics()
	f.handler.Codec = panickingCodec{}
	for range 20 { // more than the upstream has slots
		status, body, header, err := f.post(t, "/order/1")
		require.NoError(t, err)
		require.Equal(t, http.StatusInternalServerError, status)
		require.Equal(t, "internal\n", body)
		require.Empty(t, header.Get("X-Signed"))
	}
	require.EqualValues(t, 20, panics.Load())
	require.Contains(t, log.String(), `"request":"id-1"`)
	require.Contains(t, log.String(), "panickingCodec.ParseAnswer")
	f.handler.Codec = testCodec{}
	status, _, _, err := f.post(t, "/order/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}

// Guards against a stream that seems complete although a recovered panic ended it.
func TestStreamThatPanicsBreaksOff(t *testing.T) {
	t.Parallel()
	f := start(t, events(1, 3, false), events(1, 6, true))
	_, panics := f.recoverPanics()
	f.state.turn = func(ctx context.Context, d turn.Request) (home.Ticket, error) {
		if len(d.Tried) > 0 {
			panic("a fault of the router")
		}
		d.Tried = []turn.Instance{{ID: "u1"}}
		return home.AwaitLocal(ctx, f.state.pool, d)
	}
	_, body, _, err := f.post(t, "/stream/1")
	require.Error(t, err)
	require.Equal(t, expectedEvents(3), body)
	require.EqualValues(t, 1, panics.Load())
}
