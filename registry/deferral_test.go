package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/registry"
)

// Guards against a removal that takes effect in an outage, in which the upstream can't register again.
func TestDeferredRemovalWaitsForTheEndOfAnOutage(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1)}, 1)
	d.SetUnavailable(start)
	d.SetAvailable(start)
	d.Apply(start, []registry.Change{removal("a", 2)})
	d.SetUnavailable(start.Add(time.Second))
	require.Empty(t, d.RemoveDue(start.Add(time.Minute)))
	_, ok := d.NextRemoval()
	require.False(t, ok)
	d.SetAvailable(start.Add(time.Minute))
	due, ok := d.NextRemoval()
	require.True(t, ok)
	require.Greater(t, due, start.Add(time.Minute))
}
