package stream_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/stream"
)

// A fixed seed makes the cases the same in each run; -rapid.seed sets another one.
func init() { _ = flag.Set("rapid.seed", "7") }

var errBroken = errors.New("cut")

// fakeEngine is a Source that cuts each connection after a number of bytes.
type fakeEngine struct {
	events     []string
	cutOffsets []int
	// gone is true when the engine no longer has the stream.
	gone bool
	name string
	// skip shifts the event at which a resumed connection begins.
	skip int
}

func (e *fakeEngine) open(after int) *stream.Connection {
	text := strings.Join(e.events[min(after, len(e.events)):], "")
	var body io.Reader = strings.NewReader(text)
	if len(e.cutOffsets) > 0 {
		body = io.MultiReader(strings.NewReader(text[:min(e.cutOffsets[0], len(text))]), iotest.ErrReader(errBroken))
		e.cutOffsets = e.cutOffsets[1:]
	}
	return &stream.Connection{Stream: e.name, Body: io.NopCloser(iotest.HalfReader(body))}
}

func (e *fakeEngine) Resume(_ context.Context, after stream.EventID) (*stream.Connection, error) {
	if e.gone {
		return nil, &stream.GoneError{Stream: "s"}
	}
	return e.open(int(after) + e.skip), nil
}

// recordingSink records events and fails after limit of them; zero means no limit.
type recordingSink struct {
	text  strings.Builder
	count int
	limit int
}

func (s *recordingSink) Event(event stream.Event, _ bool) error {
	if s.limit > 0 && s.count == s.limit {
		return errBroken
	}
	s.count++
	s.text.Write(event.Raw)
	return nil
}

func eventTexts(n int) []string {
	out := make([]string, 0, n)
	for id := 1; id < n; id++ {
		out = append(out, fmt.Sprintf("id: %d\ndata: {\"t\":\"%s\"}\n\n", id, strings.Repeat("x", id%5)))
	}
	return append(out, fmt.Sprintf("id: %d\ndata: [DONE]\n\n", n))
}

func newRelay(e *fakeEngine) *stream.Relay {
	return &stream.Relay{Stream: "s", Source: e, MayReconnect: func(context.Context, error) bool { return true }}
}

// Wherever the connection breaks, and however often, the caller gets each event once, in order and
// byte for byte.
func TestRelayLosesAndDoublesNothing(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		all := eventTexts(rapid.IntRange(1, 20).Draw(t, "events"))
		e := &fakeEngine{events: all, name: "s", cutOffsets: rapid.SliceOfN(rapid.IntRange(0, 200), 0, 8).Draw(t, "cuts")}
		got := &recordingSink{}

		require.NoError(t, newRelay(e).Run(context.Background(), e.open(0), got))

		require.Equal(t, strings.Join(all, ""), got.text.String())
	})
}

// Guards against a resumed connection that carries another caller's stream, or begins too late or
// too early. The relay must fail, or the caller would get another caller's answer, or one with
// missing or repeated text.
func TestRelayRejectsAnotherStreamAndWrongIDs(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		modify func(e *fakeEngine)
		want   any
	}{
		"other stream": {func(e *fakeEngine) { e.name = "other" }, new(*stream.WrongStreamError)},
		"unnamed":      {func(e *fakeEngine) { e.name = "" }, new(*stream.WrongStreamError)},
		"hole":         {func(e *fakeEngine) { e.skip = 1 }, new(*stream.OrderError)},
		"repeat":       {func(e *fakeEngine) { e.skip = -1 }, new(*stream.OrderError)},
		"gone":         {func(e *fakeEngine) { e.gone = true }, new(*stream.GoneError)},
	} {
		e := &fakeEngine{events: eventTexts(9), name: "s", cutOffsets: []int{60}}
		first := e.open(0)
		c.modify(e)
		got := &recordingSink{}

		err := newRelay(e).Run(t.Context(), first, got)

		require.ErrorAs(t, err, c.want, name)
		require.Equal(t, strings.Join(eventTexts(9)[:got.count], ""), got.text.String(), name)
		require.Positive(t, got.count, name)
	}
}

func TestRelayEndsWhenTheCallerIsGone(t *testing.T) {
	t.Parallel()
	e := &fakeEngine{events: eventTexts(9), name: "s"}
	r := newRelay(e)
	var gone *stream.SinkError
	require.ErrorAs(t, r.Run(t.Context(), e.open(0), &recordingSink{limit: 3}), &gone)
	require.Equal(t, stream.EventID(3), r.After)
}

func TestReaderParsesEvents(t *testing.T) {
	t.Parallel()
	in := ": hello\n\nid:1\r\ndata: a\r\ndata: b\r\n\r\nid: 2\nevent: x\ndata: [DONE]\n\nid: 3\ndata: cut"
	reader := stream.NewReader(strings.NewReader(in))
	var got []string
	for {
		event, err := reader.Next()
		if err != nil {
			require.ErrorIs(t, err, stream.ErrPartialEvent)
			break
		}
		got = append(got, fmt.Sprintf("%d %q %v %v", event.ID, event.Data, event.IsLast(), reader.HasBuffered()))
	}
	require.Equal(t, []string{`0 "" false true`, `1 "a\nb" false true`, `2 "[DONE]" true false`}, got)
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: {\"usage\":{\"prompt_tokens\":1}}\n\n")
	f.Add("id: x\n\n")
	f.Add("\r\n\r\ndata\n\n: c\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		reader := stream.NewReader(strings.NewReader(in))
		var passed strings.Builder
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			stream.ReadUsage(event.Data)
			passed.Write(event.Raw)
		}
		require.True(t, strings.HasPrefix(in, passed.String()))
	})
}
