package deployment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/evacuation"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
)

// maxListCheckTime is how soon a router has replaced a wrong list of upstreams, well within the strictest bound
// of users on draining upstreams, 2 s.
const maxListCheckTime = 1500 * time.Millisecond

func readyChange(id fleet.UpstreamID, revision registry.Revision) registry.Change {
	return registry.Change{
		Upstream: registry.Upstream{ID: id, Service: "s", Address: "10.0.0." + string(id) + ":80", Slots: 8}, Revision: revision,
	}
}

// Guards against requests to an upstream that has left, at a router whose only source has started since and never
// heard of that upstream.
func TestLeavingIsLearntFromARouterThatHasStartedSince(t *testing.T) {
	t.Parallel()
	reader, newcomer := newNode(t, "reader"), newNode(t, "newcomer")
	for _, n := range []*node{reader, newcomer} {
		n.state.Configure(testConfiguration(1), "test")
	}
	reader.state.ReplaceUpstreams([]registry.Change{readyChange("1", 90), readyChange("2", 91)}, 100, "test")
	require.True(t, reader.state.HasAddress("10.0.0.2:80"))
	newcomer.state.ReplaceUpstreams([]registry.Change{readyChange("1", 90), readyChange("3", 110)}, 120, "test")
	reader.connect(t, map[fleet.RouterID]string{"newcomer": newcomer.address})
	require.Eventually(t, func() bool { return !reader.state.HasAddress("10.0.0.2:80") }, maxListCheckTime, time.Millisecond)
	require.True(t, reader.state.HasAddress("10.0.0.3:80"))
}

// Guards against two lists of the same version that differ for good.
func TestContradictionRequestsAReadOfTheStore(t *testing.T) {
	t.Parallel()
	reader, other := newNode(t, "reader"), newNode(t, "other")
	reader.state.ApplyUpstreams([]registry.Change{readyChange("1", 90), readyChange("2", 91)}, "test")
	other.state.ApplyUpstreams([]registry.Change{readyChange("1", 90), readyChange("3", 91)}, "test")
	reader.connect(t, map[fleet.RouterID]string{"other": other.address})
	require.Eventually(t, reader.mesh.IsReadRequested, maxListCheckTime, time.Millisecond)
	require.Eventually(t, other.mesh.IsReadRequested, maxListCheckTime, time.Millisecond)
}

// Guards against the drain of an upstream that other routers learn of only once an earlier removal, which may be an
// outage, takes effect.
func TestDrainingIsNotHeldBackByADeferredRemoval(t *testing.T) {
	t.Parallel()
	reader, source := newNode(t, "reader"), newNode(t, "source")
	reader.connect(t, map[fleet.RouterID]string{"source": source.address})
	for _, n := range []*node{reader, source} {
		n.state.Configure(testConfiguration(1), "test")
		n.state.ReplaceUpstreams([]registry.Change{readyChange("1", 90), readyChange("2", 91)}, 100, "test")
	}
	source.state.SetUpstreamsUnavailable()
	source.state.SetUpstreamsAvailable()
	drains := readyChange("2", 109)
	drains.Upstream.Draining = true
	gone := readyChange("1", 107)
	gone.Removed = true
	source.state.ApplyUpstreams([]registry.Change{gone}, "store")
	reader.state.ApplyUpstreamsFromPeer(&schema.Knowledge{UpstreamRevision: 106, UpstreamKnown: 106}, "test")
	source.state.ApplyUpstreams([]registry.Change{drains}, "store")
	require.Eventually(t, func() bool { return !reader.state.HasAddress("10.0.0.2:80") }, maxUpdateTime, time.Millisecond)
	require.True(t, reader.state.HasAddress("10.0.0.1:80"))
}

// Guards against an evacuation that stays in force at a router whose only source has started since it ended.
func TestEndOfAnEvacuationIsLearntFromARouterThatHasStartedSince(t *testing.T) {
	t.Parallel()
	reader, newcomer := newNode(t, "reader"), newNode(t, "newcomer")
	for _, n := range []*node{reader, newcomer} {
		n.state.Configure(testConfiguration(1), "test")
		u := readyChange("1", 2)
		u.Upstream.DataCenter = "z"
		n.state.ReplaceUpstreams([]registry.Change{u}, 2, "test")
	}
	reader.state.ApplyEvacuations([]evacuation.Change{{DataCenter: "z", Revision: 3}}, "test")
	require.False(t, reader.state.HasAddress("10.0.0.1:80"))
	newcomer.state.ReplaceEvacuations([]evacuation.Change{{DataCenter: "y", Revision: 9}}, 9, "test")
	reader.connect(t, map[fleet.RouterID]string{"newcomer": newcomer.address})
	require.Eventually(t, func() bool { return reader.state.HasAddress("10.0.0.1:80") }, maxListCheckTime, time.Millisecond)
}
