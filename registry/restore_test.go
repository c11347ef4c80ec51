package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

// of returns a change with its number in an era.
func of(era registry.Era, c registry.Change) registry.Change {
	c.Revision = registry.NewRevision(era, c.Revision.Number())
	return c
}

// started returns a change of an upstream that started at a time.
func started(at registry.StartTime, c registry.Change) registry.Change {
	c.Upstream.StartTime = at
	return c
}

func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	t.Parallel()
	require.Less(t, registry.NewRevision(1, 100), registry.NewRevision(2, 1))
	require.Less(t, registry.NewRevision(2, 1), registry.NewRevision(2, 2))
	require.Equal(t, registry.Era(7), registry.NewRevision(7, 62).Era())
	require.Equal(t, uint64(62), registry.NewRevision(7, 62).Number())
	require.Equal(t, registry.Revision(62), registry.NewRevision(0, 62))
}

// Guards against a list that keeps or takes the wrong state of an upstream when the store is restored from a copy.
func TestListOfARestoredStore(t *testing.T) {
	t.Parallel()
	const before = registry.Era(1)
	for _, c := range []struct {
		name string
		// known are the changes of the first era, copied the list as of number 50 of the second one, and later the changes
		// after it.
		known, copied, later []registry.Change
		ready                []fleet.UpstreamID
	}{
		{
			name:  "a leaving with a lower number takes effect",
			known: []registry.Change{entry("a", 80)}, copied: []registry.Change{entry("a", 45)}, later: []registry.Change{draining("a", 51)},
		},
		{
			name:  "the copy lists an upstream that drains",
			known: []registry.Change{entry("a", 40), draining("a", 80)}, copied: []registry.Change{entry("a", 40)},
		},
		{
			name:  "the copy lists an upstream that is gone",
			known: []registry.Change{entry("a", 40), removal("a", 80)}, copied: []registry.Change{entry("a", 40)},
		},
		{
			name:  "an upstream that was gone writes its entry again",
			known: []registry.Change{entry("a", 40), removal("a", 80)}, copied: []registry.Change{entry("a", 40)},
			later: []registry.Change{entry("a", 51)}, ready: []fleet.UpstreamID{"a"},
		},
		{
			name:  "an upstream that was gone has written its entry again before the list is read",
			known: []registry.Change{entry("a", 40), removal("a", 80)}, copied: []registry.Change{entry("a", 50)},
			ready: []fleet.UpstreamID{"a"},
		},
		{
			name:  "the copy lists the process before",
			known: []registry.Change{started(1, entry("a", 40)), started(2, draining("a", 80))}, copied: []registry.Change{started(1, entry("a", 40))},
		},
		{
			name:  "another process has started",
			known: []registry.Change{started(1, entry("a", 40)), started(1, draining("a", 80))}, copied: []registry.Change{started(3, entry("a", 50))},
			ready: []fleet.UpstreamID{"a"},
		},
		{
			name:  "the copy lacks an upstream, which writes its entry again",
			known: []registry.Change{entry("a", 80)}, later: []registry.Change{entry("a", 51)}, ready: []fleet.UpstreamID{"a"},
		},
		{
			name:  "the copy lacks an upstream, which doesn't return",
			known: []registry.Change{entry("a", 80)},
		},
		{
			name:  "the copy lacks an upstream that was gone, which returns",
			known: []registry.Change{entry("a", 70), removal("a", 80)}, later: []registry.Change{entry("a", 51)}, ready: []fleet.UpstreamID{"a"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var d registry.Directory
			d.Replace(start, nil, registry.NewRevision(before, 1))
			for _, change := range c.known {
				d.Apply(start, []registry.Change{of(before, change)})
			}
			for i := range c.copied {
				c.copied[i] = of(before+1, c.copied[i])
			}
			d.Replace(start, c.copied, registry.NewRevision(before+1, 50))
			restore := d.TakeRestore()
			require.NotNil(t, restore)
			require.Equal(t, before+1, restore.After.Era())
			for _, change := range c.later {
				d.Apply(start.Add(time.Second), []registry.Change{of(before+1, change)})
			}
			d.RemoveDue(start.Add(time.Minute))
			require.ElementsMatch(t, c.ready, ids(&d))
			require.Equal(t, before+1, d.Position().Known.Era(), "a position is of one era")
			d.Replace(start, []registry.Change{of(before, entry("z", 90))}, registry.NewRevision(before, 99))
			require.ElementsMatch(t, c.ready, ids(&d), "a late list from before the restore changes nothing")
		})
	}
}

// Guards against a router that has started since and takes an upstream from the copy that others know to have left.
func TestUpstreamThatHasLeftIsToldToRoutersThatHaveStartedSince(t *testing.T) {
	t.Parallel()
	var knows, fresh registry.Directory
	knows.Replace(start, []registry.Change{of(1, entry("a", 40))}, registry.NewRevision(1, 40))
	knows.Apply(start, []registry.Change{of(1, draining("a", 80))})
	list := []registry.Change{of(2, entry("a", 40))}
	knows.Replace(start, list, registry.NewRevision(2, 50))
	fresh.Replace(start, list, registry.NewRevision(2, 50))
	require.Equal(t, []fleet.UpstreamID{"a"}, ids(&fresh))
	require.Nil(t, fresh.TakeRestore(), "a router that starts has nothing from before")

	require.Len(t, fresh.ApplyKept(start, knows.Kept()), 1)
	require.Empty(t, ids(&fresh))
	require.Equal(t, knows.Position().Digest, fresh.Position().Digest)

	for _, d := range []*registry.Directory{&knows, &fresh} {
		d.Apply(start, []registry.Change{of(2, entry("a", 51))})
		require.Equal(t, []fleet.UpstreamID{"a"}, ids(d), "it has written its entry again")
		require.Empty(t, d.Kept())
	}
}

// Guards against a router that learns of a restore from another one and drops upstreams which that one has never known.
func TestRestoreThatAnotherRouterTells(t *testing.T) {
	t.Parallel()
	var d, other registry.Directory
	d.Replace(start, []registry.Change{of(1, entry("a", 80)), of(1, entry("b", 81))}, registry.NewRevision(1, 90))
	other.Replace(start, []registry.Change{of(2, entry("b", 51))}, registry.NewRevision(2, 52))
	require.Equal(t, registry.NeedList, d.Position().NeedFrom(other.Position()))
	require.Equal(t, registry.NeedNothing, other.Position().NeedFrom(d.Position()))
	d.ApplyFromPeer(start, other.After(d.Position().Known))
	require.ElementsMatch(t, []fleet.UpstreamID{"a", "b"}, ids(&d), "a may return")
	d.RemoveDue(start.Add(time.Minute))
	require.Equal(t, []fleet.UpstreamID{"b"}, ids(&d))
	require.Empty(t, other.ApplyFromPeer(start, registry.Answer{
		Changes: []registry.Change{of(1, entry("a", 95))}, Known: registry.NewRevision(1, 99), Version: registry.NewRevision(1, 99),
	}), "what another router tells from before the restore changes nothing")
}
