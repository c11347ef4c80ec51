package evacuation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/evacuation"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func began(id fleet.DataCenterID, revision registry.Revision) evacuation.Change {
	return evacuation.Change{DataCenter: id, Revision: revision}
}

// endedA is the end of the evacuation of data centre a.
func endedA(revision registry.Revision) evacuation.Change {
	return evacuation.Change{DataCenter: "a", Revision: revision, Ended: true}
}

func TestEvacuationBeginsAndEnds(t *testing.T) {
	t.Parallel()
	var s evacuation.Set
	require.Len(t, s.Apply(now, []evacuation.Change{began("a", 3), began("b", 4)}), 2)
	require.True(t, s.IsEvacuated("a") && s.IsEvacuated("b"))
	require.False(t, s.IsEvacuated("c"))
	later := now.Add(time.Second)
	require.Equal(t, []evacuation.Change{endedA(7)}, s.Apply(later, []evacuation.Change{endedA(7)}))
	require.False(t, s.IsEvacuated("a"))
	require.Equal(t, later, s.EndedAt("a"))
	require.EqualValues(t, 7, s.Revision())
	require.Equal(t, []evacuation.Change{endedA(7), began("b", 4)}, s.Changes())
}

// Guards against an evacuation that goes on for ever because its end fell into a history that the store
// dropped.
func TestReplaceEndsWhatIsNoLongerInForce(t *testing.T) {
	t.Parallel()
	var s evacuation.Set
	s.Apply(now, []evacuation.Change{began("a", 3), began("b", 4)})
	require.Equal(t, []evacuation.Change{endedA(9)}, s.Replace(now, []evacuation.Change{began("b", 4)}, 9))
	require.False(t, s.IsEvacuated("a"))
}

// Guards against an old answer of the store, or of a router that knows less, that undoes an evacuation.
func TestNothingOlderUndoesAnEvacuation(t *testing.T) {
	t.Parallel()
	var s evacuation.Set
	s.Apply(now, []evacuation.Change{began("a", 10)})
	require.Empty(t, s.Apply(now, []evacuation.Change{endedA(9)}))
	require.Empty(t, s.Replace(now, nil, 9))
	require.True(t, s.IsEvacuated("a"))
}

// Guards against routers that believe different things after they have heard the same changes in another
// order, some of them twice.
func TestOrderDoesNotMatter(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var changes []evacuation.Change
		for revision := range rapid.IntRange(1, 12).Draw(t, "changes") {
			changes = append(changes, evacuation.Change{
				DataCenter: rapid.SampledFrom([]fleet.DataCenterID{"a", "b", "c"}).Draw(t, "data centre"),
				Revision:   registry.Revision(revision + 1), Ended: rapid.Bool().Draw(t, "ended"),
			})
		}
		var inOrder, shuffled evacuation.Set
		inOrder.Apply(now, changes)
		for _, c := range rapid.Permutation(append(changes, changes...)).Draw(t, "order") {
			shuffled.Apply(now, []evacuation.Change{c})
		}
		require.Equal(t, inOrder.Changes(), shuffled.Changes())
	})
}

// Guards against a data centre that stays out of use because its evacuation ended before the only source had started.
func TestEvacuationThatAnotherRouterNeverHeardOfHasEnded(t *testing.T) {
	t.Parallel()
	var s evacuation.Set
	s.Apply(now, []evacuation.Change{began("a", 3)})
	require.Equal(t, []evacuation.Change{began("b", 9), endedA(9)}, s.ApplyAll(now, []evacuation.Change{began("b", 9)}))
	require.False(t, s.IsEvacuated("a"))
	require.Empty(t, s.ApplyAll(now, []evacuation.Change{began("b", 9)}))
	s.Apply(now, []evacuation.Change{began("c", 12)})
	require.Empty(t, s.ApplyAll(now, []evacuation.Change{began("b", 9)}), "the other router is behind")
	require.True(t, s.IsEvacuated("c"))
}
