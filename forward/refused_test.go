package forward_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

// A flood is refused, each request on a connection of its own with a long prompt.
// What that costs is how much of a flood a small router bears.
func BenchmarkRefused(b *testing.B) {
	shares := []route.Share{{Service: "s", Weight: 1}}
	table := route.NewTable(route.Configuration{Version: 1, Routes: []route.Route{
		{Host: "h", Prefix: "/stream/", Kind: route.Streaming, Shares: shares, Timeout: time.Minute, Target: time.Second, Attempts: 1},
	}})
	handler := &forward.Handler{
		Dialect: dialect{}, State: state{table, &turn.Pool{}}, Client: &upstream.Client{},
		Metrics: metric.New(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	}
	front := httptest.NewUnstartedServer(handler)
	front.Config.ReadHeaderTimeout = time.Second
	front.Start()
	b.Cleanup(front.Close)
	request := []byte("POST /stream/1 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 17000\r\n\r\n" + strings.Repeat("x", 17_000))
	b.ReportAllocs()
	for b.Loop() {
		conn, err := net.Dial("tcp", front.Listener.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		if _, err = conn.Write(request); err != nil {
			b.Fatal(err)
		}
		status := make([]byte, 12)
		if _, err = io.ReadFull(conn, status); err != nil || string(status) != "HTTP/1.1 503" {
			b.Fatal(string(status), err, http.StatusServiceUnavailable)
		}
		_ = conn.Close()
	}
}
