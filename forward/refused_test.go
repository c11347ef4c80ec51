package forward_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

// accountCount is how many accounts send in turn, so that none of them fills its queue.
const accountCount = 20_000

// Measures the cost of refusing a request that arrives on its own connection with a long prompt,
// which limits the flood that a small router withstands. "line" is a refusal before the body is
// read, because the account's queue is full; "turn" is a refusal of
// the request for a turn.
func BenchmarkRefused(b *testing.B) {
	b.Run("line", func(b *testing.B) {
		f := startFlood(b, occupied(b))
		f.fillQueue(b, "key-0")
		for b.Loop() {
			f.expectStatus(b, "key-0", "HTTP/1.1 429")
		}
	})
	b.Run("turn", func(b *testing.B) {
		f := startFlood(b, &turn.Pool{})
		b.ReportAllocs()
		sent := 0
		for b.Loop() {
			f.expectStatus(b, fmt.Sprintf("key-%d", sent%accountCount), "HTTP/1.1 503")
			sent++
		}
	})
}

// occupied returns a pool whose only upstream has no free slot.
func occupied(b *testing.B) *turn.Pool {
	b.Helper()
	pool := &turn.Pool{Placement: turn.LeastLoaded{}}
	pool.SetUpstreams(time.Now(), []registry.Upstream{{ID: "u", Slots: 1}}, time.Hour)
	for {
		ticket, err := pool.Submit(time.Now(), turn.Request{Account: "other", Patience: time.Hour})
		if err != nil {
			b.Fatal(err)
		}
		select {
		case <-ticket.Granted():
		default:
			return pool
		}
	}
}

// flood sends many requests to a router.
type flood struct{ address string }

func startFlood(b *testing.B, pool *turn.Pool) *flood {
	b.Helper()
	shares := []route.Share{{Service: "s", Weight: 1}}
	configuration := route.Configuration{Version: 1, Routes: []route.Route{
		{Host: "h", Prefix: "/stream/", Kind: route.Streaming, Shares: shares, Timeout: time.Hour, LatencyTarget: time.Hour, MaxAttempts: 1},
	}}
	for i := range accountCount {
		account := route.Account{ID: fleet.AccountID(fmt.Sprintf("account-%d", i)), Keys: []string{fmt.Sprintf("key-%d", i)}}
		configuration.Accounts = append(configuration.Accounts, account)
	}
	handler := &forward.Handler{
		Codec: testCodec{}, State: &fixedState{table: route.NewTable(configuration), pool: pool}, Client: &upstream.Client{},
		Metrics: metric.New(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	}
	front := httptest.NewUnstartedServer(handler)
	front.Config.ReadHeaderTimeout = time.Second
	front.Start()
	b.Cleanup(front.Close)
	return &flood{front.Listener.Addr().String()}
}

// fillQueue sends requests until the account's queue is full. Each connection stays open: a request
// whose caller has disconnected counts for a moment longer, so the queue would seem full and the
// next request would wait in it for ever.
func (f *flood) fillQueue(b *testing.B, key string) {
	b.Helper()
	require.Eventually(b, func() bool {
		conn := f.open(b, key)
		b.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		return readStatus(conn) != ""
	}, 5*time.Second, time.Millisecond)
}

// open sends one request with an account's key on a new connection.
func (f *flood) open(b *testing.B, key string) net.Conn {
	b.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		b.Fatal(err)
	}
	request := "POST /stream/1 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: " + key +
		"\r\nContent-Length: 17000\r\n\r\n" + strings.Repeat("x", 17_000)
	if _, err = io.WriteString(conn, request); err != nil {
		b.Fatal(err)
	}
	return conn
}

// readStatus returns the beginning of the status line, empty when there is no answer.
func readStatus(conn net.Conn) string {
	status := make([]byte, len("HTTP/1.1 503"))
	if _, err := io.ReadFull(conn, status); err != nil {
		return ""
	}
	return string(status)
}

// answerTimeout bounds the wait for a refusal that is due at once, so that the benchmark fails
// instead of hanging.
const answerTimeout = 30 * time.Second

func (f *flood) expectStatus(b *testing.B, key, status string) {
	b.Helper()
	conn := f.open(b, key)
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	if got := readStatus(conn); got != status {
		b.Fatalf("answer %q, expected %q", got, status)
	}
}
