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

// refusedAccounts is how many accounts take turns so that none of them asks so
// often that its line is full.
const refusedAccounts = 20_000

// A flood is refused, each request on a connection of its own with a long prompt.
// What that costs is how much of a flood a small router bears: before the body is
// read when the account's line is full, or after a turn was asked for.
func BenchmarkRefused(b *testing.B) {
	b.Run("line", func(b *testing.B) {
		f := newFlood(b, occupied(b))
		f.fillLine(b, "key-0")
		for b.Loop() {
			f.expect(b, "key-0", "HTTP/1.1 429")
		}
	})
	b.Run("turn", func(b *testing.B) {
		f := newFlood(b, &turn.Pool{})
		b.ReportAllocs()
		sent := 0
		for b.Loop() {
			f.expect(b, fmt.Sprintf("key-%d", sent%refusedAccounts), "HTTP/1.1 503")
			sent++
		}
	})
}

// occupied returns a pool whose only upstream takes no more.
func occupied(b *testing.B) *turn.Pool {
	b.Helper()
	pool := &turn.Pool{Placement: turn.LeastLoaded{}}
	pool.Set(time.Now(), []registry.Upstream{{ID: "u", Slots: 1}}, time.Hour)
	for {
		ticket, err := pool.Ask(time.Now(), turn.Demand{Account: "other", Patience: time.Hour})
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

// flood sends requests to a router.
type flood struct{ address string }

func newFlood(b *testing.B, pool *turn.Pool) *flood {
	b.Helper()
	shares := []route.Share{{Service: "s", Weight: 1}}
	configuration := route.Configuration{Version: 1, Routes: []route.Route{
		{Host: "h", Prefix: "/stream/", Kind: route.Streaming, Shares: shares, Timeout: time.Hour, Target: time.Hour, Attempts: 1},
	}}
	for i := range refusedAccounts {
		account := route.Account{ID: fleet.AccountID(fmt.Sprintf("account-%d", i)), Keys: []string{fmt.Sprintf("key-%d", i)}}
		configuration.Accounts = append(configuration.Accounts, account)
	}
	handler := &forward.Handler{
		Dialect: dialect{}, State: &state{table: route.NewTable(configuration), pool: pool}, Client: &upstream.Client{},
		Metrics: metric.New(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	}
	front := httptest.NewUnstartedServer(handler)
	front.Config.ReadHeaderTimeout = time.Second
	front.Start()
	b.Cleanup(front.Close)
	return &flood{front.Listener.Addr().String()}
}

// fillLine lets requests wait until the account's line is full. Each that waits stays: one that
// was given up would count for a moment more, the line would seem full, and the next
// request would wait in it for ever.
func (f *flood) fillLine(b *testing.B, key string) {
	b.Helper()
	require.Eventually(b, func() bool {
		conn := f.open(b, key)
		b.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		return readStatus(conn) != ""
	}, 5*time.Second, time.Millisecond)
}

// open sends one request with an account's key on a connection of its own.
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

// readStatus returns the first bytes of an answer, empty when none comes.
func readStatus(conn net.Conn) string {
	status := make([]byte, len("HTTP/1.1 503"))
	if _, err := io.ReadFull(conn, status); err != nil {
		return ""
	}
	return string(status)
}

// answerBound is the time after which a refusal that is due at once isn't waited for any
// more, so that the benchmark fails and doesn't hang.
const answerBound = 30 * time.Second

func (f *flood) expect(b *testing.B, key, status string) {
	b.Helper()
	conn := f.open(b, key)
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(answerBound))
	if got := readStatus(conn); got != status {
		b.Fatalf("answer %q, expected %q", got, status)
	}
}
