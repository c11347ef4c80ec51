package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
)

// processor returns the processor time that the process has used.
func processor(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequest runs requests through six routers on loopback, each held
// for 100 ms, and reports the processor time of all six per request: waiting,
// asks, grants, releases, exchange, timers and the network. At the target size
// a router may spend 227 microseconds on each of 150 requests a second.
func BenchmarkRequest(b *testing.B) {
	view := viewOf(16, 12, 32)
	routers := startTCP(b, 6, view)
	before := processor(b)
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		n := rand.IntN(1 << 20)
		for pb.Next() {
			n++
			slot, err := routers[n%6].Acquire(b.Context(), dispatch.Work{
				Account: view.Account(fleet.AccountID(fmt.Sprintf("account-%d", n%16))), Service: view.Service("model"),
				Estimate: 300, Deadline: time.Now().Add(time.Minute),
			})
			if err != nil {
				b.Error(err)
				return
			}
			time.Sleep(100 * time.Millisecond)
			slot.Done(dispatch.Done{Result: dispatch.Answered, Cost: 310, FirstToken: time.Millisecond})
		}
	})
	b.StopTimer()
	b.ReportMetric(float64((processor(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds()/6, "requests/s/router")
}
