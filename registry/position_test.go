package registry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

// Guards against a router that has just read the whole list, and so never heard of an upstream that left before, and
// is taken for one that can tell all changes up to its read.
func TestRouterThatHasJustStartedTellsTheWholeList(t *testing.T) {
	t.Parallel()
	var newcomer, reader registry.Directory
	reader.Replace(start, []registry.Change{entry("x", 90), entry("y", 91)}, 100)
	newcomer.Replace(start, []registry.Change{entry("x", 90), entry("z", 110)}, 120) // y left at 107
	position := reader.Position()
	require.Equal(t, registry.NeedList, position.NeedFrom(newcomer.Position()))
	answer := newcomer.After(position.Known)
	require.True(t, answer.Whole)
	changed := reader.ApplyFromPeer(start, answer)
	require.Len(t, changed, 2, "y has left and z has come")
	require.Equal(t, []fleet.UpstreamID{"x", "z"}, ids(&reader))
	require.Equal(t, registry.NeedNothing, reader.Position().NeedFrom(newcomer.Position()))
}

// Guards against an upstream that is restored by an answer from before a whole read in which it is missing.
func TestOldAnswerDoesNotRestoreWhatAWholeReadLacks(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("x", 90)}, 120)
	d.ApplyFromPeer(start, told([]registry.Change{entry("y", 115)}, 116))
	require.Equal(t, []fleet.UpstreamID{"x"}, ids(&d))
}

// Guards against two routers that have different lists and both say that these are complete up to the same
// revision, whatever the cause.
func TestContradictingListsAreNoticed(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name       string
		own, other registry.Position
		need       registry.Need
	}{
		{"the same list", registry.Position{Version: 9, Known: 9, Latest: 9, Digest: 7}, registry.Position{Version: 9, Known: 12, Latest: 9, Digest: 7}, registry.NeedNothing},
		{"other lists at the same version", registry.Position{Version: 9, Known: 9, Latest: 9, Digest: 7}, registry.Position{Version: 9, Known: 9, Latest: 9, Digest: 8}, registry.NeedRead},
		{"the other one has read the list later", registry.Position{Version: 9, Known: 9, Latest: 9, Digest: 7}, registry.Position{Version: 9, Known: 12, Base: 12, Latest: 9, Digest: 8}, registry.NeedList},
		{"this one has read the list later", registry.Position{Version: 9, Known: 12, Base: 12, Latest: 9, Digest: 7}, registry.Position{Version: 9, Known: 9, Latest: 9, Digest: 8}, registry.NeedNothing},
		{"the other one is behind", registry.Position{Version: 9, Known: 9, Latest: 9, Digest: 7}, registry.Position{Version: 8, Known: 8, Latest: 8, Digest: 8}, registry.NeedNothing},
		{"the other one is ahead", registry.Position{Version: 8, Known: 8, Latest: 8, Digest: 8}, registry.Position{Version: 9, Known: 9, Latest: 9, Digest: 7}, registry.NeedChanges},
		{"this one has just started", registry.Position{}, registry.Position{Version: 9, Known: 12, Base: 12, Latest: 9, Digest: 7}, registry.NeedChanges},
		{"a change beyond a deferred removal", registry.Position{Version: 9, Known: 9, Latest: 12}, registry.Position{Version: 9, Known: 9, Latest: 12}, registry.NeedNothing},
		{"an older build tells no digest", registry.Position{Version: 9, Known: 9, Latest: 9, Digest: 7}, registry.Position{Version: 9, Known: 9, Latest: 9}, registry.NeedNothing},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, c.need, c.own.NeedFrom(c.other))
		})
	}
}
