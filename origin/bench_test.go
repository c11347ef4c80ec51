package origin_test

import (
	"runtime"
	"testing"
	"time"

	"nutmeglock.example/nutmeglock/origin"
)

// Measures the time to record a stream while a service has one version, and the memory that a full
// table takes for each record.
func BenchmarkRecord(b *testing.B) {
	var table origin.Table
	before := heapBytes()
	i := 0
	for b.Loop() {
		table.Set(start, keyOf(i), origin.Record{Service: "s", Software: "v1", Until: start.Add(time.Minute)})
		i++
	}
	if table.Len() > 0 {
		b.ReportMetric(float64(heapBytes()-before)/float64(table.Len()), "bytes/record")
	}
	runtime.KeepAlive(&table)
}

// Measures the choice of the routers that hold a record in a fleet of 300.
func BenchmarkHolders(b *testing.B) {
	h := holdersOf(dataCentersOf(300, 3), "r0", nobody)
	key := keyOf(1)
	for b.Loop() {
		_ = h.ForRecord(key)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
