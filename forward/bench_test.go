package forward_test

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

func BenchmarkPlain(b *testing.B) {
	f := startBenchmark(b, answersOK)
	for b.Loop() {
		f(b, "/order/1")
	}
}

func BenchmarkStream(b *testing.B) {
	f := startBenchmark(b, events(1, 100, true))
	for b.Loop() {
		f(b, "/stream/1")
	}
}

func startBenchmark(b *testing.B, fn http.HandlerFunc) func(b *testing.B, path string) {
	b.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		fn(w, r)
	}))
	b.Cleanup(server.Close)
	shares := []route.Share{{Service: "s", Weight: 1}}
	table := route.NewTable(route.Configuration{Version: 1, Routes: []route.Route{
		{Host: "h", Prefix: "/order/", Kind: route.NonIdempotent, Shares: shares, Timeout: time.Minute, LatencyTarget: time.Second, MaxAttempts: 1},
		{Host: "h", Prefix: "/stream/", Kind: route.Streaming, Resumable: true, Shares: shares, Timeout: time.Minute, LatencyTarget: time.Second, MaxAttempts: 1},
	}})
	pool := &turn.Pool{Placement: turn.LeastLoaded{}}
	pool.SetUpstreams(time.Now(), []registry.Upstream{{ID: "u", Address: server.Listener.Addr().String(), Slots: 1024}}, time.Second)
	handler := &forward.Handler{
		Codec: testCodec{}, State: &fixedState{table: table, pool: pool}, Client: &upstream.Client{},
		Metrics: metric.New(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	}
	front := httptest.NewServer(handler)
	b.Cleanup(front.Close)
	client := front.Client()
	return func(b *testing.B, path string) {
		b.Helper()
		r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, front.URL+path, strings.NewReader("body"))
		if err != nil {
			b.Fatal(err)
		}
		r.Host = "h"
		answer, err := client.Do(r)
		if err != nil {
			b.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
}

// Measures the memory of an open stream: a connection on each side, their buffers and two
// goroutines.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 500
	release := make(chan struct{})
	opened := make(chan struct{}, streams)
	send := startBenchmark(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "yes")
		_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		opened <- struct{}{}
		<-release
	})
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var group sync.WaitGroup
		// Opened one by one: hundreds at once would overfill the account's queue, and the
		// wait for those that it refuses would never end.
		for range streams {
			group.Go(func() { send(b, "/stream/1") })
			<-opened
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		inUse := func(m *runtime.MemStats) float64 { return float64(m.HeapInuse + m.StackInuse) }
		b.ReportMetric((inUse(&after)-inUse(&before))/streams, "bytes/stream")
		for range streams {
			release <- struct{}{}
		}
		group.Wait()
	}
}
