package deployment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/registry"
)

const (
	// crashing is the fingerprint of a request that may crash upstreams.
	crashing = quarantine.Fingerprint(7)
	// checkTime is for all looks at an upstream whose connection broke.
	checkTime = 1500 * time.Millisecond
)

func (n *node) refuses() bool { return n.mesh.Quarantine().Refuses(time.Now(), crashing) > 0 }

// breakOff ends the connections of so many upstreams, one after the other, under the request.
func (n *node) breakOff(count int, pause time.Duration) {
	for i := range count {
		n.breakOffNumber(i)
		time.Sleep(pause)
	}
}

func (n *node) breakOffNumber(i int) {
	began := time.Now()
	time.Sleep(time.Millisecond)
	n.mesh.Quarantine().Broken(crashing, numbered(i), began)
}

func numbered(i int) registry.Upstream {
	return registry.Upstream{
		ID: fleet.UpstreamID(fmt.Sprintf("u%d", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 8, Life: 1,
	}
}

// Guards against a router that goes on to send a request that crashes upstreams, since it
// neither saw the crashes nor was connected when the others were told.
func TestRequestThatCrashesUpstreamsIsRefusedAtAllRouters(t *testing.T) {
	t.Parallel()
	one, two, late := newNode(t, "one"), newNode(t, "two"), newNode(t, "late")
	one.connect(t, map[fleet.RouterID]string{"two": two.address})
	one.breakOff(2, settleTime)
	require.False(t, one.refuses())
	one.breakOff(3, settleTime)
	require.Eventually(t, one.refuses, updateBound, time.Millisecond)
	require.Eventually(t, two.refuses, updateBound, time.Millisecond)
	late.connect(t, map[fleet.RouterID]string{"two": two.address})
	require.Eventually(t, late.refuses, updateBound, time.Millisecond)
}

// Guards against a sound request being refused because faulty upstreams reset its connections.
func TestUpstreamThatLivesOnHasNotCrashed(t *testing.T) {
	t.Parallel()
	n := newNode(t, "one")
	n.alive = make(map[string]bool)
	for i := range 4 {
		n.alive[numbered(i).Address] = true
	}
	n.breakOff(4, settleTime)
	time.Sleep(checkTime)
	require.False(t, n.refuses())
}

// Guards against an upstream that starts again faster than it is looked at, and seems to
// have lived on.
func TestUpstreamWithANewLifeHasCrashed(t *testing.T) {
	t.Parallel()
	n := newNode(t, "one")
	n.alive = make(map[string]bool)
	for i := range 3 {
		n.alive[numbered(i).Address] = true
		n.breakOffNumber(i)
		again := numbered(i)
		again.Life++
		n.state.ApplyUpstreams([]registry.Change{{Upstream: again, Revision: registry.Revision(1 + i)}}, "test")
		time.Sleep(checkTime)
	}
	require.True(t, n.refuses())
}

// Guards against a sound request being refused because upstreams that drained ended under it.
func TestUpstreamThatDrainedHasNotCrashed(t *testing.T) {
	t.Parallel()
	n := newNode(t, "one")
	for i := range 4 {
		leaving := numbered(i)
		leaving.Draining = true
		n.state.ApplyUpstreams([]registry.Change{{Upstream: leaving, Revision: registry.Revision(1 + i)}}, "test")
		n.breakOffNumber(i)
		time.Sleep(settleTime)
	}
	require.False(t, n.refuses())
}
