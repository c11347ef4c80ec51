package attempt_test

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/refusal"
)

// Fixes the seed, so that each run has the same cases; -rapid.seed sets another one.
func init() { _ = flag.Set("rapid.seed", "7") }

// upstream is a raw TCP server that reads at most readLimit bytes of each request, writes
// reply and closes the connection. It records the bytes that it read.
type upstream struct {
	net.Listener
	readLimit int
	reply     string

	mu       sync.Mutex
	conns    int
	received [][]byte
	wg       sync.WaitGroup
}

func startUpstream(t interface{ Fatal(args ...any) }, readLimit int, reply string) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{Listener: l, readLimit: readLimit, reply: reply}
	u.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.wg.Go(func() { u.serve(c) })
		}
	})
	return u
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	u.mu.Lock()
	u.conns++
	u.mu.Unlock()
	got, _ := io.ReadAll(io.LimitReader(c, int64(u.readLimit)))
	_, _ = io.WriteString(c, u.reply)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.received = append(u.received, got)
}

func (u *upstream) stop() [][]byte {
	_ = u.Close()
	u.wg.Wait()
	return u.received
}

func request(method, body string, idempotent bool) attempt.Request {
	return attempt.Request{
		ID: "r-1", Method: method, Path: "/orders?x=1", Body: []byte(body), Idempotent: idempotent,
		Header: http.Header{"Idempotency-Key": {"k"}, "Authorization": {"Bearer secret"}},
	}
}

func outcome(t require.TestingT, err error) refusal.Outcome {
	var failed *attempt.Error
	require.ErrorAs(t, err, &failed)
	return failed.Facts.Outcome()
}

// An upstream or the network breaks a call at any byte. The caller acts on the
// reported outcome: a wrong not-run makes it place its order twice. So wherever
// the call breaks, not-run must mean that no server can have run it.
func TestNotRunMeansThatNoServerHadTheHeader(t *testing.T) {
	t.Parallel()
	outcomes := map[refusal.Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		body := strings.Repeat("b", rapid.SampledFrom([]int{0, 1, 100, 9000, 12 << 20}).Draw(t, "body"))
		method := rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(t, "method")
		idempotent := rapid.Bool().Draw(t, "idempotent")
		readLimit := rapid.IntRange(0, 300+min(len(body), 9000)).Draw(t, "cut")
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
		reply := answer[:rapid.IntRange(0, len(answer)-1).Draw(t, "reply")]
		u := startUpstream(t, readLimit, reply)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		var client attempt.Client
		response, err := client.Do(ctx, u.Addr().String(), request(method, body, idempotent))
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		require.Error(t, err)
		got := outcome(t, err)
		outcomes[got]++
		headers := 0
		for _, received := range u.stop() {
			if bytes.Contains(received, []byte("\r\n\r\n")) {
				headers++
			}
		}
		require.LessOrEqual(t, headers, 1, "sent twice")
		require.NotContains(t, string(bytes.Join(u.received, nil)), "secret")
		if got == refusal.NotRun {
			require.Zero(t, headers, "reported not-run, but the header arrived")
		}
	})
	require.NotZero(t, outcomes[refusal.Unknown])
	require.NotZero(t, outcomes[refusal.Run])
}

func TestOutcomeOfEachInterruption(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		facts    attempt.Facts
		expected refusal.Outcome
	}{
		"before connect":             {attempt.Facts{}, refusal.NotRun},
		"connected":                  {attempt.Facts{Connected: true}, refusal.NotRun},
		"in the header":              {attempt.Facts{Connected: true, Written: 9}, refusal.NotRun},
		"in the body":                {attempt.Facts{Connected: true, Written: 99, HeaderSent: true}, refusal.Unknown},
		"before the answer":          {attempt.Facts{Connected: true, Written: 99, HeaderSent: true, BodySent: true}, refusal.Unknown},
		"early answer":               {attempt.Facts{Connected: true, Written: 9, AnswerStarted: true}, refusal.Unknown},
		"in the answer":              {attempt.Facts{Connected: true, HeaderSent: true, AnswerStarted: true, AnswerHeaderRead: true}, refusal.Run},
		"refused":                    {attempt.Facts{Connected: true, HeaderSent: true, BodySent: true, AnswerStarted: true, Refused: attempt.Full}, refusal.NotRun},
		"refused in a broken answer": {attempt.Facts{Connected: true, HeaderSent: true, AnswerStarted: true}, refusal.Unknown},
	} {
		require.Equal(t, c.expected, c.facts.Outcome(), name)
	}
}

