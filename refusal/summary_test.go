package refusal_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
)

var start = time.Unix(1_800_000_000, 0)

// add adds count refusals and returns how many of them were not summed.
func add(s *refusal.Summary, now time.Time, kind refusal.Kind, count int) int {
	logged := 0
	for i := range count {
		if !s.Add(now, kind, fleet.RequestID(fmt.Sprint(i)), time.Duration(i)) {
			logged++
		}
	}
	return logged
}

func TestRefusalsBeyondTheBoundOfASecondAreSummed(t *testing.T) {
	t.Parallel()
	var s refusal.Summary
	kind := refusal.Kind{Reason: refusal.RouterOverloaded, Account: "a", Route: "r"}
	logged := add(&s, start, kind, 2000)
	require.Equal(t, 50, logged)
	sums := s.Take()
	require.Len(t, sums, 1)
	require.Equal(t, kind, sums[0].Kind)
	require.Equal(t, 1950, sums[0].Count)
	require.Equal(t, []fleet.RequestID{"50", "51", "52"}, sums[0].FirstIDs)
	require.Equal(t, time.Duration(1999), sums[0].LongestWait)
	require.Empty(t, s.Take())
	require.Equal(t, 50, add(&s, start.Add(time.Second), kind, 100), "each second has its own limit")
}

// Guards against memory that grows with the accounts and routes in a flood.
func TestKindsOfRefusalsAreBounded(t *testing.T) {
	t.Parallel()
	var s refusal.Summary
	for i := range 10_000 {
		kind := refusal.Kind{Reason: refusal.NoUpstream, Account: fleet.AccountID(fmt.Sprint(i))}
		s.Add(start, kind, "id", 0)
	}
	sums := s.Take()
	require.LessOrEqual(t, len(sums), 65)
	total := 0
	for _, sum := range sums {
		total += sum.Count
	}
	require.Equal(t, 9_950, total)
}

// Guards against callers that fill the memory of sums with long ids.
func TestLongIDsAreCutOffInSums(t *testing.T) {
	t.Parallel()
	var s refusal.Summary
	for range 51 {
		s.Add(start, refusal.Kind{}, fleet.RequestID(strings.Repeat("x", 16<<10)), 0)
	}
	require.Less(t, len(s.Take()[0].FirstIDs[0]), 100)
}
