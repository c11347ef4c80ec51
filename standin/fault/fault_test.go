package fault_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/timer"
)

func TestFaultAppliesToItsTimesAndKeys(t *testing.T) {
	t.Parallel()
	var faults fault.List
	faults.Set(
		fault.Fault{Kind: fault.Down, Operation: "commit", Prefix: "claims/", Times: 2},
		fault.Fault{Kind: fault.Slow, Operation: "read"},
	)
	kind := func(operation string, keys ...string) fault.Kind {
		f, _ := faults.Take(operation, keys...)
		return f.Kind
	}

	require.Empty(t, kind("commit", "notes/1"))
	require.Empty(t, kind("commit"))
	require.Equal(t, fault.Down, kind("commit", "notes/1", "claims/1"))
	require.Equal(t, fault.Down, kind("commit", "claims/2"))
	require.Empty(t, kind("commit", "claims/3"))
	for range 3 {
		require.Equal(t, fault.Slow, kind("read", "anything"))
	}
	require.Len(t, faults.All(), 1)
	faults.Set()
	require.Empty(t, kind("read", "anything"))
}

func TestWaitEndsWithItsContext(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, fault.Wait(ctx, timer.NewFake(time.Unix(1, 0)), time.Hour), context.Canceled)
	require.ErrorIs(t, fault.Wait(ctx, timer.System{}, 0), context.Canceled)
	require.NoError(t, fault.Wait(t.Context(), timer.System{}, time.Nanosecond))
}
