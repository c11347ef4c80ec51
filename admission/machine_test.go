package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/admission"
)

// Guards against an account that is refused forever once its queue has emptied, after any
// sequence of calls.
func TestEmptiedQueueAdmitsAfterAnySequence(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var limiter admission.QueueLimiter[string]
		now := time.Unix(1_800_000_000, 0)
		key := func(t *rapid.T) string { return rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account") }
		waiting := map[string]int{}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			},
			"enter": func(t *rapid.T) {
				k := key(t)
				limiter.Enter(now, k)
				waiting[k]++
			},
			"leave": func(t *rapid.T) {
				k := key(t)
				if waiting[k] == 0 {
					t.Skip("no request waits")
				}
				limiter.Leave(now, k, rapid.Bool().Draw(t, "started"))
				waiting[k]--
			},
			"full": func(t *rapid.T) {
				patience := rapid.SampledFrom([]time.Duration{-time.Hour, 0, testPatience, 1 << 62}).Draw(t, "patience")
				retryAfter, full := limiter.IsFull(now, key(t), patience)
				require.True(t, !full || retryAfter > 0, "retry without delay")
			},
		})
		for k, count := range waiting {
			for range count {
				limiter.Leave(now, k, false)
			}
			_, full := limiter.IsFull(now.Add(time.Minute), k, testPatience)
			require.False(t, full, "empty queue")
		}
	})
}
