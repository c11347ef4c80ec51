package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/overload"
)

// Guards against a Shedder or Detector that never recovers after waits of any length, or
// that panics once all accounts have expired.
func TestShedderSurvivesAnyWait(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var s overload.Shedder[string]
		var d overload.Detector
		now := time.Unix(1_800_000_000, 0)
		t.Repeat(map[string]func(*rapid.T){
			"observe": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				wait := rapid.SampledFrom([]time.Duration{-time.Hour, 0, time.Millisecond, 50 * time.Millisecond, time.Hour, 1 << 62}).Draw(t, "wait")
				s.Observe(now, wait)
				d.Observe(now, wait)
			},
			"request": func(t *rapid.T) { s.Admit(now, rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account")) },
			"admission": func(t *rapid.T) {
				a := s.Admission()
				require.True(t, a.Rate > 0 && a.Rate <= 1, "%v", a.Rate)
				require.LessOrEqual(t, a.Admitted, a.Requests)
			},
		})
		for range 60 * 20 { // one minute without waits
			now = now.Add(50 * time.Millisecond)
			s.Observe(now, 0)
			d.Observe(now, 0)
		}
		require.False(t, s.IsShedding())
		require.False(t, d.IsOverloaded())
		require.True(t, s.Admit(now, "a"))
	})
}
