package turn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/turn"
)

// newHomePool returns a pool that starts all requests of one engine.
func newHomePool() *turn.Pool {
	p := newPool(1)
	p.SetGrouped(start, true)
	return p
}

// startLongPrompt starts a prompt that takes most of a second to read.
func startLongPrompt(t *testing.T, p *turn.Pool) *turn.Ticket {
	t.Helper()
	ticket, err := p.Submit(start, prompt("a", 1, 101, 20_000))
	require.NoError(t, err)
	require.True(t, isGranted(ticket))
	return ticket
}

// Guards against an engine that stands idle between two prompts: the first event of a
// request arrives long after its prompt has been read. The next prompt has to be sent
// before.
func TestNextPromptIsSentBeforeAFirstEvent(t *testing.T) {
	t.Parallel()
	p := newHomePool()
	startLongPrompt(t, p)
	early, err := p.Submit(start.Add(100*time.Millisecond), prompt("b", 1, 102, 1_000))
	require.NoError(t, err)
	require.False(t, isGranted(early), "the engine has read little of the first prompt")
	late, err := p.Submit(start.Add(700*time.Millisecond), prompt("c", 1, 103, 1_000))
	require.NoError(t, err)
	require.True(t, isGranted(early))
	require.True(t, isGranted(late))
}

// A router that shares its engines with others doesn't know in which order they read the
// prompts of all, so each counts until its first event.
func TestPromptsCountUntilTheirFirstEventWithoutAHome(t *testing.T) {
	t.Parallel()
	p := newPool(1)
	first := startLongPrompt(t, p)
	second, err := p.Submit(start.Add(700*time.Millisecond), prompt("b", 1, 102, 1_000))
	require.NoError(t, err)
	require.False(t, isGranted(second))
	first.RecordFirstEvent(start.Add(800 * time.Millisecond))
	require.True(t, isGranted(second))
}

// Guards against ever more prompts at an engine that is stuck: once a first event is
// overdue, nothing counts as read.
func TestEngineWithAnOverdueFirstEventGetsNothingMore(t *testing.T) {
	t.Parallel()
	p := newHomePool()
	startLongPrompt(t, p)
	second, err := p.Submit(start.Add(1500*time.Millisecond), prompt("b", 1, 102, 1_000))
	require.NoError(t, err)
	require.False(t, isGranted(second))
}
