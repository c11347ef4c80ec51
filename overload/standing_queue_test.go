package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/overload"
)

func TestDurationStartsWhenQueueBecomesNonEmpty(t *testing.T) {
	t.Parallel()
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s overload.StandingQueue
	require.Zero(t, s.Duration(at(0)))
	s.Observe(at(10), false)
	s.Observe(at(20), false)
	require.Equal(t, 30*time.Millisecond, s.Duration(at(40)))
	s.Observe(at(50), true)
	require.Zero(t, s.Duration(at(60)))
	s.Observe(at(70), false)
	require.Equal(t, 10*time.Millisecond, s.Duration(at(80)))
}
