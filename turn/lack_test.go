package turn_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// Guards against refusals that don't tell what is short, so that nobody knows what to add.
func TestRefusalTellsWhatWasLacking(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		prepare func(p *turn.Pool)
		request turn.Request
		lack    turn.Lack
	}{
		{"no upstream", func(p *turn.Pool) { p.SetUpstreams(start, nil, target) }, prompt("a", 1, 2, 0), turn.LackUpstream},
		{"slots", func(p *turn.Pool) {
			list := newEngines(1)
			list[0].Slots = 1
			p.SetUpstreams(start, list, target)
			_, _ = p.Submit(start, turn.Request{Account: "b", Input: 1, Target: target, Patience: target})
		}, prompt("a", 1, 2, 0), turn.LackSlots},
		{"prefill", func(p *turn.Pool) {
			for i := range uint64(30) {
				_, _ = p.Submit(start, prompt("b", 10+i, 100+i, 20_000))
			}
		}, prompt("a", 1, 2, 20_000), turn.LackPrefill},
		{"cold", func(p *turn.Pool) {
			p.SetColdStart(coldPolicy())
			p.SetUpstreams(start, []registry.Upstream{{ID: "e0", Address: "10.0.0.0:80", Slots: 64, StartTime: 2, ColdUntil: start.Add(target)}}, target)
			for i := range uint64(5) {
				_, _ = p.Submit(start, turn.Request{Account: "b", Input: 1, Target: target, Patience: target, Prefixes: []turn.Prefix{{Hash: i, Tokens: 1}}})
			}
		}, prompt("a", 1, 2, 0), turn.LackCold},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPool(1)
			c.prepare(p)
			ticket, err := p.Submit(start, c.request)
			var refused *turn.RefusedError
			if err == nil {
				require.False(t, isGranted(ticket))
				refused = ticket.Cancel(start)
			} else {
				require.ErrorAs(t, err, &refused)
			}
			require.Equal(t, c.lack, refused.Lack)
		})
	}
}
