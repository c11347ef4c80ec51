package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
)

func TestNothingIsAskedThatNobodyAnnounced(t *testing.T) {
	t.Parallel()
	var s follow.Sources
	s.Announce("a", 3)
	router, again := s.Next(time.Now(), 3)
	require.Empty(t, router)
	require.Zero(t, again)
}

// Guards against an update that waits for the timeout of a call to a source that does not respond.
func TestCallToASilentSourceIsHedged(t *testing.T) {
	t.Parallel()
	var s follow.Sources
	now := time.Unix(1_800_000_000, 0)
	asked := make(map[fleet.RouterID]bool)
	for _, router := range []fleet.RouterID{"a", "b", "c", "d", "e", "f"} {
		s.Announce(router, 2)
	}
	const patience = time.Second
	for end := now.Add(patience); now.Before(end); {
		router, again := s.Next(now, 1)
		if router != "" {
			require.False(t, asked[router])
			asked[router] = true
		}
		if again == 0 {
			break
		}
		require.Less(t, again, patience/2)
		now = now.Add(again)
	}
	require.Len(t, asked, 4, "calls in flight are bounded")
}

// Guards against a loop of calls to a single source that fails at once.
func TestSourceThatFailsIsAskedAgainAfterAPause(t *testing.T) {
	t.Parallel()
	var s follow.Sources
	now := time.Unix(1_800_000_000, 0)
	s.Announce("a", 2)
	router, _ := s.Next(now, 1)
	require.EqualValues(t, "a", router)
	s.End("a")
	router, again := s.Next(now.Add(time.Millisecond), 1)
	require.Empty(t, router)
	require.Positive(t, again)
	router, _ = s.Next(now.Add(time.Millisecond+again), 1)
	require.EqualValues(t, "a", router)
}

// Guards against a second call to a failed source before the other sources are tried.
func TestSourceThatFailedComesAfterTheOthers(t *testing.T) {
	t.Parallel()
	var s follow.Sources
	now := time.Unix(1_800_000_000, 0)
	s.Announce("a", 2)
	s.Announce("b", 2)
	first, _ := s.Next(now, 1)
	s.End(first)
	second, _ := s.Next(now.Add(time.Millisecond), 1)
	require.NotEmpty(t, second)
	require.NotEqual(t, first, second)
}

// Guards against calls to a router that is no longer connected.
func TestForgottenSourceIsNotAsked(t *testing.T) {
	t.Parallel()
	var s follow.Sources
	s.Announce("a", 2)
	s.Forget("a")
	router, again := s.Next(time.Now(), 1)
	require.Empty(t, router)
	require.Zero(t, again)
}
