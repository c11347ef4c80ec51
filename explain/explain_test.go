package explain_test

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/explain"
)

// Each case is a log, named after the request's id, and the expected explanation.
func TestExplanations(t *testing.T) {
	t.Parallel()
	logs, err := filepath.Glob("testdata/*.log")
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	for _, log := range logs {
		id := strings.TrimSuffix(filepath.Base(log), ".log")
		t.Run(id, func(t *testing.T) {
			t.Parallel()
			file, err := os.Open(log)
			require.NoError(t, err)
			defer file.Close()
			var out bytes.Buffer
			e := explain.Explainer{Request: id, Out: &out}
			require.NoError(t, e.Read(file))
			expected, err := os.ReadFile(strings.TrimSuffix(log, ".log") + ".story")
			require.NoError(t, err)
			require.Equal(t, string(expected), out.String())
			require.Positive(t, e.Found())
		})
	}
}

func TestUnknownRequestHasNoExplanation(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	e := explain.Explainer{Request: "none", Out: &out}
	require.NoError(t, e.Read(strings.NewReader("no line\n{\"msg\":\"started\"}\n{broken\n")))
	require.Zero(t, e.Found())
	require.Empty(t, out.String())
}

// repeatingReader repeats a line until remaining bytes have been read.
type repeatingReader struct {
	line      string
	remaining int
	offset    int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, io.EOF
	}
	n := copy(p, r.line[r.offset:])
	r.offset = (r.offset + n) % len(r.line)
	r.remaining -= n
	return n, nil
}

// The log of an hour is larger than memory, so it must be read as a stream.
func TestLargeLogIsReadAsAStream(t *testing.T) { //nolint:paralleltest // it measures the memory of the process
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	e := explain.Explainer{Request: "x", Out: &bytes.Buffer{}}
	line := `{"time":"2026-01-01T00:00:00Z","msg":"upstream changed","router":"r","upstream":"u"}` + "\n"
	require.NoError(t, e.Read(&repeatingReader{line: line, remaining: 20 << 20}))
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(2<<20))
	require.Zero(t, e.Found())
}

const refusalSummaries = `{"time":"2026-12-03T14:19:40Z","msg":"requests refused","router":"edge-1","reason":"router-overloaded","account":"ada","route":"r","count":1950,"first":["a1","a2"],"longest-ms":0.4}
{"time":"2026-12-03T14:19:41Z","msg":"requests refused","router":"edge-2","reason":"no-upstream","account":"bob","route":"q","count":7,"first":["b1"],"longest-ms":120}
`

// Guards against a refused request without an explanation because only a summary of
// several refusals was logged.
func TestSummariesOfRefusalsAreExplained(t *testing.T) {
	t.Parallel()
	var named, other bytes.Buffer
	e := explain.Explainer{Request: "a2", Out: &named}
	require.NoError(t, e.Read(strings.NewReader(refusalSummaries)))
	require.Equal(t, 1, e.Found())
	require.Contains(t, named.String(), "edge-1 refused, one of several without lines of their own: router-overloaded")
	e = explain.Explainer{Request: "c3", Out: &other}
	require.NoError(t, e.Read(strings.NewReader(refusalSummaries)))
	require.Zero(t, e.Found())
	require.NoError(t, e.PrintSummaries())
	require.Contains(t, other.String(), "14:19:40.000 edge-1 refused 1950 requests without lines of their own: router-overloaded, route r, account ada")
	require.Contains(t, other.String(), "edge-2 refused 7 requests")
}

// Guards against memory that grows with the size of the logs.
func TestKeptSummariesAreBounded(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	e := explain.Explainer{Request: "none", Out: &out}
	for range 1000 {
		require.NoError(t, e.Read(strings.NewReader(refusalSummaries)))
	}
	require.NoError(t, e.PrintSummaries())
	require.LessOrEqual(t, strings.Count(out.String(), "\n"), 12)
	require.Contains(t, out.String(), "1950")
}

const refusalInAnEvacuation = `{"time":"2026-12-03T14:19:40Z","msg":"evacuation changed","router":"r","data-centre":"z1","ended":false,"from":"store"}
{"time":"2026-12-03T14:19:40.1Z","msg":"upstream changed","router":"r","upstream":"u","cold-ms":2992,"from":"store"}
{"time":"2026-12-03T14:19:40.2Z","msg":"request refused","router":"r","request":"a1","reason":"no-upstream","outcome":"not-run"}
`

// Guards against a refusal whose cause, an evacuation or engines that have just started, isn't told.
func TestEvacuationAndColdUpstreamAreTold(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	e := explain.Explainer{Request: "a1", Out: &out}
	require.NoError(t, e.Read(strings.NewReader(refusalInAnEvacuation)))
	require.Contains(t, out.String(), "z1 evacuated, from store")
	require.Contains(t, out.String(), "upstream u is cold for 2992 ms, from store")
}
