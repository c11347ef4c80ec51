package local_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/experiment"
	"nutmeglock.example/nutmeglock/local"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/standin/engine"
	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/trace"
)

func TestTraceOfARouterCanBeReplayed(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	file := filepath.Join(t.TempDir(), "trace.jsonl")
	fleet := start(ctx, t, local.Options{
		Engines: 2, Engine: engine.Options{TimeScale: 0.01},
		Settings: func(_ int, s *schema.RouterSettings) { s.TraceFile = file },
	})
	_, err := fleet.Publish(ctx, 0, &schema.ReleaseNote{Summary: "an account for findings alone", Added: &schema.Entries{
		Accounts: []*schema.Account{{Id: "narrow", KeySha256: []string{note.HashKey("narrow")}, Services: []string{"findings"}}},
	}})
	require.NoError(t, err)
	address := fleet.RouterAddresses[0].Callers.String()
	answers := []string{chat(ctx, t, address, false), chat(ctx, t, address, true)}
	require.Equal(t, http.StatusOK, send(t, orderRequest(ctx, t, address)).StatusCode)
	forbidden := orderRequest(ctx, t, address)
	forbidden.Header.Set("Authorization", "Bearer narrow")
	require.Equal(t, http.StatusForbidden, send(t, forbidden).StatusCode)
	fleet.Application(0).Faults.Set(fault.Fault{Kind: fault.ReplyLost, Operation: "call"})
	require.Equal(t, http.StatusBadGateway, send(t, orderRequest(ctx, t, address)).StatusCode)

	fleet.StopRouter(0)
	require.NoError(t, fleet.WaitRouter(0))

	text, err := os.ReadFile(file)
	require.NoError(t, err)
	header, records, err := trace.ReadAll(strings.NewReader(string(text)))
	require.NoError(t, err)
	require.Equal(t, trace.Fleet{Routers: 1, ModelUpstreams: 2, PlainUpstreams: 1}, header.Fleet)
	require.Len(t, records, 5)
	for n, record := range records[:2] {
		require.EqualValues(t, "model", record.Kind)
		require.Equal(t, trace.Answered, record.Outcome)
		require.Contains(t, answers[n], fmt.Sprintf(`"completion_tokens":%d`, record.OutputTokens))
		require.Contains(t, answers[n], fmt.Sprintf(`"prompt_tokens":%d`, record.InputTokens))
		require.False(t, record.NonIdempotent)
	}
	var outcomes []string
	for _, record := range records[2:] {
		require.Equal(t, local.PlainService, record.Service)
		require.True(t, record.NonIdempotent)
		outcomes = append(outcomes, record.Outcome)
	}
	require.Equal(t, []string{trace.Answered, string(refusal.ServiceNotAllowed), string(refusal.UpstreamFailed)}, outcomes)

	result, err := experiment.Replay(header, records, experiment.Policies()[0])
	require.NoError(t, err)
	require.Equal(t, 5, result.Answers[trace.Answered])
}

// The directory of the trace file does not exist. The router has to fail at the
// start, or the missing trace would be noticed only after the recording.
func TestUnopenableTraceFileFailsStart(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "missing", "trace.jsonl")
	_, err := local.Start(t.Context(), local.Options{
		Settings: func(_ int, s *schema.RouterSettings) { s.TraceFile = file },
	})
	require.ErrorIs(t, err, os.ErrNotExist)
	require.ErrorContains(t, err, "trace-file")
	require.ErrorContains(t, err, file)
}
