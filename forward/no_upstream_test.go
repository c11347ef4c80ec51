package forward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// removeUpstreamsDuringWait removes all upstreams while a request waits for its turn.
func (f *fixture) removeUpstreamsDuringWait() {
	f.state.turn = func(ctx context.Context, d turn.Request) (home.Ticket, error) {
		time.AfterFunc(50*time.Millisecond, func() { f.state.pool.SetUpstreams(time.Now(), nil, time.Second) })
		d.Patience = time.Hour
		return home.AwaitLocal(ctx, f.state.pool, d)
	}
}

// occupy takes all slots of the upstreams.
func (f *fixture) occupy(t *testing.T) {
	t.Helper()
	for {
		ticket, err := f.state.pool.Submit(time.Now(), turn.Request{Account: "other", Patience: time.Hour})
		require.NoError(t, err)
		select {
		case <-ticket.Granted():
		default:
			require.NotNil(t, ticket.Cancel(time.Now()))
			return
		}
	}
}

// Guards against a caller that is kept waiting for a turn after the last upstream was removed.
func TestRequestIsRefusedWhenTheLastUpstreamLeaves(t *testing.T) {
	t.Parallel()
	f := start(t, answersOK)
	f.occupy(t)
	f.removeUpstreamsDuringWait()
	begin := time.Now()
	status, body, header, err := f.post(t, "/order/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "no-upstream\n", body)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Less(t, time.Since(begin), time.Second)
	require.Zero(t, f.count())
}

// Guards against a broken stream that waits to be resumed after the last upstream was removed.
func TestBrokenStreamEndsWhenTheLastUpstreamLeaves(t *testing.T) {
	t.Parallel()
	breaks := make(chan struct{})
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		<-breaks
		events(1, 3, false)(w, r)
	})
	busy := registry.Upstream{ID: "busy", Address: "127.0.0.1:9", Slots: 1}
	begin := make(chan time.Time, 1)
	pool := f.state.pool
	f.state.turn = func(ctx context.Context, d turn.Request) (home.Ticket, error) {
		if len(d.Tried) > 0 {
			pool.SetUpstreams(time.Now(), []registry.Upstream{busy}, time.Second)
			f.occupy(t)
			f.removeUpstreamsDuringWait()
			begin <- time.Now()
			return f.state.turn(ctx, d)
		}
		defer close(breaks)
		return home.AwaitLocal(ctx, pool, d)
	}
	_, body, _, err := f.post(t, "/stream/1")
	require.Error(t, err)
	require.Equal(t, expectedEvents(3), body)
	require.Less(t, time.Since(<-begin), time.Second)
}
