package local_test

import (
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/local"
	"nutmeglock.example/nutmeglock/standin/engine"
)

// A caller on a slow line takes an answer more slowly than its engine gives it,
// so that the router's and the machine's buffers fill and writes block. What it
// gets has to be what the engine gave, to the byte: a client that splices
// events by itself would notice nothing of one that is missing.
func TestAnswerIsThatOfADirectCall(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	fleet := start(ctx, t, local.Options{Engine: engine.Options{TimeScale: 1e-4}})
	direct, routed := fleet.Engines[0], fleet.Routers[0].Callers.String()
	for _, c := range []struct {
		tokens int
		stream bool
		client *http.Client
	}{
		{fewTokens, false, http.DefaultClient},
		{fewTokens, true, http.DefaultClient},
		{manyTokens, true, slowClient(t)},
	} {
		want := send(t, completion(ctx, t, direct, c.tokens, c.stream))
		response, err := c.client.Do(completion(ctx, t, routed, c.tokens, c.stream))
		require.NoError(t, err)
		got, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, want.StatusCode, response.StatusCode)
		require.Equal(t, want.Header.Get("Content-Type"), response.Header.Get("Content-Type"))
		require.Equal(t, sha256.Sum256([]byte(want.text)), sha256.Sum256(got))
	}
}

// slowConn reads nothing for a while, with a small buffer behind it.
type slowConn struct {
	net.Conn
	stalled sync.Once
}

const (
	stall      = 500 * time.Millisecond
	slowBuffer = 256 << 10
	fewTokens  = 800
	// manyTokens make an answer of more than what the buffers between a router
	// and its caller hold, some 5 MB.
	manyTokens = 60_000
)

func (c *slowConn) Read(p []byte) (int, error) {
	c.stalled.Do(func() { time.Sleep(stall) })
	return c.Conn.Read(p)
}

func slowClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &slowConn{Conn: conn}, conn.(*net.TCPConn).SetReadBuffer(slowBuffer)
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}
