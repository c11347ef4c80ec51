package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/admission"
)

const linePatience = 125 * time.Millisecond

// One account sends a thousand requests per second to one router and gets sixty turns.
// Without a limit more than a hundred would wait at any time, nearly all in vain, and the
// router would keep every other caller waiting for seconds.
func TestFloodIsRefusedBeforeItWaits(t *testing.T) {
	t.Parallel()
	var lines admission.QueueLimiter[string]
	now := time.Unix(0, 0)
	type waiting struct{ since time.Time }
	var queue []waiting
	longest, refused := 0, 0
	for i := range 3000 {
		now = now.Add(time.Millisecond)
		if retryAfter, isFull := lines.IsFull(now, "flood", linePatience); isFull {
			require.GreaterOrEqual(t, retryAfter, 100*time.Millisecond)
			refused++
		} else {
			lines.Enter(now, "flood")
			queue = append(queue, waiting{now})
		}
		if i%16 == 0 && len(queue) > 0 {
			lines.Leave(now, "flood", true)
			queue = queue[1:]
		}
		for len(queue) > 0 && now.Sub(queue[0].since) > linePatience {
			lines.Leave(now, "flood", false)
			queue = queue[1:]
		}
		longest = max(longest, len(queue))
	}
	require.LessOrEqual(t, longest, 40)
	require.Greater(t, refused, 1500)
	_, isFull := lines.IsFull(now, "other", linePatience)
	require.False(t, isFull)
}

// Nearly every request of a flood is refused at once by the router that grants turns, and
// never waits. Asking for each of them would cost a small router more than the requests
// that it serves.
func TestFloodAsksAtALimitedRate(t *testing.T) {
	t.Parallel()
	var lines admission.QueueLimiter[string]
	now := time.Unix(0, 0)
	asks, starts := 0, 0
	for range 3000 {
		now = now.Add(time.Millisecond)
		if _, isFull := lines.IsFull(now, "flood", linePatience); isFull {
			continue
		}
		asks++
		hasTurn := asks%8 == 0
		lines.Enter(now, "flood")
		lines.Leave(now, "flood", hasTurn)
		if hasTurn {
			starts++
		}
	}
	require.Less(t, asks, 600)
	require.Greater(t, starts, 30)
}

// An account's burst finds idle engines and every request gets its turn. None may be
// refused because many arrive at once.
func TestServedBurstIsNotRefused(t *testing.T) {
	t.Parallel()
	var lines admission.QueueLimiter[string]
	now := time.Unix(0, 0)
	for range 500 {
		now = now.Add(time.Millisecond)
		_, isFull := lines.IsFull(now, "burst", linePatience)
		require.False(t, isFull)
		lines.Enter(now, "burst")
		lines.Leave(now, "burst", true)
	}
}
