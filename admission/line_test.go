package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/admission"
)

const linePatience = 125 * time.Millisecond

// One account sends a thousand requests a second to one router and gets sixty
// turns. Without a bound a hundred and more wait at any time, all but a few in vain;
// the router is busy with them, and every other caller there waits for seconds.
func TestFloodIsRefusedBeforeItWaits(t *testing.T) {
	t.Parallel()
	var lines admission.Lines[string]
	now := time.Unix(0, 0)
	type waiting struct{ since time.Time }
	var queue []waiting
	most, full := 0, 0
	for i := range 3000 {
		now = now.Add(time.Millisecond)
		if after, isFull := lines.IsFull(now, "flood", linePatience); isFull {
			require.GreaterOrEqual(t, after, 100*time.Millisecond)
			full++
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
		most = max(most, len(queue))
	}
	require.LessOrEqual(t, most, 40)
	require.Greater(t, full, 1500)
	_, isFull := lines.IsFull(now, "other", linePatience)
	require.False(t, isFull)
}

// Nearly all of a flood is refused at once by who gives the turns, and never waits.
// Asking for each of them takes more of a small router than what it serves.
func TestFloodAsksSeldom(t *testing.T) {
	t.Parallel()
	var lines admission.Lines[string]
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

// A burst of an account finds engines free. All of its requests get their turns,
// and none is refused because many came at once.
func TestBurstThatIsServedIsNotRefused(t *testing.T) {
	t.Parallel()
	var lines admission.Lines[string]
	now := time.Unix(0, 0)
	for range 500 {
		now = now.Add(time.Millisecond)
		_, isFull := lines.IsFull(now, "burst", linePatience)
		require.False(t, isFull)
		lines.Enter(now, "burst")
		lines.Leave(now, "burst", true)
	}
}
