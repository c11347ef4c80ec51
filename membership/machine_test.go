package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/membership"
)

// Guards against a panic, and against a lone router that dispatches nothing, after the other
// routers have left and returned in any order.
func TestMembersSurviveAnyChange(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := membership.New(membership.Options{Self: "self"})
		now := start
		router := func(t *rapid.T) fleet.RouterID {
			return rapid.SampledFrom([]fleet.RouterID{"", "a", "b", "c"}).Draw(t, "router")
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "s")) * time.Second)
				m.Tick(now)
			},
			"list": func(t *rapid.T) {
				var listed []membership.ListedRouter
				for range rapid.IntRange(0, 4).Draw(t, "count") {
					listed = append(listed, membership.ListedRouter{ID: router(t), Address: "x", Leaving: rapid.Bool().Draw(t, "leaving")})
				}
				m.SetList(now, listed)
			},
			"connected":    func(t *rapid.T) { m.SetConnected(now, router(t), "x") },
			"disconnected": func(t *rapid.T) { m.SetDisconnected(now, router(t)) },
			"leave":        func(t *rapid.T) { m.SetLeaving(now, router(t), rapid.Bool().Draw(t, "leaving")) },
			"": func(*rapid.T) {
				m.Dispatchers(now)
				m.Addresses()
				m.All(now)
				require.Positive(t, m.PollInterval(0))
			},
		})
		for _, id := range routers("a", "b", "c", "") {
			m.SetDisconnected(now, id)
		}
		m.SetList(now, nil)
		now = now.Add(time.Hour)
		m.Tick(now)
		require.Equal(t, routers("self"), m.Dispatchers(now))
	})
}