func TestConnectionRefusedIsNotRun(t *testing.T) {
	t.Parallel()
	u := startUpstream(t, 0, "")
	u.stop()
	var client attempt.Client
	_, err := client.Do(t.Context(), u.Addr().String(), request("POST", "b", false))
	require.Equal(t, refusal.NotRun, outcome(t, err))
}

// The caller cancels just before its request is written. net/http returns at
// once, while its writing goroutine may still send the request, which was then
// reported as not-run and yet run.
func TestNothingIsSentAfterNotRunWasReported(t *testing.T) {
	t.Parallel()
	for range 300 {
		u := startUpstream(t, 1<<20, "")
		ctx, cancel := context.WithCancel(t.Context())
		go cancel()
		var client attempt.Client
		_, err := client.Do(ctx, u.Addr().String(), request("POST", strings.Repeat("b", 9000), true))
		got := outcome(t, err)
		client.Close()
		for _, received := range u.stop() {
			if got == refusal.NotRun {
				require.NotContains(t, string(received), "\r\n\r\n")
			}
		}
	}
}

// An upstream stops reading, or is behind a partition, while its connection stays
// open. The router must detect it long before the caller's deadline.
func TestSilentUpstreamIsGivenUp(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client := attempt.Client{MaxSilence: 300 * time.Millisecond}
	result := make(chan error, 1)
	go func() {
		_, err := client.Do(t.Context(), l.Addr().String(), request("POST", strings.Repeat("b", 12<<20), true))
		result <- err
	}()
	select {
	case err := <-result:
		require.Equal(t, refusal.Unknown, outcome(t, err))
	case <-time.After(20 * time.Second):
		require.Fail(t, "the router still waits")
	}
}

// An upstream closes an idle connection while a request is sent on it. net/http
// then retries some requests on a new connection. An order would run twice, with
// only one attempt in the router's log.
func TestNoRequestIsRetriedByTheTransport(t *testing.T) {
	t.Parallel()
	for _, method := range []string{"GET", "POST", "DELETE"} {
		for _, body := range []string{"", "body"} {
			for _, idempotent := range []bool{true, false} {
				address, runs := startSingleAnswerServer(t)
				var client attempt.Client
				first, err := client.Do(t.Context(), address, request("GET", "", true))
				require.NoError(t, err)
				_, _ = io.Copy(io.Discard, first.Body)
				_ = first.Body.Close()

				_, err = client.Do(t.Context(), address, request(method, body, idempotent))

				require.Equal(t, refusal.Unknown, outcome(t, err))
				client.Close()
				require.Equal(t, 2, runs(), "%s with %q was sent again", method, body)
			}
		}
	}
}

// startSingleAnswerServer starts a server that answers the first request and closes the
// connection of each later one after reading it. runs stops the server and returns
// how many requests it read.
func startSingleAnswerServer(t *testing.T) (address string, runs func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var (
		wg    sync.WaitGroup
		count atomic.Int64
	)
	serve := func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if count.Add(1) > 1 {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { serve(c) })
		}
	})
	return l.Addr().String(), func() int {
		_ = l.Close()
		wg.Wait()
		return int(count.Load())
	}
}

// A write that begins after the outcome of the exchange was determined must fail,
// and one that was in progress counts as if all its bytes had arrived.
func TestSealedConnectionWritesNothing(t *testing.T) {
	t.Parallel()
	near, far := net.Pipe()
	tracked, begin := attempt.Tracked(near)
	seal := begin()
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		_, _ = tracked.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	}()
	first := make([]byte, 5)
	_, err := io.ReadFull(far, first)
	require.NoError(t, err)

	written, headerSent := seal()

	require.Equal(t, int64(18), written)
	require.True(t, headerSent)
	go func() { _, _ = io.Copy(io.Discard, far) }()
	<-returned
	_, err = tracked.Write([]byte("more"))
	require.Error(t, err)
	begin()
	_, err = tracked.Write([]byte("next"))
	require.NoError(t, err)
	require.NoError(t, far.Close())
}
