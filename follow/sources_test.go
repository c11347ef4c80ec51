package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
)

func TestNoCallWithoutANewerVersion(t *testing.T) {
	t.Parallel()
	var s follow.Sources
	s.Announce("a", 3)
	router, retryAfter := s.Next(time.Now(), 3)
	require.Empty(t, router)
	require.Zero(t, retryAfter)
}

// Guards against an update that waits for the timeout of a call to a source that does not
// respond.
func TestCallToASilentSourceIsHedged(t *testing.T) {
	t.Parallel()
	var s follow.Sources
	now := time.Unix(1_800_000_000, 0)
	called := make(map[fleet.RouterID]bool)
	for _, router := range []fleet.RouterID{"a", "b", "c", "d", "e", "f"} {
		s.Announce(router, 2)
	}
	const callTimeout = time.Second
	for end := now.Add(callTimeout); now.Before(end); {
		router, retryAfter := s.Next(now, 1)
		if router != "" {
			require.False(t, called[router])
			called[router] = true
		}
		if retryAfter == 0 {
			break
		}
		require.Less(t, retryAfter, callTimeout/2)
		now = now.Add(retryAfter)
	}
	require.Len(t, called, 4, "calls in flight are bounded")
}

// Guards against a loop of calls to a single source that fails at once.
func TestSourceThatFailsIsCalledAgainAfterAPause(t *testing.T) {
	t.Parallel()
	var s follow.Sources
	now := time.Unix(1_800_000_000, 0)
	s.Announce("a", 2)
	router, _ := s.Next(now, 1)
	require.EqualValues(t, "a", router)
	s.End("a")
	router, retryAfter := s.Next(now.Add(time.Millisecond), 1)
	require.Empty(t, router)
	require.Positive(t, retryAfter)
	router, _ = s.Next(now.Add(time.Millisecond+retryAfter), 1)
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
func TestForgottenSourceIsNotCalled(t *testing.T) {
	t.Parallel()
	var s follow.Sources
	s.Announce("a", 2)
	s.Forget("a")
	router, retryAfter := s.Next(time.Now(), 1)
	require.Empty(t, router)
	require.Zero(t, retryAfter)
}

// Guards against an update that is never fetched because two announcements of its source arrived in
// the other order: a router sends them from several goroutines.
func TestLateAnnouncementDoesNotHideANewerVersion(t *testing.T) {
	t.Parallel()
	var s follow.Sources
	s.Announce("r", 9)
	s.Announce("r", 3)
	router, _ := s.Next(time.Unix(1, 0), 5)
	require.Equal(t, fleet.RouterID("r"), router)
	s.Forget("r")
	s.Announce("r", 3)
	router, _ = s.Next(time.Unix(2, 0), 5)
	require.Empty(t, router, "the router has restarted")
}
