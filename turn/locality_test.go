package turn_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/turn"
)

// dataCenters plays data centres with as many engines each and callers that are
// spread unevenly. What an engine can't take is denied.
type dataCenters struct {
	locality []turn.Locality
	// asks is how many requests come to each in a second, capacity how many each serves.
	asks     []int
	capacity float64
	now      time.Time
	random   *rand.Rand
	// load is the requests that came to each of late, and crossed counts those that
	// went to another one of all.
	load         []float64
	crossed, all int
	served       int
}

func newDataCenters(asks []int, capacity float64) *dataCenters {
	return &dataCenters{
		locality: make([]turn.Locality, len(asks)), asks: asks, capacity: capacity, now: time.Unix(0, 0),
		random: rand.New(rand.NewPCG(1, 2)), load: make([]float64, len(asks)),
	}
}

// run plays steps of 10 ms.
func (d *dataCenters) run(duration time.Duration) {
	d.crossed, d.all, d.served = 0, 0, 0
	for range duration / (10 * time.Millisecond) {
		d.now = d.now.Add(10 * time.Millisecond)
		for i := range d.load {
			d.load[i] *= 0.9 // some 0.1 s of requests
		}
		for i, rate := range d.asks {
			for range rate / 100 {
				d.ask(i)
			}
		}
	}
}

func (d *dataCenters) ask(from int) {
	shared := d.random.Uint64()
	near := d.locality[from].IsNear(shared)
	to := from
	if !near {
		to = d.random.IntN(len(d.asks))
	}
	d.load[to]++
	denied := d.random.Float64() > d.capacity/10/d.load[to]
	d.locality[from].Observe(d.now, near, denied)
	d.all++
	if to != from {
		d.crossed++
	}
	if !denied {
		d.served++
	}
}

// Callers are spread evenly, and each data centre's engines do for them. By hashing
// over all engines three prompts of four would cross between data centres.
func TestPromptsStayInTheirDataCenter(t *testing.T) {
	t.Parallel()
	d := newDataCenters([]int{800, 800, 800, 800}, 1200)
	d.run(10 * time.Second)
	require.Zero(t, d.crossed)
}

// One data centre has most of the callers, more than its engines can serve, while
// the others idle. If all of its prompts stayed, half of its callers would be
// refused beside idle engines.
func TestPromptsLeaveAFullDataCenter(t *testing.T) {
	t.Parallel()
	d := newDataCenters([]int{2000, 300, 300, 300}, 1000)
	d.run(15 * time.Second)
	d.run(20 * time.Second)
	require.Greater(t, float64(d.served)/float64(d.all), 0.9)
	require.Less(t, float64(d.crossed)/float64(d.all), 0.6)
}

// All engines are full. Prompts that leave win nothing, and cross for it.
func TestPromptsStayWhereAllIsFull(t *testing.T) {
	t.Parallel()
	d := newDataCenters([]int{2000, 2000, 2000, 2000}, 1000)
	d.run(15 * time.Second)
	d.run(20 * time.Second)
	require.Less(t, float64(d.crossed)/float64(d.all), 0.25)
}
