package warmup_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/warmup"
)

var epoch = time.Unix(1_800_000_000, 0)

// An upstream joins while hundreds of requests wait. Without a ramp it would get a full
// batch before its first answer, and all of these would be lost if it can't answer.
func TestJoiningUpstreamIsNotFlooded(t *testing.T) {
	t.Parallel()
	var ramp warmup.Ramp
	require.Equal(t, 2, ramp.Allow(epoch, 64))
	require.Equal(t, 2, ramp.Allow(epoch.Add(30*time.Second), 64))
	inFlight := 0
	rounds := 0
	for inFlight < 64 {
		inFlight = ramp.Allow(epoch, 64)
		for range inFlight {
			ramp.AnswerBegan()
		}
		rounds++
	}
	require.Equal(t, 6, rounds)
}

func TestQuietUpstreamIsWarmAfterAMinute(t *testing.T) {
	t.Parallel()
	var ramp warmup.Ramp
	ramp.Allow(epoch, 64)
	require.Equal(t, 64, ramp.Allow(epoch.Add(time.Minute), 64))
}

// An upstream fails and recovers. If it got its former share at once, the queued requests
// would overload it again.
func TestRecoveredUpstreamIsNotFlooded(t *testing.T) {
	t.Parallel()
	var ramp warmup.Ramp
	ramp.Allow(epoch, 64)
	require.Equal(t, 64, ramp.Allow(epoch.Add(time.Minute), 64))
	now := epoch.Add(2 * time.Minute)
	for range 64 {
		ramp.RequestEnded(now, dispatch.Failed)
	}
	require.Zero(t, ramp.Allow(now, 64), "closed")
	require.Equal(t, now.Add(time.Second), ramp.OpensAt(), "failures of one burst close it once")
	now = ramp.OpensAt()
	require.Equal(t, 1, ramp.Allow(now, 64), "one request as a trial")
	ramp.AnswerBegan()
	require.Equal(t, 3, ramp.Allow(now, 64), "a new ramp")
}

func TestBackOffDoublesUpToTenSeconds(t *testing.T) {
	t.Parallel()
	var ramp warmup.Ramp
	now := epoch
	var waits []time.Duration
	for range 3 + 5 {
		ramp.RequestEnded(now, dispatch.Failed)
		if ramp.OpensAt().After(now) {
			waits = append(waits, ramp.OpensAt().Sub(now))
			now = ramp.OpensAt()
		}
	}
	require.Equal(t, []time.Duration{1e9, 2e9, 4e9, 8e9, 10e9, 10e9}, waits)
}

func TestSingleFailuresDoNotClose(t *testing.T) {
	t.Parallel()
	var ramp warmup.Ramp
	for range 10 {
		ramp.RequestEnded(epoch, dispatch.Failed)
		ramp.RequestEnded(epoch, dispatch.Failed)
		ramp.AnswerBegan()
	}
	require.Equal(t, 12, ramp.Allow(epoch, 64))
}
