package overload

import "runtime/metrics"

// Memory returns how many bytes the Go runtime holds, without those it has returned to
// the operating system.
func Memory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	for _, sample := range samples {
		if sample.Value.Kind() != metrics.KindUint64 {
			return 0
		}
	}
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
