package local_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/local"
	"nutmeglock.example/nutmeglock/standin/engine"
)

// BenchmarkAddedCost compares a call through a router with the same call made
// directly to the same stand-in. It reports the ratio of their times, and for
// streams the ratio of the times of one token.
func BenchmarkAddedCost(b *testing.B) {
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	fleet, err := local.Start(ctx, local.Options{Engine: engine.Options{TimeScale: 1e-4}})
	require.NoError(b, err)
	b.Cleanup(fleet.Close)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	direct, routed := fleet.Engines[0], fleet.Routers[0].Callers.String()

	for _, load := range []struct {
		name   string
		tokens int
		stream bool
	}{{"whole", 16, false}, {"stream", 256, true}} {
		b.Run(load.name, func(b *testing.B) {
			var tookDirect, tookRouted time.Duration
			for n := 0; b.Loop(); n++ {
				tookDirect += timed(b, client, direct, n, load.tokens, load.stream)
				tookRouted += timed(b, client, routed, n, load.tokens, load.stream)
			}
			b.ReportMetric(float64(tookRouted)/float64(tookDirect), "routed/direct")
			added := (tookRouted - tookDirect) / time.Duration(b.N)
			b.ReportMetric(float64(added.Microseconds()), "added-us/request")
			b.ReportMetric(float64(added.Nanoseconds())/float64(load.tokens), "added-ns/token")
		})
	}
}

func timed(b *testing.B, client *http.Client, address string, n, tokens int, stream bool) time.Duration {
	b.Helper()
	body := fmt.Sprintf(`{"model":"findings","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"duct %d"}]}`, stream, tokens, n)
	start := time.Now()
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+local.AccountKey(0))
	answer, err := client.Do(req)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(b, err)
	require.NoError(b, answer.Body.Close())
	require.Equal(b, http.StatusOK, answer.StatusCode)
	return time.Since(start)
}
