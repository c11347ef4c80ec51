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

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequest runs requests of 100 ms each through routers on loopback and
// reports the total CPU time per request: queues, asks, grants, releases, service
// exchange, timers and network. At the target size a router may spend 227
// microseconds on each of 150 requests a second.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{2, 6, 12, 24} {
		b.Run(fmt.Sprintf("routers-%d", n), func(b *testing.B) { runRequests(b, n) })
	}
}

func runRequests(b *testing.B, count int) {
	b.Helper()
	view := newView(16, 2*count, 32)
	routers := startTCP(b, count, view)
	before := cpuTime(b)
	b.SetParallelism(2 * count)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		n := rand.IntN(1 << 20)
		for pb.Next() {
			n++
			slot, err := routers[n%count].Acquire(b.Context(), dispatch.Request{
				Account: view.Account(fleet.AccountID(fmt.Sprintf("account-%d", n%16))), Service: view.Service("model"),
				Estimate: 300, Deadline: time.Now().Add(time.Minute),
			})
			if err != nil {
				b.Error(err)
				return
			}
			time.Sleep(100 * time.Millisecond)
			slot.Release(dispatch.Completion{Result: dispatch.Answered, Cost: 310, FirstTokenLatency: time.Millisecond})
		}
	})
	b.StopTimer()
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds()/float64(count), "requests/s/router")
}
