package origin_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/registry"
)

const window = 20 * time.Second

// listed returns upstreams of a service that have run for an hour at start.
func listed(versions ...fleet.SoftwareVersion) map[fleet.ServiceID]map[fleet.SoftwareVersion]registry.StartTime {
	return listedSince(start.Add(-time.Hour), versions...)
}

func listedSince(started time.Time, versions ...fleet.SoftwareVersion) map[fleet.ServiceID]map[fleet.SoftwareVersion]registry.StartTime {
	present := make(map[fleet.SoftwareVersion]registry.StartTime)
	for _, v := range versions {
		present[v] = registry.StartTime(started.UnixMilli())
	}
	return map[fleet.ServiceID]map[fleet.SoftwareVersion]registry.StartTime{"s": present}
}

// Guards against a version that is forgotten while its streams may still be taken up.
func TestVersionMattersForAWindowAfterItsLastUpstreamLeft(t *testing.T) {
	t.Parallel()
	var h origin.History
	h.Observe(start, listed("v1"))
	require.False(t, h.View(start, "s", window).Complete)
	require.False(t, h.View(start, "s", window).IsMixed())

	now := start.Add(window)
	require.True(t, h.View(now, "s", window).Complete)
	h.Observe(now, listed("v1", "v2"))
	h.Observe(now.Add(time.Second), listed("v2"))
	require.True(t, h.View(now.Add(window), "s", window).IsMixed())
	require.Equal(t, []fleet.SoftwareVersion{"v2"}, h.View(now.Add(window+time.Second), "s", window).Versions)
	require.Equal(t, []fleet.ServiceID{"s"}, h.Services())
}

// Guards against a restarted router that takes the only version in the list for the only one there
// was, and against one that refuses every stream for a while though there was no other.
func TestHistoryFromBeforeTheStart(t *testing.T) {
	t.Parallel()
	var replaced, calm origin.History
	for _, h := range []*origin.History{&replaced, &calm} {
		h.Observe(start, listed("v2"))
	}
	replaced.Restore(start, []fleet.ServiceID{"s"})
	calm.Restore(start, nil)
	require.True(t, replaced.View(start, "s", window).IsMixed())
	require.False(t, replaced.View(start.Add(window), "s", window).IsMixed())
	require.False(t, calm.View(start, "s", window).IsMixed())
	require.True(t, calm.View(start, "s", window).Complete)
}

// Guards against a version that is taken for the only one there was, since another one was replaced while no router ran.
func TestVersionThatBeganWhileNoRouterRanIsNotTheOnlyOne(t *testing.T) {
	t.Parallel()
	var h origin.History
	h.Observe(start, listedSince(start.Add(-window/2), "v2"))
	h.Restore(start, nil)
	require.False(t, h.View(start, "s", window).Complete)
	require.True(t, h.View(start.Add(window/2), "s", window).Complete)

	var unknown origin.History
	unknown.Observe(start, map[fleet.ServiceID]map[fleet.SoftwareVersion]registry.StartTime{"s": {"v2": 0}})
	unknown.Restore(start, nil)
	require.False(t, unknown.View(start, "s", window).Complete, "no upstream states its start")
	require.True(t, unknown.View(start.Add(window), "s", window).Complete)
}

// A service whose last upstream has left keeps its versions for the window.
func TestServiceWithoutUpstreams(t *testing.T) {
	t.Parallel()
	var h origin.History
	require.Empty(t, h.View(start, "s", window).Versions)
	h.Observe(start, listed("v1"))
	h.Observe(start.Add(time.Second), nil)
	require.Equal(t, []fleet.SoftwareVersion{"v1"}, h.View(start.Add(2*time.Second), "s", window).Versions)
	require.Empty(t, h.View(start.Add(window+time.Second), "s", window).Versions)
}
