package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

// changes draws up to four changes with arbitrary content.
func changes(t *rapid.T) []registry.Change {
	list := make([]registry.Change, rapid.IntRange(0, 4).Draw(t, "changes"))
	for i := range list {
		id := rapid.SampledFrom([]fleet.UpstreamID{"", "a", "b", "c"}).Draw(t, "id")
		list[i] = entry(id, registry.Revision(rapid.Uint64Range(0, 40).Draw(t, "revision")))
		list[i].Removed = rapid.Bool().Draw(t, "gone")
		list[i].Upstream.Draining = rapid.Bool().Draw(t, "draining")
		list[i].Upstream.StartTime = registry.StartTime(rapid.Int64Range(-1, 3).Draw(t, "life"))
	}
	return list
}

// Guards against a panic, and against an upstream that stays ready for ever, for any order of
// outages, full reads, changes from other routers and lists that become empty and fill again.
func TestDirectorySurvivesAnyChange(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var d registry.Directory
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"replace": func(t *rapid.T) {
				d.Replace(now, changes(t), registry.Revision(rapid.Uint64Range(0, 40).Draw(t, "as")))
			},
			"empty": func(t *rapid.T) {
				d.Replace(now, nil, registry.Revision(rapid.Uint64Range(0, 40).Draw(t, "as")))
			},
			"apply": func(t *rapid.T) { d.Apply(now, changes(t)) },
			"apply from peer": func(t *rapid.T) {
				a := told(changes(t), registry.Revision(rapid.Uint64().Draw(t, "complete")))
				a.Whole = rapid.Bool().Draw(t, "whole")
				d.ApplyFromPeer(now, a)
			},
			"lost":       func(*rapid.T) { d.SetUnavailable(now) },
			"regained":   func(*rapid.T) { d.SetAvailable(now) },
			"remove due": func(*rapid.T) { d.RemoveDue(now) },
			"": func(t *rapid.T) {
				for _, ready := range d.Ready() {
					for _, u := range ready {
						change, ok := d.Get(u.ID)
						require.True(t, ok && !change.Removed && !change.Upstream.Draining, "%s is ready", u.ID)
					}
				}
			},
		})
		// Once the list can be read again and is empty, every entry is removed at the end of its grace period. The list is of
		// the latest era that another router has told.
		d.SetAvailable(now)
		d.Replace(now, nil, registry.NewRevision(d.Position().Known.Era(), 1_000))
		d.RemoveDue(now.Add(time.Minute))
		require.Empty(t, ids(&d))
	})
}
