package deployment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/turn"
)

// Guards against a router that goes on to send a request that crashes upstreams, since it
// neither saw the crashes nor was connected when the others were told.
func TestRequestThatCrashesUpstreamsIsRefusedAtAllRouters(t *testing.T) {
	t.Parallel()
	const request = quarantine.Fingerprint(7)
	one, two, late := newNode(t, "one"), newNode(t, "two"), newNode(t, "late")
	one.connect(t, map[fleet.RouterID]string{"two": two.address})
	refuses := func(n *node) func() bool {
		return func() bool { return n.mesh.Quarantine().Refuses(time.Now(), request) > 0 }
	}
	for i := range 3 {
		upstream := turn.Instance{ID: fleet.UpstreamID(fmt.Sprintf("u%d", i)), Life: 1}
		require.False(t, refuses(one)())
		one.mesh.Quarantine().Crashed(time.Now(), request, upstream, time.Millisecond)
		time.Sleep(settleTime)
	}
	require.Eventually(t, refuses(one), updateBound, time.Millisecond)
	require.Eventually(t, refuses(two), updateBound, time.Millisecond)
	late.connect(t, map[fleet.RouterID]string{"two": two.address})
	require.Eventually(t, refuses(late), updateBound, time.Millisecond)
}
