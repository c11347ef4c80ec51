package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

// Guards against an upstream that has left and gets requests for as long as calls to the store fail now and then:
// each return of the store deferred its removal anew.
func TestRemovalIsNotDeferredAnewByEachOutage(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1)}, 1)
	now := start
	d.SetUnavailable(now)
	d.SetAvailable(now)
	d.Apply(now, []registry.Change{removal("a", 2)})
	for range 8 {
		now = now.Add(500 * time.Millisecond)
		d.SetUnavailable(now)
		now = now.Add(40 * time.Millisecond)
		d.SetAvailable(now)
		d.RemoveDue(now)
	}
	require.Less(t, now.Sub(start), 5*time.Second)
	require.Empty(t, ids(&d))
}

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
	require.Less(t, due, start.Add(time.Minute+2*time.Second))
}

// Guards against the drain of an upstream being hidden by an earlier removal that is deferred: other routers would
// ask for neither.
func TestChangeBehindADeferredRemovalIsAnnounced(t *testing.T) {
	t.Parallel()
	var source, reader registry.Directory
	list := []registry.Change{entry("a", 1), entry("b", 2)}
	source.Replace(start, list, 2)
	reader.Replace(start, list, 2)
	source.SetUnavailable(start)
	source.SetAvailable(start)
	source.Apply(start, []registry.Change{removal("a", 5)})
	reader.ApplyFromPeer(start, source.After(reader.Position().Known))
	source.Apply(start, []registry.Change{draining("b", 9)})
	require.Equal(t, []fleet.UpstreamID{"a"}, ids(&source))
	position := reader.Position()
	require.Equal(t, registry.NeedChanges, position.NeedFrom(source.Position()))
	reader.ApplyFromPeer(start, source.After(position.Known))
	require.Equal(t, []fleet.UpstreamID{"a"}, ids(&reader))
	require.Less(t, reader.Position().Known, registry.Revision(5), "the removal of a is still to be asked for")
	require.Equal(t, registry.NeedNothing, reader.Position().NeedFrom(source.Position()))
}
