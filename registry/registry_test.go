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

func gone(id fleet.UpstreamID, revision registry.Revision) registry.Change {
	c := entry(id, revision)
	c.Gone = true
	return c
}

func draining(id fleet.UpstreamID, revision registry.Revision) registry.Change {
	c := entry(id, revision)
	c.Upstream.Draining = true
	return c
}

func ids(d *registry.Directory) []fleet.UpstreamID {
	var out []fleet.UpstreamID
	for _, u := range d.Ready()["model"] {
		out = append(out, u.ID)
	}
	return out
}

// A router's read of the list is slow, and meanwhile the feed says that an
// upstream drains. Were the late reply believed, callers' requests would go to
// an upstream that is about to exit.
func TestLateReplyBringsNothingBack(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1), entry("b", 2)}, 2)
	d.Apply(start, []registry.Change{draining("a", 5), gone("b", 6)})
	require.Empty(t, d.Replace(start, []registry.Change{entry("a", 1), entry("b", 2)}, 3))
	require.Empty(t, ids(&d))
}

// The feed was cut, and in the gap an upstream left. A whole read lacks it, so
// it gets nothing more.
func TestWholeReadRemovesWhatItLacks(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1), entry("b", 2)}, 2)
	changed := d.Replace(start, []registry.Change{entry("b", 2)}, 9)
	require.Equal(t, []registry.Change{gone("a", 9)}, changed)
	require.Equal(t, []fleet.UpstreamID{"b"}, ids(&d))
}

// The platform's store is away for some seconds, and the entries of upstreams
// that live lapse meanwhile, since they can't be renewed. Were they believed to
// be gone, every caller would be refused although every upstream serves. They
// stay for as long as they may take to come back, and are gone after that.
func TestEntriesThatLapseInAnOutageMayReturn(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1), entry("b", 2), draining("c", 3)}, 3)
	d.Lost()
	back := start.Add(5 * time.Second)
	d.Regained(back)
	d.Replace(back, nil, 20)
	due, some := d.Due()
	require.True(t, some)
	require.Equal(t, []fleet.UpstreamID{"a", "b"}, ids(&d))
	d.Apply(back.Add(time.Second), []registry.Change{entry("a", 21)})
	require.Empty(t, d.Settle(back.Add(time.Second)))
	left := d.Settle(due)
	require.Len(t, left, 1)
	require.Equal(t, fleet.UpstreamID("b"), left[0].Upstream.ID)
	require.Equal(t, []fleet.UpstreamID{"a"}, ids(&d))
}

// A router gets the list back, and a second later an upstream leaves without a
// word. Its entry may have lapsed, and may have been removed; the upstream must
// get nothing two seconds after that, so it isn't kept for as long as one that
// vanished in the outage.
func TestEntryThatVanishesAfterTheReturnIsKeptShorter(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1)}, 1)
	d.Lost()
	d.Regained(start)
	vanished := start.Add(700 * time.Millisecond)
	d.Apply(vanished, []registry.Change{gone("a", 9)})
	require.Equal(t, []fleet.UpstreamID{"a"}, ids(&d))
	due, some := d.Due()
	require.True(t, some)
	require.Less(t, due.Sub(vanished), 1500*time.Millisecond)
	require.Len(t, d.Settle(due), 1)
	require.Empty(t, ids(&d))
}

// A router that got the list back holds an entry that vanished meanwhile. Another
// router, which the store never refused, knows that the upstream has left. Its
// word is taken at once, though later changes have taken effect here already.
func TestAnotherRouterKnowsThatALapsedEntryIsGone(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1), entry("b", 2)}, 2)
	d.Lost()
	d.Regained(start)
	d.Apply(start, []registry.Change{gone("a", 7), draining("b", 9)})
	require.EqualValues(t, 9, d.Latest())
	require.EqualValues(t, 6, d.Settled())
	require.Len(t, d.Receive(start, []registry.Change{gone("a", 7), draining("b", 9)}, 9), 1)
	require.Empty(t, ids(&d))
	require.EqualValues(t, 9, d.Settled())
}

// An upstream leaves while the store is well: it gets nothing more at once.
func TestEntryThatVanishesInCalmIsGoneAtOnce(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("a", 1)}, 1)
	require.Len(t, d.Apply(start, []registry.Change{gone("a", 2)}), 1)
	require.Empty(t, ids(&d))
}

// Two routers hear the same changes in any order and any number of times, from
// the feed and from each other. They end with the same list.
func TestOrderOfTheNewsDoesNotMatter(t *testing.T) {
	t.Parallel()
	news := []registry.Change{entry("a", 1), draining("a", 4), gone("a", 6), entry("a", 9), entry("b", 2), gone("b", 7), entry("c", 3)}
	rapid.Check(t, func(t *rapid.T) {
		var d registry.Directory
		for _, c := range rapid.Permutation(news).Draw(t, "order") {
			d.Apply(start, []registry.Change{c})
			again := rapid.SampledFrom(news).Draw(t, "again")
			d.Apply(start, []registry.Change{again})
		}
		require.Equal(t, []fleet.UpstreamID{"a", "c"}, ids(&d))
	})
}
