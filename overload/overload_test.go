package overload_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/overload"
)

// sampleInterval is the time between two samples of a router's load.
const sampleInterval = 50 * time.Millisecond

// simulatedDetector is a Detector with a virtual clock.
type simulatedDetector struct {
	overload.Detector
	now time.Time
}

func (d *simulatedDetector) observe(wait time.Duration, times int) {
	for range times {
		d.now = d.now.Add(sampleInterval)
		d.Observe(d.now, wait)
	}
}

// runUntilRecovered returns how long the router stays overloaded once waits are short.
func (d *simulatedDetector) runUntilRecovered() time.Duration {
	begin := d.now
	for d.IsOverloaded() {
		d.observe(time.Millisecond, 1)
	}
	return d.now.Sub(begin)
}

// A flooded small router does everything some tenths of a second late. It must report
// overload until the load balancer has noticed and the flood is gone. A single pause,
// such as a machine that stalls for a moment, is not overload.
func TestFloodedRouterIsOverloadedUntilItRecovers(t *testing.T) {
	t.Parallel()
	d := simulatedDetector{now: time.Unix(0, 0)}
	d.observe(300*time.Millisecond, 1)
	require.False(t, d.IsOverloaded())
	d.observe(2*time.Millisecond, 20)
	require.False(t, d.IsOverloaded())
	d.observe(300*time.Millisecond, 4)
	require.True(t, d.IsOverloaded())
	d.observe(2*time.Millisecond, 40)
	require.True(t, d.IsOverloaded())
	d.observe(2*time.Millisecond, 20)
	require.False(t, d.IsOverloaded())
}

// The load balancer removes a router that isn't ready and sends the flood back once it
// is. With a fixed hold the flood would return every few seconds, and callers would lose
// their connections each time.
func TestFloodThatReturnsKeepsTheRouterOverloadedForLonger(t *testing.T) {
	t.Parallel()
	d := simulatedDetector{now: time.Unix(0, 0)}
	var holds []time.Duration
	for range 4 {
		d.observe(300*time.Millisecond, 4)
		holds = append(holds, d.runUntilRecovered())
		d.observe(time.Millisecond, 10)
	}
	for i := 1; i < len(holds); i++ {
		require.Greater(t, holds[i], holds[i-1])
	}
	require.Less(t, holds[len(holds)-1], 25*time.Second)

	d.observe(time.Millisecond, 300)
	d.observe(300*time.Millisecond, 4)
	require.Less(t, d.runUntilRecovered(), 3500*time.Millisecond, "a flood long after the last one starts with the shortest hold")
}

func TestQuantile(t *testing.T) {
	t.Parallel()
	buckets := []float64{math.Inf(-1), 0, 0.001, 0.01, 0.1, math.Inf(1)}
	for _, c := range []struct {
		name             string
		counts, previous []uint64
		want             time.Duration
	}{
		{"nothing ran", []uint64{0, 5, 5, 5, 0}, []uint64{0, 5, 5, 5, 0}, 0},
		{"no waits", []uint64{0, 100, 0, 0, 0}, []uint64{0, 0, 0, 0, 0}, 0},
		{"one in ten is late", []uint64{0, 90, 0, 0, 10}, []uint64{0, 0, 0, 0, 0}, 0},
		{"two in ten are late", []uint64{0, 80, 0, 0, 20}, []uint64{0, 0, 0, 0, 0}, 100 * time.Millisecond},
		{"earlier counts are ignored", []uint64{0, 80, 0, 20, 500}, []uint64{0, 0, 0, 0, 500}, 10 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, c.want, overload.Quantile(c.counts, c.previous, buckets))
		})
	}
}

// Goroutines wait for a busy processor while timers still fire in time, so a router that
// measured timer delays would consider itself idle.
func TestWaitsForTheProcessorAreSeen(t *testing.T) {
	t.Parallel()
	var s overload.SchedulingLatency
	s.Wait()
	done := make(chan struct{})
	for range 2000 {
		go func() {
			spin(100 * time.Microsecond)
			done <- struct{}{}
		}()
	}
	for range 2000 {
		<-done
	}
	require.Greater(t, s.Wait(), time.Millisecond)
}

func spin(d time.Duration) {
	for begin := time.Now(); time.Since(begin) < d; {
	}
}
