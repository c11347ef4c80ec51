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

// Measures the choice of holders after a router of a fleet of 300 has restarted, at one that began 4,500 streams and holds the
// records of 9,000 others.
func BenchmarkRestartOfAnotherRouter(b *testing.B) {
	const own, held = 4_500, 9_000
	all := dataCentersOf(300, 3)
	r := origin.Replicator{DataCenter: all["r0"]}
	for id, dataCenter := range all {
		if id != "r0" {
			r.Connect(start, id, dataCenter)
		}
	}
	for i := range own + held {
		record := origin.Record{Service: "s", Software: "v1", Until: start.Add(1000 * time.Hour)}
		if i < own {
			r.Begin(start, keyOf(i), record)
		} else {
			r.Receive(start, "r2", keyOf(i), record)
		}
	}
	now := start
	send := func() (sent int) {
		for now = now.Add(time.Second); !r.DueAt().IsZero(); now = now.Add(origin.SendDelay) {
			out, _ := r.Take(now)
			for _, copies := range out {
				sent += len(copies)
			}
		}
		return sent
	}
	send()
	sent := 0
	for b.Loop() {
		r.Disconnect(now, "r1")
		r.Connect(now, "r1", all["r1"])
		sent += send()
	}
	b.ReportMetric(float64(sent)/float64(b.N), "copies/op")
}
