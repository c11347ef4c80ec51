package outlier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/outlier"
)

// Guards against an upstream that is never probed again, or a panic, because upstreams
// leave and return between outcomes.
func TestDetectorSurvivesAnyChange(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var d outlier.Detector[int]
		now := start
		upstream := func(t *rapid.T) int { return rapid.IntRange(0, 4).Draw(t, "upstream") }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"success": func(t *rapid.T) { d.RecordSuccess(now, upstream(t)) },
			"hold":    func(t *rapid.T) { d.Hold(upstream(t), now.Add(2*time.Second)) },
			"soft":    func(t *rapid.T) { d.RecordFailure(now, upstream(t), outlier.Soft) },
			"hard":    func(t *rapid.T) { d.RecordFailure(now, upstream(t), outlier.Hard) },
			"send":    func(t *rapid.T) { d.RecordSend(now, upstream(t)) },
			"retain":  func(t *rapid.T) { d.Retain(map[int]bool{upstream(t): true}) },
			"empty":   func(*rapid.T) { d.Retain(nil) },
		})
		for key := range 5 {
			require.True(t, d.Usable(now.Add(10*time.Second), key), "usable again once the ejection is over")
		}
	})
}
