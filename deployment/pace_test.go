package deployment_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/deployment"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// Guards against a request that waits beside a slow upstream for longer than its statement lasts, since nothing else
// happens, and against a slow upstream without a line in the log, or with one for each answer.
func TestWaitForASlowUpstreamEndsWithItsStatement(t *testing.T) {
	t.Parallel()
	var lines bytes.Buffer
	s := deployment.NewState(deployment.StateOptions{Log: slog.New(slog.NewTextHandler(&lines, nil))})
	s.ApplyUpstreamsFromPeer(&schema.Knowledge{Upstreams: []*schema.UpstreamChange{entryOf(7, 3)}}, "test")
	s.Configure(testConfiguration(1), "test")
	ask := func(input int) home.Ticket {
		ticket, err := s.Turn(t.Context(), "s", turn.Request{Account: "ada", Input: input, Target: 300 * time.Millisecond, Patience: 5 * time.Second})
		require.NoError(t, err)
		return ticket
	}
	for _, slowdown := range []pace.Slowdown{1, 5, 5} {
		ticket := ask(100)
		ticket.RecordLoad(time.Now(), pace.Statement{Slowdown: slowdown})
		ticket.End(time.Now(), turn.Served)
	}
	begin := time.Now()
	ask(5_000)
	require.Greater(t, time.Since(begin), 300*time.Millisecond)
	require.Less(t, time.Since(begin), 2*time.Second)
	ticket, now := ask(100), time.Now()
	for i, slowdown := range []pace.Slowdown{5, 5, 5, 1, 1} {
		ticket.RecordLoad(now.Add(time.Duration(i)*time.Second), pace.Statement{Slowdown: slowdown})
	}
	require.Equal(t, 1, strings.Count(lines.String(), "upstream is slow"))
	require.Equal(t, 1, strings.Count(lines.String(), "works as usual again"))
}
