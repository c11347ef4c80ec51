package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
)

var machineRouters = []fleet.RouterID{"", "r0", "r1", "r2", "r3"}

// Guards against a panic, and against an update that is fetched from no source, because
// sources are added and removed during calls.
func TestSourcesSurviveAnyChange(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var s follow.Sources
		now := time.Unix(1_800_000_000, 0)
		router := func(t *rapid.T) fleet.RouterID { return rapid.SampledFrom(machineRouters).Draw(t, "router") }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			},
			"announce": func(t *rapid.T) { s.Announce(router(t), rapid.Uint64().Draw(t, "version")) },
			"forget":   func(t *rapid.T) { s.Forget(router(t)) },
			"next":     func(t *rapid.T) { s.Next(now, rapid.Uint64().Draw(t, "held")) },
			"end":      func(t *rapid.T) { s.End(router(t)) },
		})
		for _, r := range machineRouters {
			s.End(r)
			s.Forget(r)
		}
		none, _ := s.Next(now, 0)
		require.Empty(t, none, "no source is left")
		s.Announce("r9", 7)
		called, _ := s.Next(now.Add(time.Second), 0)
		require.Equal(t, fleet.RouterID("r9"), called)
	})
}

// Guards against a fleet in which no router follows the store after routers have left.
func TestSomeRouterFollowsAfterOthersLeave(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "routers")
		all := groups(size)
		for id, g := range all {
			for other := range all {
				if other != id {
					g.SetPeerStatus(other, follow.Status{Follows: rapid.Bool().Draw(t, "follows"), StoreLost: rapid.Bool().Draw(t, "lost")})
				}
			}
		}
		for id := range all {
			if len(all) > 1 && rapid.Bool().Draw(t, "leaves") {
				delete(all, id)
			}
		}
		following := 0
		for id, g := range all {
			g.SetRouters(except(all, id))
			if g.OwnStatus().Follows {
				following++
				require.Zero(t, g.PollInterval())
			}
		}
		require.Positive(t, following)
	})
}
