package trace_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/trace"
)

const header = `{"format":"nutmeglock-trace","version":1,"begun":"2026-12-02T00:00:00Z","fleet":{"routers":6,"models":10,"plain":3,"delay-us":1000}}` + "\n"

func record(at int64) trace.Record {
	return trace.Record{
		ArrivalMs: at, Account: "a", Service: "findings", Kind: fleet.Model, InputTokens: 10, OutputTokens: 20,
		TimeoutMs: 1000, Outcome: trace.Answered,
	}
}

func TestTraceIsReadAsItWasWritten(t *testing.T) {
	t.Parallel()
	var buffer bytes.Buffer
	want := []trace.Record{record(1), record(2)}
	require.NoError(t, trace.Write(&buffer, trace.Header{StartTime: time.Unix(5, 0).UTC(), Fleet: trace.Fleet{Routers: 6}}, want))
	head, got, err := trace.ReadAll(&buffer)
	require.NoError(t, err)
	require.Equal(t, 6, head.Fleet.Routers)
	require.Equal(t, want, got)
}

func TestWrongTraces(t *testing.T) {
	t.Parallel()
	cases := []struct{ name, text, message string }{
		{"empty", "", "line 1: the trace is empty; its first line has to be a header"},
		{"no header", `{"at-ms":1}`, `line 1: json: unknown field "at-ms"`},
		{"another format", `{"format":"x","version":1}`, `line 1: format is "x"; it has to be "nutmeglock-trace"`},
		{"a later version", `{"format":"nutmeglock-trace","version":9}`, "line 1: version is 9; this program reads 1"},
		{"no routers", `{"format":"nutmeglock-trace","version":1,"fleet":{"routers":0}}`, "line 1: fleet.routers has to be at least 1"},
		{"not JSON", header + "\n\nhello", "line 4: invalid character 'h' looking for beginning of value"},
		{"cut off", header + `{"at-ms":1,"acc`, "line 2: unexpected EOF"},
		{"unknown field", header + `{"at-ms":1,"akkount":"a"}`, `line 2: json: unknown field "akkount"`},
		{"no account", header + `{"at-ms":1}`, "line 2: account is missing"},
		{"kind", header + `{"account":"a","service":"s","kind":"x"}`, `line 2: kind is "x"; it has to be model or plain`},
		{"negative", header + `{"at-ms":-1,"account":"a","service":"s","kind":"plain","deadline-ms":1}`, "line 2: at-ms is -1; it can't be negative"},
		{"outcome", header + `{"account":"a","service":"s","kind":"plain","deadline-ms":1,"outcome":"lost"}`, `line 2: outcome is "lost", which is neither answered nor the reason of a refusal`},
		{"two values", header + `{"account":"a","service":"s","kind":"plain","deadline-ms":1} {}`, "line 2: more than one value on the line"},
		{"long line", header + strings.Repeat("x", 70<<10), "line 2: bufio.Scanner: token too long"},
	}
	for _, c := range cases {
		_, _, err := trace.ReadAll(strings.NewReader(c.text))
		var line *trace.LineError
		require.ErrorAs(t, err, &line, c.name)
		require.EqualError(t, err, c.message, c.name)
	}
}

func TestRecorderWritesAllAtTheEnd(t *testing.T) {
	t.Parallel()
	var buffer bytes.Buffer
	recorder := trace.NewRecorder(&buffer)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for range 100 {
				recorder.Record(record(int64(i)))
			}
		})
	}
	group.Wait()
	cancel()
	require.NoError(t, recorder.Run(ctx, trace.Header{Fleet: trace.Fleet{Routers: 1}}))
	_, records, err := trace.ReadAll(&buffer)
	require.NoError(t, err)
	require.Len(t, records, 800)
	require.Zero(t, recorder.Dropped())
}

// The writer of the trace stalls. If Record waited for it, every request of the
// router would stall, too.
func TestRecordDoesNotWaitForTheWriter(t *testing.T) {
	t.Parallel()
	var buffer bytes.Buffer
	recorder := trace.NewRecorder(&buffer)
	for i := range 5000 {
		recorder.Record(record(int64(i)))
	}
	require.Equal(t, int64(5000-4096), recorder.Dropped())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, recorder.Run(ctx, trace.Header{Fleet: trace.Fleet{Routers: 1}}))
	reader, err := trace.NewReader(&buffer)
	require.NoError(t, err)
	count := 0
	for {
		if _, err := reader.Next(); errors.Is(err, io.EOF) {
			break
		}
		count++
	}
	require.Equal(t, 4096, count)
	require.Equal(t, 5000-4096, reader.Dropped())
}

type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// The writer of the trace fails. Records that were queued but never written have
// to be counted as dropped, or the trace would look as if there had been no requests.
func TestRecorderReportsAWriterThatFails(t *testing.T) {
	t.Parallel()
	recorder := trace.NewRecorder(brokenWriter{})
	recorder.Record(record(1))
	recorder.Record(record(2))
	require.ErrorIs(t, recorder.Run(t.Context(), trace.Header{}), io.ErrClosedPipe)
	require.Equal(t, int64(2), recorder.Dropped())
	recorder.Record(record(3))
	require.Equal(t, int64(3), recorder.Dropped())
}

func FuzzReader(f *testing.F) {
	f.Add([]byte(header + `{"at-ms":1,"account":"a","service":"s","kind":"plain","deadline-ms":1}` + "\n" + `{"lost":3}`))
	f.Add([]byte(`{"format":`))
	f.Fuzz(func(t *testing.T, data []byte) {
		head, records, err := trace.ReadAll(bytes.NewReader(data))
		if err != nil {
			var line *trace.LineError
			require.ErrorAs(t, err, &line)
			return
		}
		var again bytes.Buffer
		require.NoError(t, trace.Write(&again, head, records))
		_, same, err := trace.ReadAll(&again)
		require.NoError(t, err)
		require.Equal(t, records, same)
	})
}
