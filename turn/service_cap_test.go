package turn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/turn"
)

// servedNextToThrottled simulates ten seconds in which an account sends a request of about
// 20,000 tokens every 10 ms. In the second half another account is served servedPerSecond
// tokens, and its router sheds shedPerSecond. It returns how many requests of the first
// account were served in the last two seconds.
func servedNextToThrottled(servedPerSecond, shedPerSecond float64) int {
	const step = 10 * time.Millisecond
	p := newPool(60)
	now := start
	dueTokens, served := 0.0, 0
	for i := range 1000 {
		now = now.Add(step)
		if i >= 500 {
			p.RecordShed(now, "held-back", shedPerSecond*step.Seconds())
			dueTokens += servedPerSecond * step.Seconds()
		}
		own := prompt("held-back", uint64(i%40), uint64(i)|1<<40, 10_000)
		for size := turn.Cost(own.Input, own.Output); dueTokens >= size; dueTokens -= size {
			runToEnd(p, now, own)
		}
		if runToEnd(p, now, prompt("asking", uint64(i%40), uint64(i)|1<<41, 10_000)) && i >= 800 {
			served++
		}
	}
	return served
}

// runToEnd asks for a turn and ends it at once. It reports whether the turn was granted.
func runToEnd(p *turn.Pool, now time.Time, r turn.Request) bool {
	ticket, err := p.Submit(now, r)
	if err != nil {
		return false
	}
	if !isGranted(ticket) {
		_ = ticket.Cancel(now) // the refusal doesn't matter here
		return false
	}
	ticket.RecordFirstEvent(now)
	ticket.End(now, turn.Served)
	return true
}

// Idle engines serve any account, but not more than about 1.7 times the service of an
// account whose router refuses most of its requests.
func TestServiceIsCappedNextToThrottledAccount(t *testing.T) {
	t.Parallel()
	const all = 200
	for _, c := range []struct {
		name                           string
		servedPerSecond, shedPerSecond float64
		least, most                    int
	}{
		{"its router refuses nothing", 600_000, 0, all, all},
		{"its router refuses a small part", 600_000, 200_000, all, all},
		{"its router refuses most", 600_000, 4_000_000, 80, 120},
		// A router that sheds everything leaves the others a quarter of their share; here
		// two accounts each ask for the whole peak service.
		{"its router refuses all", 0, 4_000_000, 20, 40},
		// It asks for less than the others get in any case.
		{"it asks for little, and its router refuses all", 0, 30_000, all, all},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			served := servedNextToThrottled(c.servedPerSecond, c.shedPerSecond)
			require.GreaterOrEqual(t, served, c.least)
			require.LessOrEqual(t, served, c.most)
		})
	}
}

// Guards against a lost answer when a stream breaks at its engine after its account has
// reached its service cap. The caller has a part of the answer, so the request must
// continue elsewhere at once.
func TestBrokenStreamContinuesAboveServiceCap(t *testing.T) {
	t.Parallel()
	p := newPool(60)
	now := start
	p.RecordShed(now, "held-back", 4_000_000)
	var refused *turn.RefusedError
	for i := range uint64(20) {
		if _, err := p.Submit(now, prompt("asking", i, i|1<<40, 10_000)); err != nil {
			require.ErrorAs(t, err, &refused)
			break
		}
	}
	require.NotNil(t, refused)
	require.True(t, refused.Capped)
	again := prompt("asking", 30, 1<<41, 10_000)
	again.Tried = []turn.Instance{{ID: "e0", StartTime: 1}}
	ticket, err := p.Submit(now, again)
	require.NoError(t, err)
	require.True(t, isGranted(ticket))
}
