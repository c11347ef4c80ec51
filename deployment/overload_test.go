package deployment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/deployment"
)

// A small router is flooded, and does everything some tenths of a second late. It
// says so until the balancer has noticed and the flood is gone; a single pause, as
// of a machine that stood still for a moment, is no flood.
func TestFloodedRouterIsOverloadedUntilItRecovers(t *testing.T) {
	t.Parallel()
	var o deployment.Overload
	now := time.Unix(0, 0)
	look := func(late time.Duration, times int) {
		for range times {
			now = now.Add(50 * time.Millisecond)
			o.Observe(now, late)
		}
	}
	look(300*time.Millisecond, 1)
	require.False(t, o.IsOverloaded())
	look(2*time.Millisecond, 20)
	require.False(t, o.IsOverloaded())
	look(300*time.Millisecond, 4)
	require.True(t, o.IsOverloaded())
	look(2*time.Millisecond, 40)
	require.True(t, o.IsOverloaded())
	look(2*time.Millisecond, 20)
	require.False(t, o.IsOverloaded())
}
