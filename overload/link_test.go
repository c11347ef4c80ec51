package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/overload"
)

// fullLink simulates the link of a small router in virtual time: bodies of callers' requests
// and answers of other routers share a queue.
type fullLink struct {
	detector *overload.Detector
	now      time.Time
	// queued is the time that the link needs for what waits.
	queued time.Duration
}

const (
	linkBytesPerSecond = 10_000_000 / 8
	bodyBytes          = 17_000
)

// run lets requests arrive for a time, unless the router is overloaded and shedsCallers is
// set, when the load balancer brings them to another one.
func (l *fullLink) run(requestsPerSecond float64, shedsCallers bool, d time.Duration) (longest time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(sampleInterval) {
		bytes := requestsPerSecond * bodyBytes * sampleInterval.Seconds()
		if shedsCallers && l.detector.IsOverloaded() {
			bytes = 0
		}
		l.queued += time.Duration(bytes / linkBytesPerSecond * float64(time.Second))
		l.queued = max(l.queued-sampleInterval, 0)
		l.detector.Observe(l.now, l.queued)
		longest = max(longest, l.queued)
	}
	return longest
}

// One account's callers, all brought to one router, send a third more than its link of 10
// Mbit/s carries. Answers of other routers wait behind the bodies, for half a second and more:
// requests ask in vain for their turns, and callers wait. The router has processor time to
// spare, so only the delay of the answers shows it.
func TestRouterWithAFullLinkSendsCallersElsewhere(t *testing.T) {
	t.Parallel()
	for _, shedsCallers := range []bool{false, true} {
		l := &fullLink{detector: overload.NewLinkDetector(), now: time.Unix(1_800_000_000, 0)}
		longest := l.run(100, shedsCallers, 10*time.Second)
		require.True(t, l.detector.IsOverloaded())
		if !shedsCallers {
			require.Greater(t, longest, 2*time.Second)
			continue
		}
		require.Less(t, longest, 500*time.Millisecond, "asks time out")
		l.run(0, true, 30*time.Second)
		require.False(t, l.detector.IsOverloaded())
	}
}

// A link that carries what callers send, with bursts of a tenth of a second, isn't full.
func TestBusyLinkIsNotFull(t *testing.T) {
	t.Parallel()
	l := &fullLink{detector: overload.NewLinkDetector(), now: time.Unix(1_800_000_000, 0)}
	for range 50 {
		l.run(120, true, 2*sampleInterval)
		l.run(20, true, 2*sampleInterval)
		require.False(t, l.detector.IsOverloaded())
	}
}
