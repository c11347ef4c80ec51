package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/control"
	"nutmeglock.example/nutmeglock/timer"
)

func TestLoopKeepsOrderAndCallsOnIdle(t *testing.T) {
	t.Parallel()
	var calls []string
	loop := control.New(func() { calls = append(calls, "idle") })
	ctx, cancel := context.WithCancel(context.Background())
	loop.Post(func() { calls = append(calls, "a") })
	loop.Post(func() { calls = append(calls, "b") })
	loop.Post(cancel)

	require.ErrorIs(t, loop.Run(ctx), context.Canceled)

	require.Equal(t, []string{"a", "b", "idle"}, calls)
	require.False(t, loop.Post(func() {}))
}

func TestLoopDeliversTimers(t *testing.T) {
	t.Parallel()
	fake := timer.NewFake(time.Unix(0, 0))
	var loop control.Loop
	ctx, cancel := context.WithCancel(context.Background())
	var at time.Time
	loop.After(fake, time.Second, func(now time.Time) { at = now; cancel() })

	fake.Advance(time.Second)

	require.ErrorIs(t, loop.Run(ctx), context.Canceled)
	require.Equal(t, time.Unix(1, 0), at)
}
