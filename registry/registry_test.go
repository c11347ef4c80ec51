package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

var start = time.Unix(1_800_000_000, 0)

func entry(id fleet.UpstreamID, revision registry.Revision) registry.Change {
	return registry.Change{Upstream: registry.Upstream{ID: id, Service: "model", Address: string(id)}, Revision: revision}
}

func removal(id fleet.UpstreamID, revision registry.Revision) registry.Change {
	c := entry(id, revision)
	c.Removed = true
	return c
}

func draining(id fleet.UpstreamID, revision registry.Revision) registry.Change {
	c := entry(id, revision)
	c.Upstream.Draining = true
	return c
}

// told returns the answer of a router that has all changes up to a revision.
func told(changes []registry.Change, complete registry.Revision) registry.Answer {
	return registry.Answer{Changes: changes, Version: complete, Known: complete}
}

func ids(d *registry.Directory) []fleet.UpstreamID {
	var out []fleet.UpstreamID
	for _, u := range d.Ready()["model"] {
		out = append(out, u.ID)
	}
	return out
}

// A read of the list is slow, and meanwhile the feed reports that an upstream is
// draining. Applying the late reply would send requests to an upstream that is
// about to exit.
func TestLateReplyBringsNothingBack(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1), entry("b", 2)}, 2)
	d.Apply(start, []registry.Change{draining("a", 5), removal("b", 6)})
	require.Empty(t, d.Replace(start, []registry.Change{entry("a", 1), entry("b", 2)}, 3))
	require.Empty(t, ids(&d))
}

// The feed was interrupted, and an upstream left during the gap. A full read lacks
// it, so it gets no more requests.
func TestFullReadRemovesMissingEntries(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1), entry("b", 2)}, 2)
	changed := d.Replace(start, []registry.Change{entry("b", 2)}, 9)
	gone := removal("a", 9)
	gone.ReadAt = start
	require.Equal(t, []registry.Change{gone}, changed)
	require.Equal(t, []fleet.UpstreamID{"b"}, ids(&d))
}

// The platform's store is unavailable for some seconds, and the entries of running
// upstreams expire because they can't be renewed. Removing them would refuse every
// caller although every upstream works. They are kept until they have had time to
// return, and removed after that.
func TestEntriesThatExpireInAnOutageMayReturn(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1), entry("b", 2), draining("c", 3)}, 3)
	d.SetUnavailable(start)
	back := start.Add(5 * time.Second)
	d.SetAvailable(back)
	d.Replace(back, nil, 20)
	due, ok := d.NextRemoval()
	require.True(t, ok)
	require.Equal(t, []fleet.UpstreamID{"a", "b"}, ids(&d))
	d.Apply(back.Add(time.Second), []registry.Change{entry("a", 21)})
	require.Empty(t, d.RemoveDue(back.Add(time.Second)))
	removed := d.RemoveDue(due)
	require.Len(t, removed, 1)
	require.Equal(t, fleet.UpstreamID("b"), removed[0].Upstream.ID)
	require.Equal(t, []fleet.UpstreamID{"a"}, ids(&d))
}

// A router can read the list again, and within a second an entry vanishes that was not
// draining. It may have expired or been removed. Its upstream must get no requests
// two seconds after that, so the entry is not kept for as long as one that vanished
// during the outage.
func TestEntryThatVanishesAfterTheReturnIsKeptShorter(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1)}, 1)
	d.SetUnavailable(start)
	d.SetAvailable(start)
	vanished := start.Add(700 * time.Millisecond)
	d.Apply(vanished, []registry.Change{removal("a", 9)})
	require.Equal(t, []fleet.UpstreamID{"a"}, ids(&d))
	due, ok := d.NextRemoval()
	require.True(t, ok)
	require.Less(t, due.Sub(vanished), 1500*time.Millisecond)
	require.Len(t, d.RemoveDue(due), 1)
	require.Empty(t, ids(&d))
}

// After an outage a router keeps an entry that vanished meanwhile. Another router,
// which could read the store throughout, reports that the upstream has left. That
// takes effect at once, though later changes have already taken effect here.
func TestRemovalFromPeerTakesEffectAtOnce(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1), entry("b", 2)}, 2)
	d.SetUnavailable(start)
	d.SetAvailable(start)
	d.Apply(start, []registry.Change{removal("a", 7), draining("b", 9)})
	require.EqualValues(t, 9, d.Latest())
	require.EqualValues(t, 6, d.SettledRevision())
	require.Len(t, d.ApplyFromPeer(start, told([]registry.Change{removal("a", 7), draining("b", 9)}, 9)), 1)
	require.Empty(t, ids(&d))
	require.EqualValues(t, 9, d.SettledRevision())
}

