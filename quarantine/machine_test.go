package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// longestTerm is the longest time for which users accept that a request is refused at once.
const longestTerm = 24 * time.Hour

// Guards against a panic, or a request that is refused for longer than a day at once,
// because of reports from other routers.
func TestTrackerSurvivesAnyReport(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var tracker quarantine.Tracker
		now := epoch
		request := func(t *rapid.T) quarantine.Fingerprint {
			return quarantine.Fingerprint(rapid.Uint64Range(0, 3).Draw(t, "request"))
		}
		length := func(t *rapid.T, name string) time.Duration {
			return rapid.SampledFrom([]time.Duration{-time.Hour, 0, time.Millisecond, time.Second, time.Hour, 1 << 62}).Draw(t, name)
		}
		crash := func(t *rapid.T) quarantine.Crash {
			return quarantine.Crash{
				Request: request(t), Upstream: turn.Instance{ID: rapid.SampledFrom([]fleet.UpstreamID{"", "a", "b", "c"}).Draw(t, "upstream"), StartTime: registry.StartTime(rapid.Int64().Draw(t, "life"))},
				StartedAgo: length(t, "started"), CrashedAgo: length(t, "crashed"), ServedAgo: length(t, "served"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "ms")) * time.Millisecond)
			},
			"served":  func(t *rapid.T) { tracker.RecordServed(now, request(t)) },
			"crashed": func(t *rapid.T) { tracker.RecordCrash(now, crash(t)) },
			"report":  func(t *rapid.T) { tracker.CountCrash(now, crash(t)) },
			"receive": func(t *rapid.T) {
				tracker.ApplyVerdict(now, quarantine.Verdict{
					Request: request(t), Status: quarantine.Status(rapid.IntRange(-1, 5).Draw(t, "standing")),
					FirstCrashAgo: length(t, "first crash"), Term: length(t, "term"), Remaining: length(t, "left"),
				})
			},
			"restore": func(t *rapid.T) {
				tracker.Restore(now, []quarantine.Entry{{Request: request(t), Until: now.Add(length(t, "until")), Term: length(t, "term")}})
			},
			"": func(t *rapid.T) {
				for known := range quarantine.Fingerprint(4) {
					require.LessOrEqual(t, tracker.RefusedFor(now, known), longestTerm)
				}
			},
		})
	})
}
