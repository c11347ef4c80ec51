package deployment_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/deployment"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// newStateWith returns a state with a service and upstreams.
func newStateWith(upstreams ...*schema.UpstreamChange) *stateWithPool {
	s := &stateWithPool{node: newUnconnectedNode("r1")}
	s.state.Configure(testConfiguration(1), "test")
	s.state.ApplyUpstreamsFromPeer(&schema.Knowledge{Upstreams: upstreams}, "test")
	return s
}

type stateWithPool struct{ *node }

// entryOf returns an entry of the upstream that the tests are about.
func entryOf(life int64, revision uint64) *schema.UpstreamChange {
	return &schema.UpstreamChange{Id: "u", Service: "s", Address: "10.0.0.1:80", Slots: 8, Life: life, Revision: revision}
}

func upstreamOf(life registry.StartTime) registry.Upstream {
	return registry.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", Slots: 8, StartTime: life}
}

func (s *stateWithPool) hears(from fleet.RouterID, id string, life int64) {
	s.mesh.Receive(from, &schema.Batch{LeavingUpstreams: []*schema.UpstreamLife{{Id: id, Life: life}}})
}

func (s *stateWithPool) isUsed(life registry.StartTime) bool {
	_, used := s.state.Pool("s").Upstream(turn.Instance{ID: "u", StartTime: life})
	return used
}

// Guards against a leaving upstream that gets requests until each router has heard it itself, and against one of another start
// that is taken for it.
func TestLeavingIsLearntFromAnotherRouter(t *testing.T) {
	t.Parallel()
	s := newStateWith(entryOf(7, 3))
	s.hears("r2", "unknown", 7)
	s.hears("r2", "u", 6)
	require.True(t, s.isUsed(7))
	s.hears("r2", "u", 7)
	require.False(t, s.isUsed(7))
	_, avoided := s.state.Avoided(time.Now(), upstreamOf(7))
	require.True(t, avoided)

	s.state.ApplyUpstreamsFromPeer(&schema.Knowledge{Upstreams: []*schema.UpstreamChange{entryOf(8, 4)}}, "test")
	require.True(t, s.isUsed(8), "a new start is no longer leaving")
}

// Guards against an upstream without a start time in its entry that is avoided for good, since its next process can't be told
// from the one that was leaving.
func TestUpstreamWithoutAStartTimeIsUsedOnceItRegistersAgain(t *testing.T) {
	t.Parallel()
	s := newStateWith(entryOf(0, 3))
	s.state.RecordLeaving(time.Now(), upstreamOf(0), "request")
	require.False(t, s.isUsed(0))
	gone := entryOf(0, 4)
	gone.Gone = true
	s.state.ApplyUpstreamsFromPeer(&schema.Knowledge{Upstreams: []*schema.UpstreamChange{gone}}, "test")
	s.state.ApplyUpstreamsFromPeer(&schema.Knowledge{Upstreams: []*schema.UpstreamChange{entryOf(0, 5)}}, "test")
	require.True(t, s.isUsed(0))
}

// Guards against a backoff that ends before its time, or takes an upstream out for other reasons than its own word.
func TestBackoffLastsAsLongAsTheUpstreamAskedFor(t *testing.T) {
	t.Parallel()
	s := newStateWith(entryOf(7, 3))
	now := time.Now()
	s.state.RecordBackoff(now, upstreamOf(7), 2*time.Second, "request")
	term, avoided := s.state.Avoided(now.Add(1999*time.Millisecond), upstreamOf(7))
	require.True(t, avoided)
	require.Equal(t, avoidance.Backoff, term.Reason)
	require.LessOrEqual(t, term.Until.Sub(now), 2500*time.Millisecond)
	_, avoided = s.state.Avoided(term.Until, upstreamOf(7))
	require.False(t, avoided)
	require.True(t, s.isUsed(7))
}

// Guards against an upstream that is shut out for long without a line that says so, since its first backoff was short, and
// against a line for each of its refusals.
func TestLongBackoffIsLogged(t *testing.T) {
	t.Parallel()
	var lines bytes.Buffer
	s := deployment.NewState(deployment.StateOptions{Log: slog.New(slog.NewTextHandler(&lines, nil))})
	now := time.Now()
	for range 50 {
		s.RecordBackoff(now, upstreamOf(7), time.Second, "request")
	}
	require.Equal(t, 1, strings.Count(lines.String(), "asks for a backoff"))
	s.RecordBackoff(now, upstreamOf(7), time.Hour, "request")
	require.Equal(t, 2, strings.Count(lines.String(), "asks for a backoff"))
	require.Contains(t, lines.String(), "asked-ms=3600000")
}
