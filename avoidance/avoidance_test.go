package avoidance_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/avoidance"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func isAvoided(s *avoidance.Set[string], now time.Time, key string) bool {
	_, avoided := s.Find(now, key)
	return avoided
}

func listed(string) bool   { return true }
func unlisted(string) bool { return false }

func TestSetWithoutStatements(t *testing.T) {
	t.Parallel()
	var s avoidance.Set[string]
	require.True(t, s.IsEmpty())
	require.False(t, isAvoided(&s, start, "a"))
	require.False(t, isAvoided(nil, start, "a"))
	require.Empty(t, s.Expire(start, listed))
}

// Guards against a term that a later answer shortens: answers to requests in flight may ask for less time.
func TestBackoffIsExtendedAndNeverShortened(t *testing.T) {
	t.Parallel()
	var s avoidance.Set[string]
	until, began := s.RecordBackoff(start, "a", 3*time.Second)
	require.True(t, began)
	require.Equal(t, at(3), until)
	until, began = s.RecordBackoff(at(0.1), "a", time.Second)
	require.False(t, began)
	require.Equal(t, at(3), until)
	until, _ = s.RecordBackoff(at(1), "a", 4*time.Second)
	require.Equal(t, at(5), until)
	require.True(t, isAvoided(&s, at(4.999), "a"))
	require.False(t, isAvoided(&s, at(5), "a"))
	require.False(t, isAvoided(&s, at(1), "b"))

	require.Len(t, s.Expire(at(5), listed), 1)
	require.True(t, s.IsEmpty())
	_, began = s.RecordBackoff(at(6), "a", time.Second)
	require.True(t, began)
}

// Guards against values that overflow: an upstream would not be avoided at all, or for ever.
func TestLongBackoffIsBounded(t *testing.T) {
	t.Parallel()
	var s avoidance.Set[string]
	until, _ := s.RecordBackoff(start, "a", math.MaxInt64)
	require.Equal(t, avoidance.MaxBackoff, until.Sub(start))
}

// Guards against requests to a leaving upstream whose entry vanishes in an outage and returns.
func TestLeavingOutlastsAnEntryThatVanishes(t *testing.T) {
	t.Parallel()
	var s avoidance.Set[string]
	require.True(t, s.RecordLeaving(start, "a"))
	require.False(t, s.RecordLeaving(at(1), "a"))
	require.Equal(t, []string{"a"}, s.Leaving())
	require.Empty(t, s.Expire(at(3600), listed))
	require.Empty(t, s.Expire(at(3601), unlisted))
	require.Empty(t, s.Expire(at(3900), listed))
	require.Empty(t, s.Expire(at(3901), unlisted))
	require.True(t, isAvoided(&s, at(4500), "a"))
	require.Empty(t, s.Expire(at(4500), unlisted))
	require.Len(t, s.Expire(at(4501), unlisted), 1)
	require.False(t, isAvoided(&s, at(4501), "a"))
	require.True(t, s.IsEmpty())
}

// Guards against an upstream that is leaving and gets requests again once its backoff is over.
func TestLeavingOutlastsABackoff(t *testing.T) {
	t.Parallel()
	var s avoidance.Set[string]
	s.RecordBackoff(start, "a", time.Second)
	s.RecordLeaving(start, "a")
	term, avoided := s.Find(at(0.5), "a")
	require.True(t, avoided)
	require.Equal(t, avoidance.Leaving, term.Reason)
	require.Zero(t, term.Left(at(0.5)))
	require.Len(t, s.Expire(at(2), listed), 1)
	require.True(t, isAvoided(&s, at(2), "a"))
	s.Forget("a")
	require.True(t, s.IsEmpty())
}
