package turn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/turn"
)

// servedBeside plays ten seconds in which an account asks for a request of some 20,000
// tokens each 10 ms. In the second half another account gets some tokens a second, and its
// router tells how many it refused. It returns how many requests the first one got in the
// last two seconds.
func servedBeside(got, refused float64) int {
	const step = 10 * time.Millisecond
	p := pool(60)
	now := start
	due, served := 0.0, 0
	for i := range 1000 {
		now = now.Add(step)
		if i >= 500 {
			p.Shed(now, "held-back", refused*step.Seconds())
			due += got * step.Seconds()
		}
		own := prompt("held-back", uint64(i%40), uint64(i)|1<<40, 10_000)
		for size := turn.Cost(own.Input, own.Output); due >= size; due -= size {
			run(p, now, own)
		}
		if run(p, now, prompt("asking", uint64(i%40), uint64(i)|1<<41, 10_000)) && i >= 800 {
			served++
		}
	}
	return served
}

// run asks for a turn and ends it at once. It reports whether the turn was given.
func run(p *turn.Pool, now time.Time, d turn.Demand) bool {
	ticket, err := p.Ask(now, d)
	if err != nil {
		return false
	}
	if !started(ticket) {
		_ = ticket.GiveUp(now) // it is refused either way
		return false
	}
	ticket.First(now)
	ticket.End(now, turn.Served)
	return true
}

// Idle engines serve whoever asks, but nobody more than some 1.7 times what an account gets
// that its router refuses most of the time.
func TestServiceBesideAnAccountThatItsRouterHoldsBack(t *testing.T) {
	t.Parallel()
	const all = 200
	for _, c := range []struct {
		name         string
		got, refused float64
		least, most  int
	}{
		{"its router refuses nothing", 600_000, 0, all, all},
		{"its router refuses a small part", 600_000, 200_000, all, all},
		{"its router refuses most", 600_000, 4_000_000, 80, 120},
		// A router that passes nothing on leaves the others a quarter of their share, here of
		// two accounts that each ask for all that the engines did.
		{"its router refuses all", 0, 4_000_000, 20, 40},
		// What it asked for is less than what others get in any case.
		{"it asks for little, and its router refuses all", 0, 30_000, all, all},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			served := servedBeside(c.got, c.refused)
			require.GreaterOrEqual(t, served, c.least)
			require.LessOrEqual(t, served, c.most)
		})
	}
}

// A stream broke off at its engine while its account had got enough beside one that is held
// back. Its caller has a part of the answer, so it goes on elsewhere at once.
func TestStreamThatBrokeOffGoesOnThoughItsAccountGotEnough(t *testing.T) {
	t.Parallel()
	p := pool(60)
	now := start
	p.Shed(now, "held-back", 4_000_000)
	var refused *turn.RefusedError
	for i := range uint64(20) {
		if _, err := p.Ask(now, prompt("asking", i, i|1<<40, 10_000)); err != nil {
			require.ErrorAs(t, err, &refused)
			break
		}
	}
	require.NotNil(t, refused)
	require.True(t, refused.Held)
	again := prompt("asking", 30, 1<<41, 10_000)
	again.Tried = []turn.Instance{{ID: "e0", Life: 1}}
	ticket, err := p.Ask(now, again)
	require.NoError(t, err)
	require.True(t, started(ticket))
}
