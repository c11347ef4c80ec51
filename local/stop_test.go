package local_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/local"
)

// An operator stops a router in the middle of an answer, as at each rolling
// restart. The caller has its answer whole; whoever the balancer still sends
// there learns that its request was not run and when to come back.
func TestGracefulStopEndsNoStreamAndRefusesNewRequests(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	fleet := start(ctx, t, local.Options{Routers: 2})
	engine := newHeldEngine(ctx, t, fleet)
	address := fleet.Routers[0].Callers.String()
	stream, text := begin(ctx, t, address)

	fleet.Stop(0)
	refused := send(t, order(ctx, t, address))
	for refused.StatusCode == http.StatusOK {
		refused = send(t, order(ctx, t, address))
	}
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.Contains(t, refused.text, `"stopping"`)
	require.Contains(t, refused.text, `"not-run"`)
	require.Equal(t, "1", refused.Header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, send(t, order(ctx, t, fleet.Routers[1].Callers.String())).StatusCode)

	close(engine.goOn)
	rest, err := io.ReadAll(stream)
	require.NoError(t, err)
	require.Equal(t, heldStream, text+string(rest))
	require.NoError(t, fleet.Wait(0))
}

// A caller closes its connection in the middle of an answer, as a telephone
// that loses its network. Its engine would go on for a while with tokens that
// nobody reads, in a slot that others wait for.
func TestCallerThatGoesAwayEndsItsStreamAtTheEngine(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	fleet := start(ctx, t, local.Options{})
	engine := newHeldEngine(ctx, t, fleet)
	leaving, leave := context.WithCancel(ctx)
	begin(leaving, t, fleet.Routers[0].Callers.String())

	leave()
	select {
	case id := <-engine.cancelled:
		require.NotEmpty(t, id)
	case <-ctx.Done():
		require.NoError(t, ctx.Err(), "the engine was not told")
	}
}
