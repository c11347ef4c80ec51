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

// A caller on a slow connection reads an answer more slowly than the engine
// sends it, so that the buffers of the router and the kernel fill and writes
// block. The answer has to equal the engine's byte for byte, because a client
// that joins the events by itself would not notice a missing one.
func TestAnswerEqualsThatOfADirectCall(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	fleet := start(ctx, t, local.Options{Engine: engine.Options{TimeScale: 1e-4}})
	direct, routed := fleet.EngineAddresses[0], fleet.RouterAddresses[0].Callers.String()
	for _, c := range []struct {
		tokens int
		stream bool
		client *http.Client
	}{
		{fewTokens, false, http.DefaultClient},
		{fewTokens, true, http.DefaultClient},
		{manyTokens, true, slowClient(t)},
	} {
		want := send(t, chatRequest(ctx, t, direct, c.tokens, c.stream))
		response, err := c.client.Do(chatRequest(ctx, t, routed, c.tokens, c.stream))
		require.NoError(t, err)
		got, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, want.StatusCode, response.StatusCode)
		require.Equal(t, want.Header.Get("Content-Type"), response.Header.Get("Content-Type"))
		require.Equal(t, sha256.Sum256([]byte(want.text)), sha256.Sum256(got))
	}
}

// slowConn delays its first read. It is used with a small receive buffer, so
// that the sender blocks meanwhile.
type slowConn struct {
	net.Conn
	stalled sync.Once
}

const (
	readStall      = 500 * time.Millisecond
	slowReadBuffer = 256 << 10
	fewTokens      = 800
	// manyTokens is the length of an answer that exceeds the buffers between a
	// router and its caller, about 5 MB.
	manyTokens = 60_000
)

func (c *slowConn) Read(p []byte) (int, error) {
	c.stalled.Do(func() { time.Sleep(readStall) })
	return c.Conn.Read(p)
}

func slowClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &slowConn{Conn: conn}, conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}
