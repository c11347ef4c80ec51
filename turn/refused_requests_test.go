package turn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/turn"
)

// saturate fills the only engine of a home and queues prompts of the same account behind it.
func saturate(t *testing.T, p *turn.Pool, waiting int) []*turn.Ticket {
	t.Helper()
	startLongPrompt(t, p)
	tickets := make([]*turn.Ticket, waiting)
	for i := range tickets {
		r := prompt("a", 1, uint64(200+i), 12_000)
		r.Patience = time.Hour
		ticket, err := p.Submit(start.Add(time.Millisecond), r)
		require.NoError(t, err)
		tickets[i] = ticket
	}
	return tickets
}

// Callers that were refused return once. Guards against a caller that is refused again since
// newcomers of its own account are before it. An account with less service still goes first.
func TestReturningRequestGoesBeforeNewcomersOfItsAccount(t *testing.T) {
	t.Parallel()
	p := newHomePool()
	newcomers := saturate(t, p, 4)
	r := prompt("a", 1, 900, 12_000)
	_, err := p.Submit(start.Add(2*time.Millisecond), r)
	var refused *turn.RefusedError
	require.ErrorAs(t, err, &refused)

	returned, err := p.Submit(start.Add(200*time.Millisecond), r)
	require.NoError(t, err, "a request that returns isn't refused at once")
	require.False(t, isGranted(returned))
	other, err := p.Submit(start.Add(201*time.Millisecond), prompt("c", 1, 901, 1_000))
	require.NoError(t, err)
	p.SetUpstreams(start.Add(740*time.Millisecond), newEngines(1), target) // starts what has room
	require.True(t, isGranted(other), "an account without service goes first")
	p.SetUpstreams(start.Add(850*time.Millisecond), newEngines(1), target)
	require.True(t, isGranted(returned))
	for _, ticket := range newcomers {
		require.False(t, isGranted(ticket))
	}
}

// A refusal is forgotten after the time in which callers return, and when it has served.
func TestRefusedRequestIsRememberedOnceAndForAWhile(t *testing.T) {
	t.Parallel()
	for _, returnsAfter := range []time.Duration{200 * time.Millisecond, 5 * time.Second} {
		p := newHomePool()
		saturate(t, p, 4)
		r := prompt("a", 1, 900, 12_000)
		_, err := p.Submit(start.Add(2*time.Millisecond), r)
		require.Error(t, err)
		_, err = p.Submit(start.Add(returnsAfter), r)
		if returnsAfter > 4*time.Second {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		_, err = p.Submit(start.Add(returnsAfter), r)
		require.Error(t, err)
	}
}
