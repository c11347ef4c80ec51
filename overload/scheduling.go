package overload

import (
	"math"
	"runtime/metrics"
	"time"
)

// latencyMetric counts how long goroutines that could run waited for a processor.
const latencyMetric = "/sched/latencies:seconds"

// lateShare is the part of all waits that are longer than the one that is returned.
// The mean would follow a single pause of the machine.
const lateShare = 0.1

// Scheduling measures how long goroutines of this process wait for the processor.
// Its zero value works. It is used by one goroutine.
//
// That is what callers wait for too. How late timers fire isn't: the runtime looks
// at timers before all else that is ready, so they fire in time on a router at which
// requests are read half a second late.
type Scheduling struct {
	sample [1]metrics.Sample
	before []uint64
}

// Wait returns the wait since the last call that one goroutine in ten exceeded, zero
// if none ran.
func (s *Scheduling) Wait() time.Duration {
	s.sample[0].Name = latencyMetric
	metrics.Read(s.sample[:])
	if s.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // a later runtime may have another metric; without one no router is overloaded
	}
	histogram := s.sample[0].Value.Float64Histogram()
	if len(s.before) != len(histogram.Counts) {
		s.before = make([]uint64, len(histogram.Counts))
	}
	wait := Quantile(histogram.Counts, s.before, histogram.Buckets)
	copy(s.before, histogram.Counts)
	return wait
}

// Quantile returns the wait that one in ten of the waits exceeded which were counted
// since before. Buckets are the bounds of the counts in seconds, one more than counts.
func Quantile(counts, before []uint64, buckets []float64) time.Duration {
	total := uint64(0)
	for i := range counts {
		total += counts[i] - before[i]
	}
	late := uint64(lateShare * float64(total))
	above := uint64(0)
	for i := len(counts) - 1; i >= 0; i-- {
		above += counts[i] - before[i]
		if above > late {
			return seconds(buckets[i])
		}
	}
	return 0
}

// seconds converts the lower bound of a bucket, which is infinite in the lowest.
func seconds(bound float64) time.Duration {
	if math.IsInf(bound, 0) || bound < 0 {
		return 0
	}
	return time.Duration(bound * float64(time.Second))
}
