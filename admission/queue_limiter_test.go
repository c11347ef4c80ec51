package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/admission"
)

const testPatience = 125 * time.Millisecond

// One account sends a thousand requests per second to one router and gets sixty turns.
// Without a limit more than a hundred would wait at any time, nearly all to be refused, and
// the router would delay every other caller by seconds.
func TestFloodIsRefusedBeforeItWaits(t *testing.T) {
	t.Parallel()
	var limiter admission.QueueLimiter[string]
	now := time.Unix(0, 0)
	type waiting struct{ since time.Time }
	var queue []waiting
	longest, refused := 0, 0
	for i := range 3000 {
		now = now.Add(time.Millisecond)
		if retryAfter, isFull := limiter.IsFull(now, "flood", testPatience); isFull {
			require.GreaterOrEqual(t, retryAfter, 100*time.Millisecond)
			refused++
		} else {
			limiter.Enter(now, "flood")
			queue = append(queue, waiting{now})
		}
		if i%16 == 0 && len(queue) > 0 {
			limiter.Leave(now, "flood", true)
			queue = queue[1:]
		}
		for len(queue) > 0 && now.Sub(queue[0].since) > testPatience {
			limiter.Leave(now, "flood", false)
			queue = queue[1:]
		}
		longest = max(longest, len(queue))
	}
	require.LessOrEqual(t, longest, 40)
	require.Greater(t, refused, 1500)
	_, isFull := limiter.IsFull(now, "other", testPatience)
	require.False(t, isFull)
}

// Nearly every request of a flood is refused at once by the router that grants turns, and
// never waits. Asking for turns for all of them would cost a small router more than the
// requests that it serves.
func TestFloodAsksAtALimitedRate(t *testing.T) {
	t.Parallel()
	var limiter admission.QueueLimiter[string]
	now := time.Unix(0, 0)
	asks, starts := 0, 0
	for range 3000 {
		now = now.Add(time.Millisecond)
		if _, isFull := limiter.IsFull(now, "flood", testPatience); isFull {
			continue
		}
		asks++
		hasTurn := asks%8 == 0
		limiter.Enter(now, "flood")
		limiter.Leave(now, "flood", hasTurn)
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
	var limiter admission.QueueLimiter[string]
	now := time.Unix(0, 0)
	for range 500 {
		now = now.Add(time.Millisecond)
		_, isFull := limiter.IsFull(now, "burst", testPatience)
		require.False(t, isFull)
		limiter.Enter(now, "burst")
		limiter.Leave(now, "burst", true)
	}
}
