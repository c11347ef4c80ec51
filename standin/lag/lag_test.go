package lag_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/standin/lag"
)

// A reader sees the newest value set at least the delay ago, and until there is
// one the first value, regardless of earlier calls.
func TestReaderSeesNewestVisibleValue(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		delay := time.Duration(rapid.IntRange(0, 5).Draw(t, "lag")) * time.Second
		value := lag.Value[int]{Delay: delay}
		now := time.Unix(1, 0)
		var times []time.Time
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			if rapid.Bool().Draw(t, "set") {
				times = append(times, now)
				value.Set(now, len(times))
			}
			expected := min(1, len(times))
			for i, at := range times {
				if !at.Add(delay).After(now) {
					expected = i + 1
				}
			}
			found, _ := value.Get(now)
			require.Equal(t, expected, found)
		}
	})
}
