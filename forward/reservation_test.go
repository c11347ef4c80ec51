package forward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/turn"
)

// Guards against a home that doesn't know how long a caller has and how old its request is, a caller that is told another time
// than the one that is reserved, and a log that doesn't tell whether one is.
func TestReservedRefusal(t *testing.T) {
	t.Parallel()
	f := start(t, answersOK)
	end := f.captureLog()
	lefts, ages := make(chan time.Duration, 1), make(chan time.Duration, 1)
	f.state.turn = func(_ context.Context, r turn.Request) (home.Ticket, error) {
		lefts <- r.Left
		ages <- r.Age
		return nil, &turn.RefusedError{Lack: turn.LackShare, RetryAfter: 400 * time.Millisecond, Reserved: true}
	}
	r := f.request(t, http.MethodPost, "/order/1", "")
	r.Header.Set("X-Left", "1500ms")
	status, _, header, err := f.do(t, r)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "0.400", header.Get("Retry-After"))
	require.InDelta(t, 1.5, (<-lefts).Seconds(), 0.5)
	require.Positive(t, <-ages)
	require.Contains(t, string(end()), `"reserved":true`)
}
