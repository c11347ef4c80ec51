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

// The same cases come in each run; -rapid.seed tries others.
func init() { _ = flag.Set("rapid.seed", "7") }

var errCut = errors.New("cut")

// engine is a stream that is cut after so many bytes of each connection.
type engine struct {
	events []string
	cuts   []int
	// gone is true when the engine has forgotten the stream.
	gone bool
	name string
	skip int
}

func (e *engine) open(after int) *stream.Connection {
	text := strings.Join(e.events[min(after, len(e.events)):], "")
	var body io.Reader = strings.NewReader(text)
	if len(e.cuts) > 0 {
		body = io.MultiReader(strings.NewReader(text[:min(e.cuts[0], len(text))]), iotest.ErrReader(errCut))
		e.cuts = e.cuts[1:]
	}
	return &stream.Connection{Stream: e.name, Body: io.NopCloser(iotest.HalfReader(body))}
}

func (e *engine) Resume(_ context.Context, after stream.EventID) (*stream.Connection, error) {
	if e.gone {
		return nil, &stream.GoneError{Stream: "s"}
	}
	return e.open(int(after) + e.skip), nil
}

// caller takes events until it goes away after limit of them; zero is no limit.
type caller struct {
	text  strings.Builder
	count int
	limit int
}

func (c *caller) Event(event stream.Event, _ bool) error {
	if c.limit > 0 && c.count == c.limit {
		return errCut
	}
	c.count++
	c.text.Write(event.Raw)
	return nil
}

func events(n int) []string {
	out := make([]string, 0, n)
	for id := 1; id < n; id++ {
		out = append(out, fmt.Sprintf("id: %d\ndata: {\"t\":\"%s\"}\n\n", id, strings.Repeat("x", id%5)))
	}
	return append(out, fmt.Sprintf("id: %d\ndata: [DONE]\n\n", n))
}

func relay(e *engine) *stream.Relay {
	return &stream.Relay{Stream: "s", Source: e, Again: func(context.Context, error) bool { return true }}
}

// An engine's connection breaks at any byte, again and again. The caller has
// to get each event once, in order, byte for byte as if nothing had happened.
func TestRelayLosesAndDoublesNothing(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		all := events(rapid.IntRange(1, 20).Draw(t, "events"))
		e := &engine{events: all, name: "s", cuts: rapid.SliceOfN(rapid.IntRange(0, 200), 0, 8).Draw(t, "cuts")}
		got := &caller{}

		require.NoError(t, relay(e).Run(context.Background(), e.open(0), got))

		require.Equal(t, strings.Join(all, ""), got.text.String())
	})
}

// What comes from a resumed connection may be another caller's stream, or
// begin too late or too early. A caller would read a stranger's answer, or a
// sentence with a hole. The relay has to end instead.
func TestRelayRefusesToSplice(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		spoil func(e *engine)
		want  any
	}{
		"other stream": {func(e *engine) { e.name = "other" }, new(*stream.SpliceError)},
		"unnamed":      {func(e *engine) { e.name = "" }, new(*stream.SpliceError)},
		"hole":         {func(e *engine) { e.skip = 1 }, new(*stream.OrderError)},
		"repeat":       {func(e *engine) { e.skip = -1 }, new(*stream.OrderError)},
		"gone":         {func(e *engine) { e.gone = true }, new(*stream.GoneError)},
	} {
		e := &engine{events: events(9), name: "s", cuts: []int{60}}
		first := e.open(0)
		c.spoil(e)
		got := &caller{}

		err := relay(e).Run(t.Context(), first, got)

		require.ErrorAs(t, err, c.want, name)
		require.Equal(t, strings.Join(events(9)[:got.count], ""), got.text.String(), name)
		require.Positive(t, got.count, name)
	}
}

func TestRelayEndsWhenTheCallerIsGone(t *testing.T) {
	t.Parallel()
	e := &engine{events: events(9), name: "s"}
	r := relay(e)
	var gone *stream.SinkError
	require.ErrorAs(t, r.Run(t.Context(), e.open(0), &caller{limit: 3}), &gone)
	require.Equal(t, stream.EventID(3), r.After)
}

func TestReaderReadsTheFormsOfEvents(t *testing.T) {
	t.Parallel()
	in := ": hello\n\nid:1\r\ndata: a\r\ndata: b\r\n\r\nid: 2\nevent: x\ndata: [DONE]\n\nid: 3\ndata: cut"
	reader := stream.NewReader(strings.NewReader(in))
	var got []string
	for {
		event, err := reader.Next()
		if err != nil {
			require.ErrorIs(t, err, stream.ErrPartial)
			break
		}
		got = append(got, fmt.Sprintf("%d %q %v %v", event.ID, event.Data, event.Last(), reader.More()))
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
