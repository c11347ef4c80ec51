package origin_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
)

const window = 20 * time.Second

func listed(versions ...fleet.SoftwareVersion) map[fleet.ServiceID]map[fleet.SoftwareVersion]bool {
	present := make(map[fleet.SoftwareVersion]bool)
	for _, v := range versions {
		present[v] = true
	}
	return map[fleet.ServiceID]map[fleet.SoftwareVersion]bool{"s": present}
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
