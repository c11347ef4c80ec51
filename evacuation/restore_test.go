package evacuation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/evacuation"
	"nutmeglock.example/nutmeglock/registry"
)

// Guards against an evacuation that ends, or begins anew, because the store was restored from a copy.
func TestEvacuationsOfARestoredStore(t *testing.T) {
	t.Parallel()
	now := time.Unix(1, 0)
	began := evacuation.Change{DataCenter: "z", Revision: registry.NewRevision(1, 80)}
	ended := evacuation.Change{DataCenter: "z", Revision: registry.NewRevision(1, 90), Ended: true}
	copied := []evacuation.Change{{DataCenter: "z", Revision: registry.NewRevision(2, 80)}}
	as := registry.NewRevision(2, 85)

	t.Run("the copy lacks it", func(t *testing.T) {
		t.Parallel()
		var s evacuation.Set
		s.Replace(now, []evacuation.Change{began}, registry.NewRevision(1, 95))
		s.Replace(now, nil, as)
		require.True(t, s.IsEvacuated("z"))
		due, ok := s.NextLapse()
		require.True(t, ok)
		require.Empty(t, s.Lapse(due.Add(-time.Millisecond)))
		require.Len(t, s.Lapse(due), 1)
		require.False(t, s.IsEvacuated("z"))
	})
	t.Run("the operator writes it again", func(t *testing.T) {
		t.Parallel()
		var s evacuation.Set
		s.Replace(now, []evacuation.Change{began}, registry.NewRevision(1, 95))
		s.Replace(now, nil, as)
		s.Apply(now, []evacuation.Change{{DataCenter: "z", Revision: registry.NewRevision(2, 86)}})
		_, lapses := s.NextLapse()
		require.False(t, lapses)
		require.True(t, s.IsEvacuated("z"))
	})
	t.Run("it had ended", func(t *testing.T) {
		t.Parallel()
		var s evacuation.Set
		s.Replace(now, []evacuation.Change{began}, registry.NewRevision(1, 85))
		s.Apply(now, []evacuation.Change{ended})
		require.Empty(t, s.Replace(now, copied, as))
		require.False(t, s.IsEvacuated("z"))
		s.Apply(now, []evacuation.Change{{DataCenter: "z", Revision: registry.NewRevision(2, 86)}})
		require.True(t, s.IsEvacuated("z"), "the operator has written it again")
	})
	t.Run("it had ended, and the operator begins another one", func(t *testing.T) {
		t.Parallel()
		var s evacuation.Set
		s.Replace(now, []evacuation.Change{began}, registry.NewRevision(1, 85))
		s.Apply(now, []evacuation.Change{ended})
		s.Replace(now, nil, registry.NewRevision(2, 60))
		s.Apply(now, []evacuation.Change{{DataCenter: "z", Revision: registry.NewRevision(2, 61)}})
		require.True(t, s.IsEvacuated("z"))
	})
	t.Run("a late list from before", func(t *testing.T) {
		t.Parallel()
		var s evacuation.Set
		s.Replace(now, nil, as)
		require.Empty(t, s.Replace(now, []evacuation.Change{began}, registry.NewRevision(1, 95)))
		require.False(t, s.IsEvacuated("z"))
	})
}
