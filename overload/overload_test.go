package overload_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/overload"
)

// look is how often a router looks at its load.
const look = 50 * time.Millisecond

// player lets a Detector see waits in virtual time.
type player struct {
	overload.Detector
	now time.Time
}

func (p *player) see(wait time.Duration, times int) {
	for range times {
		p.now = p.now.Add(look)
		p.Observe(p.now, wait)
	}
}

// until returns how long the router stays overloaded while waits are short.
func (p *player) until() time.Duration {
	begin := p.now
	for p.IsOverloaded() {
		p.see(time.Millisecond, 1)
	}
	return p.now.Sub(begin)
}

// A small router is flooded, and does everything some tenths of a second late. It
// says so until the balancer has noticed and the flood is gone; a single pause, as
// of a machine that stood still for a moment, is no flood.
func TestFloodedRouterIsOverloadedUntilItRecovers(t *testing.T) {
	t.Parallel()
	p := player{now: time.Unix(0, 0)}
	p.see(300*time.Millisecond, 1)
	require.False(t, p.IsOverloaded())
	p.see(2*time.Millisecond, 20)
	require.False(t, p.IsOverloaded())
	p.see(300*time.Millisecond, 4)
	require.True(t, p.IsOverloaded())
	p.see(2*time.Millisecond, 40)
	require.True(t, p.IsOverloaded())
	p.see(2*time.Millisecond, 20)
	require.False(t, p.IsOverloaded())
}

// The balancer takes a flood away from a router that isn't ready and brings it back
// as soon as it is. With a fixed time the flood would come back every few seconds,
// and its callers would lose their connections each time.
func TestFloodThatReturnsKeepsTheRouterOverloadedForLonger(t *testing.T) {
	t.Parallel()
	p := player{now: time.Unix(0, 0)}
	var held []time.Duration
	for range 4 {
		p.see(300*time.Millisecond, 4)
		held = append(held, p.until())
		p.see(time.Millisecond, 10)
	}
	for i := 1; i < len(held); i++ {
		require.Greater(t, held[i], held[i-1])
	}
	require.Less(t, held[len(held)-1], 25*time.Second)

	p.see(time.Millisecond, 300)
	p.see(300*time.Millisecond, 4)
	require.Less(t, p.until(), 3500*time.Millisecond, "a flood long after the last one is a new one")
}

func TestQuantile(t *testing.T) {
	t.Parallel()
	buckets := []float64{math.Inf(-1), 0, 0.001, 0.01, 0.1, math.Inf(1)}
	for _, c := range []struct {
		name           string
		counts, before []uint64
		want           time.Duration
	}{
		{"nothing ran", []uint64{0, 5, 5, 5, 0}, []uint64{0, 5, 5, 5, 0}, 0},
		{"all at once", []uint64{0, 100, 0, 0, 0}, []uint64{0, 0, 0, 0, 0}, 0},
		{"one in ten is late", []uint64{0, 90, 0, 0, 10}, []uint64{0, 0, 0, 0, 0}, 0},
		{"two in ten are late", []uint64{0, 80, 0, 0, 20}, []uint64{0, 0, 0, 0, 0}, 100 * time.Millisecond},
		{"what was before doesn't count", []uint64{0, 80, 0, 20, 500}, []uint64{0, 0, 0, 0, 500}, 10 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, c.want, overload.Quantile(c.counts, c.before, buckets))
		})
	}
}

// Requests wait for a processor that is taken, while timers fire in time. A router
// that looked at its timers would find itself idle.
func TestWaitsForTheProcessorAreSeen(t *testing.T) {
	t.Parallel()
	var s overload.Scheduling
	s.Wait()
	done := make(chan struct{})
	for range 2000 {
		go func() {
			busy(100 * time.Microsecond)
			done <- struct{}{}
		}()
	}
	for range 2000 {
		<-done
	}
	require.Greater(t, s.Wait(), time.Millisecond)
}

func busy(d time.Duration) {
	for begin := time.Now(); time.Since(begin) < d; {
	}
}