// An upstream that leaves while the store is available is removed at once.
func TestRemovalOutsideAnOutageTakesEffectAtOnce(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1)}, 1)
	require.Len(t, d.Apply(start, []registry.Change{removal("a", 2)}), 1)
	require.Empty(t, ids(&d))
}

// Two routers receive the same changes in any order and any number of times, from
// the feed and from each other. They end with the same list.
func TestOrderOfChangesDoesNotMatter(t *testing.T) {
	t.Parallel()
	changes := []registry.Change{entry("a", 1), draining("a", 4), removal("a", 6), entry("a", 9), entry("b", 2), removal("b", 7), entry("c", 3)}
	rapid.Check(t, func(t *rapid.T) {
		var d registry.Directory
		for _, c := range rapid.Permutation(changes).Draw(t, "order") {
			d.Apply(start, []registry.Change{c})
			again := rapid.SampledFrom(changes).Draw(t, "again")
			d.Apply(start, []registry.Change{again})
		}
		require.Equal(t, []fleet.UpstreamID{"a", "c"}, ids(&d))
	})
}

// The load of a data centre whose upstreams start together: each writes its entry again with each
// heartbeat, to state how much longer it is cold. Guards against a change that is passed on to all routers
// for each of them, and against a restart or a new cold time that is taken for one.
func TestHeartbeatOfAColdUpstreamIsNoChange(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	cold := entry("a", 1)
	cold.Upstream.ColdUntil = start.Add(3 * time.Second)
	require.Len(t, d.Apply(start, []registry.Change{cold}), 1)
	for i := range 3 {
		now := start.Add(time.Duration(i+1) * 1100 * time.Millisecond)
		again := entry("a", registry.Revision(i+2))
		if left := cold.Upstream.ColdUntil.Sub(now); left > 0 {
			again.Upstream.ColdUntil = now.Add(left + 20*time.Millisecond)
		}
		require.Empty(t, d.Apply(now, []registry.Change{again}))
		require.EqualValues(t, 1, d.SettledRevision())
	}
	require.Empty(t, d.Apply(start, []registry.Change{{Upstream: registry.Upstream{ID: "a"}, Revision: 3, Removed: true}}), "older")
	again := entry("a", 9)
	again.Upstream.ColdUntil = start.Add(8 * time.Second)
	require.Len(t, d.Apply(start.Add(5*time.Second), []registry.Change{again}), 1, "cold again")
	restarted := again
	restarted.Revision, restarted.Upstream.StartTime = 10, again.Upstream.StartTime+1
	require.Len(t, d.Apply(start.Add(5*time.Second), []registry.Change{restarted}), 1)
}

// Guards against an upstream that returns after an outage of the store, and of which other routers hear
// only with the next change: its return is news, though its entry is as before.
func TestReturnOfAnEntryIsSettled(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Apply(start, []registry.Change{entry("a", 1)})
	d.SetUnavailable(start)
	d.SetAvailable(start)
	require.Empty(t, d.Apply(start, []registry.Change{{Upstream: registry.Upstream{ID: "a"}, Revision: 5, Removed: true}}))
	require.Len(t, d.Apply(start, []registry.Change{entry("a", 6)}), 1)
	require.EqualValues(t, 6, d.SettledRevision())
}

// Guards against a version that is lost because a router of an older build passes changes on
// without it, and against one that stays from an earlier start.
func TestSoftwareVersionIsKeptWhereAChangeLacksIt(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	upstream := registry.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", Slots: 8, StartTime: 1}
	withVersion := upstream
	withVersion.Software = "v1"
	softwareOf := func() fleet.SoftwareVersion {
		c, known := d.Get("u")
		require.True(t, known)
		return c.Upstream.Software
	}
	d.ApplyFromPeer(start, told([]registry.Change{{Upstream: upstream, Revision: 1}}, 1))
	require.Empty(t, softwareOf())
	require.Len(t, d.Apply(start, []registry.Change{{Upstream: withVersion, Revision: 1}}), 1)
	require.Equal(t, fleet.SoftwareVersion("v1"), softwareOf())

	draining := upstream
	draining.Draining = true
	d.ApplyFromPeer(start, told([]registry.Change{{Upstream: draining, Revision: 2}}, 2))
	require.Equal(t, fleet.SoftwareVersion("v1"), softwareOf())
	require.Equal(t, map[fleet.ServiceID]map[fleet.SoftwareVersion]registry.StartTime{"s": {"v1": 1}}, d.SoftwareVersions())

	restarted := upstream
	restarted.StartTime = 2
	d.ApplyFromPeer(start, told([]registry.Change{{Upstream: restarted, Revision: 3}}, 3))
	require.Empty(t, softwareOf())
}
