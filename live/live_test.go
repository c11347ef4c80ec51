package live_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/live"
)

func TestRunReportsMeasurements(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	report, err := live.Run(ctx, live.Options{
		Routers: 2, Engines: 2, Batch: 8, TimeScale: 0.01,
		Warmup: 500 * time.Millisecond, Duration: time.Second,
		Loads: live.Loads()[:1], Policies: live.Policies()[:1],
	})
	require.NoError(t, err)
	require.Len(t, report.Results, 1)
	result := report.Results[0]
	require.Positive(t, result.Answers["answered"])
	require.NotContains(t, result.Answers, "no-answer")
	require.NotContains(t, result.Answers, "broken")
	require.Positive(t, result.Control["peer"])
	require.Positive(t, result.TokensPerSecond)
	require.Positive(t, result.LargestRequest)

	var page, encoded bytes.Buffer
	require.NoError(t, report.WritePage(&page))
	require.Contains(t, page.String(), "| few-large | fair |")
	require.NoError(t, report.WriteJSON(&encoded))
	var decoded live.Report
	require.NoError(t, json.Unmarshal(encoded.Bytes(), &decoded))
	require.Equal(t, report, decoded)
}

func TestRunEndsWithItsContext(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := live.Run(ctx, live.Options{})
	require.ErrorIs(t, err, context.Canceled)
}
