package deployment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/registry"
)

const (
	// crashingRequest is the fingerprint of a request that may crash upstreams.
	crashingRequest = quarantine.Fingerprint(7)
	// maxCheckTime is enough for all checks of an upstream whose connection broke.
	maxCheckTime = 1500 * time.Millisecond
)

func (n *node) refusesCrashingRequest() bool {
	return n.mesh.Quarantine().RefusedFor(time.Now(), quarantine.Subject{Service: "s", Request: crashingRequest}) > 0
}

// breakConnections reports broken connections of count upstreams during crashingRequest, one after
// the other.
func (n *node) breakConnections(count int, pause time.Duration) {
	for i := range count {
		n.breakConnection(i)
		time.Sleep(pause)
	}
}

func (n *node) breakConnection(i int) {
	sentAt := time.Now()
	time.Sleep(time.Millisecond)
	n.mesh.Quarantine().RecordBroken(forward.BrokenRequest{
		Subject: quarantine.Subject{Service: "s", Request: crashingRequest}, Upstream: testUpstream(i), SentAt: sentAt,
	})
}

func testUpstream(i int) registry.Upstream {
	return registry.Upstream{
		ID: fleet.UpstreamID(fmt.Sprintf("u%d", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 8, StartTime: 1,
	}
}

// Guards against a router that keeps sending a request that crashes upstreams because it neither
// saw the crashes nor was connected when the verdict was broadcast.
func TestRequestThatCrashesUpstreamsIsRefusedAtAllRouters(t *testing.T) {
	t.Parallel()
	one, two, late := newNode(t, "one"), newNode(t, "two"), newNode(t, "late")
	one.connect(t, map[fleet.RouterID]string{"two": two.address})
	one.breakConnections(2, propagationTime)
	require.False(t, one.refusesCrashingRequest())
	one.breakConnections(3, propagationTime)
	require.Eventually(t, one.refusesCrashingRequest, maxUpdateTime, time.Millisecond)
	require.Eventually(t, two.refusesCrashingRequest, maxUpdateTime, time.Millisecond)
	late.connect(t, map[fleet.RouterID]string{"two": two.address})
	require.Eventually(t, late.refusesCrashingRequest, maxUpdateTime, time.Millisecond)
}

// Guards against refusing a harmless request because faulty upstreams reset its connections.
func TestReachableUpstreamHasNotCrashed(t *testing.T) {
	t.Parallel()
	n := newNode(t, "one")
	n.reachable = make(map[string]bool)
	for i := range 4 {
		n.reachable[testUpstream(i).Address] = true
	}
	n.breakConnections(4, propagationTime)
	time.Sleep(maxCheckTime)
	require.False(t, n.refusesCrashingRequest())
}

// Guards against overlooking the crash of an upstream that restarts before it is checked, and so
// can be reached.
func TestUpstreamWithANewStartTimeHasCrashed(t *testing.T) {
	t.Parallel()
	n := newNode(t, "one")
	n.reachable = make(map[string]bool)
	for i := range 3 {
		n.reachable[testUpstream(i).Address] = true
		n.breakConnection(i)
		restarted := testUpstream(i)
		restarted.StartTime++
		n.state.ApplyUpstreams([]registry.Change{{Upstream: restarted, Revision: registry.Revision(1 + i)}}, "test")
		time.Sleep(maxCheckTime)
	}
	require.True(t, n.refusesCrashingRequest())
}

// Guards against refusing a harmless request because draining upstreams ended while they ran it.
func TestUpstreamThatDrainedHasNotCrashed(t *testing.T) {
	t.Parallel()
	n := newNode(t, "one")
	for i := range 4 {
		leaving := testUpstream(i)
		leaving.Draining = true
		n.state.ApplyUpstreams([]registry.Change{{Upstream: leaving, Revision: registry.Revision(1 + i)}}, "test")
		n.breakConnection(i)
		time.Sleep(propagationTime)
	}
	require.False(t, n.refusesCrashingRequest())
}
