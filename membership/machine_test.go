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
func TestMembersOutliveAnyChange(t *testing.T) {
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
				var listed []membership.Listed
				for range rapid.IntRange(0, 4).Draw(t, "count") {
					listed = append(listed, membership.Listed{ID: router(t), Address: "x", Leaving: rapid.Bool().Draw(t, "leaving")})
				}
				m.List(now, listed)
			},
			"connected":    func(t *rapid.T) { m.Connected(now, router(t), "x") },
			"disconnected": func(t *rapid.T) { m.Disconnected(now, router(t)) },
			"leave":        func(t *rapid.T) { m.Leave(now, router(t), rapid.Bool().Draw(t, "leaving")) },
			"": func(*rapid.T) {
				m.Dispatchers(now)
				m.Targets()
				m.All(now)
				require.Positive(t, m.PollInterval(0))
			},
		})
		for _, id := range routers("a", "b", "c", "") {
			m.Disconnected(now, id)
		}
		m.List(now, nil)
		now = now.Add(time.Hour)
		m.Tick(now)
		require.Equal(t, routers("self"), m.Dispatchers(now))
	})
}
