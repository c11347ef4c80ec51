package local_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/local"
)

// A router is stopped while it streams an answer, as in every rolling restart.
// The caller gets the complete answer. Requests that the load balancer still
// sends there are refused as not run, with a Retry-After.
func TestGracefulStopEndsNoStreamAndRefusesNewRequests(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	fleet := start(ctx, t, local.Options{Routers: 2})
	engine := newHeldEngine(ctx, t, fleet, 4)
	address := fleet.RouterAddresses[0].Callers.String()
	stream, text := beginStream(ctx, t, address)

	fleet.StopRouter(0)
	refused := firstRefusal(ctx, t, address)
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.Contains(t, refused.text, `"stopping"`)
	require.Contains(t, refused.text, `"not-run"`)
	require.Equal(t, "1", refused.Header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, send(t, orderRequest(ctx, t, fleet.RouterAddresses[1].Callers.String())).StatusCode)

	close(engine.resume)
	rest, err := io.ReadAll(stream)
	require.NoError(t, err)
	require.Equal(t, heldStream, text+string(rest))
	require.NoError(t, fleet.WaitRouter(0))
}

// A router is stopped while a request waits there for a slot. The request was
// admitted, so it is still served completely, although the router has handed
// its own upstreams over to the others.
func TestGracefulStopServesWaitingRequests(t *testing.T) {
	t.Parallel()
	for routers := 1; routers <= 3; routers++ {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			fleet := start(ctx, t, local.Options{Routers: routers})
			engine := newHeldEngine(ctx, t, fleet, 1)
			address := fleet.RouterAddresses[0].Callers.String()
			beginStream(ctx, t, address)
			var served answer
			waiting := make(chan error, 1)
			req := newRequest(ctx, t, address+"/v1/chat/completions", heldRequest)
			go func() {
				var err error
				served, err = sendRequest(req)
				waiting <- err
			}()
			waitUntilQueued(ctx, t, fleet)

			fleet.StopRouter(0)
			require.Contains(t, firstRefusal(ctx, t, address).text, `"stopping"`)
			close(engine.resume)
			require.NoError(t, <-waiting)
			require.Equal(t, http.StatusOK, served.StatusCode, served.text)
			require.Equal(t, heldStream, served.text)
			require.NoError(t, fleet.WaitRouter(0))
		})
	}
}

// waitUntilQueued returns when a request waits at the first router.
func waitUntilQueued(ctx context.Context, t *testing.T, fleet *local.Fleet) {
	t.Helper()
	for {
		list, err := fleet.OperatorClient(0).Routers(ctx)
		require.NoError(t, err)
		for _, r := range list.GetRouters() {
			if r.GetSelf() && r.GetWaiting() > 0 {
				return
			}
		}
	}
}

// A caller disconnects during an answer, such as a phone that loses its network.
// Unless the router cancels the stream, the engine continues to generate unread
// tokens in a slot that other requests wait for.
func TestDisconnectedCallerCancelsStreamAtEngine(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	fleet := start(ctx, t, local.Options{})
	engine := newHeldEngine(ctx, t, fleet, 4)
	leaving, leave := context.WithCancel(ctx)
	beginStream(leaving, t, fleet.RouterAddresses[0].Callers.String())

	leave()
	select {
	case id := <-engine.cancelled:
		require.NotEmpty(t, id)
	case <-ctx.Done():
		require.NoError(t, ctx.Err(), "the stream was not cancelled at the engine")
	}
}
