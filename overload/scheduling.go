package overload

import (
	"math"
	"runtime/metrics"
	"time"
)

// latencyMetric is the histogram of how long runnable goroutines waited for a processor.
const latencyMetric = "/sched/latencies:seconds"

// tailShare is the share of waits that are longer than the reported one. A mean would be
// dominated by a single pause of the machine.
const tailShare = 0.1

// SchedulingLatency measures how long goroutines of this process wait for the processor.
// Its zero value is ready to use. It isn't safe for concurrent use.
//
// Callers wait this long too. Timer delays would not show it: the runtime checks timers
// before other runnable work, so they fire in time on a router that reads requests half
// a second late.
type SchedulingLatency struct {
	sample   [1]metrics.Sample
	previous []uint64
}

// Wait returns the 90th percentile of the waits since the last call, zero if no
// goroutine ran.
func (s *SchedulingLatency) Wait() time.Duration {
	s.sample[0].Name = latencyMetric
	metrics.Read(s.sample[:])
	if s.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // a later Go runtime may lack this metric; then no overload is detected
	}
	histogram := s.sample[0].Value.Float64Histogram()
	if len(s.previous) != len(histogram.Counts) {
		s.previous = make([]uint64, len(histogram.Counts))
	}
	wait := Quantile(histogram.Counts, s.previous, histogram.Buckets)
	copy(s.previous, histogram.Counts)
	return wait
}

// Quantile returns the 90th percentile of the waits counted since previous. Buckets are
// the bounds of the counts in seconds, one more than there are counts.
func Quantile(counts, previous []uint64, buckets []float64) time.Duration {
	total := uint64(0)
	for i := range counts {
		total += counts[i] - previous[i]
	}
	tail := uint64(tailShare * float64(total))
	above := uint64(0)
	for i := len(counts) - 1; i >= 0; i-- {
		above += counts[i] - previous[i]
		if above > tail {
			return toDuration(buckets[i])
		}
	}
	return 0
}

// toDuration converts the lower bound of a bucket; that of the lowest one may be infinite.
func toDuration(bound float64) time.Duration {
	if math.IsInf(bound, 0) || bound < 0 {
		return 0
	}
	return time.Duration(bound * float64(time.Second))
}
