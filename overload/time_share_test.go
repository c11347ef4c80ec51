package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/overload"
)

// Guards against work that counts for ever, or only once it has taken the processor for long.
func TestTimeShareIsThatOfTheLastMoments(t *testing.T) {
	t.Parallel()
	var s overload.TimeShare
	now := time.Unix(0, 0)
	require.Zero(t, s.At(now))
	play := func(spent, idle time.Duration) {
		for range 500 {
			now = now.Add(spent + idle)
			s.Add(now, spent)
		}
	}
	play(time.Millisecond, 9*time.Millisecond)
	require.InDelta(t, 0.1, s.At(now), 0.01)
	play(4*time.Millisecond, time.Millisecond)
	require.InDelta(t, 0.8, s.At(now), 0.05)
	require.Less(t, s.At(now.Add(2*time.Second)), 0.05)
}
