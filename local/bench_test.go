package local_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/local"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/operator"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/standin/engine"
)

// BenchmarkAddedCost compares calls through a router with the same calls made
// directly to the same stand-in. It reports the ratio of their times, and the
// time added per request and per token.
func BenchmarkAddedCost(b *testing.B) {
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	running, err := local.Start(ctx, local.Options{Engine: engine.Options{TimeScale: 1e-4}})
	require.NoError(b, err)
	b.Cleanup(running.Close)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	direct, routed := running.EngineAddresses[0], running.RouterAddresses[0].Callers.String()

	for _, load := range []struct {
		name   string
		tokens int
		stream bool
	}{{"whole", 16, false}, {"stream", 256, true}} {
		b.Run(load.name, func(b *testing.B) {
			var tookDirect, tookRouted time.Duration
			for n := 0; b.Loop(); n++ {
				tookDirect += timeCall(b, client, direct, n, load.tokens, load.stream)
				tookRouted += timeCall(b, client, routed, n, load.tokens, load.stream)
			}
			b.ReportMetric(float64(tookRouted)/float64(tookDirect), "routed/direct")
			added := (tookRouted - tookDirect) / time.Duration(b.N)
			b.ReportMetric(float64(added.Microseconds()), "added-us/request")
			b.ReportMetric(float64(added.Nanoseconds())/float64(load.tokens), "added-ns/token")
		})
	}
}

// timeCall makes a chat request and returns the time until its answer is read.
func timeCall(b *testing.B, client *http.Client, address string, n, tokens int, stream bool) time.Duration {
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

// BenchmarkPublish measures the time from publishing a note at one router until
// it is in force at all six, on loopback.
func BenchmarkPublish(b *testing.B) {
	const routers = 6
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	running, err := local.Start(ctx, local.Options{Routers: routers})
	require.NoError(b, err)
	b.Cleanup(running.Close)
	took := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for n := 0; b.Loop(); n++ {
		start := time.Now()
		version, err := running.Publish(ctx, n%routers, &schema.ReleaseNote{
			Summary: "one account more",
			Added: &schema.Entries{Accounts: []*schema.Account{{
				Id: fmt.Sprintf("later-%d", n), KeySha256: []string{note.HashKey(fmt.Sprint("later-", n))},
			}}},
		})
		require.NoError(b, err)
		for router := range routers {
			waitForVersion(ctx, b, running.OperatorClient(router), version)
		}
		require.NoError(b, took.RecordValue(time.Since(start).Microseconds()))
	}
	b.ReportMetric(float64(took.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(took.ValueAtQuantile(99)), "p99-us")
}

// waitForVersion returns once a router uses at least a release note version.
func waitForVersion(ctx context.Context, b *testing.B, api *operator.Client, version fleet.Version) {
	b.Helper()
	for {
		list, err := api.Routers(ctx)
		require.NoError(b, err)
		if fleet.Version(list.GetRouters()[0].GetNoteVersion()) >= version {
			return
		}
	}
}
