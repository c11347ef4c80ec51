package capacity_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/keeper"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/placement"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/share"
)

var accountCounts = []int{16, 160, 1600, 36000}

func newFleetState(accounts, upstreams int) *schema.FleetState {
	state := &schema.FleetState{Version: 1}
	for n := range accounts {
		state.Accounts = append(state.Accounts, &schema.Account{
			Id: fmt.Sprintf("account-%d", n), Number: uint32(n + 1),
			KeySha256: []string{note.HashKey(fmt.Sprint("key-", n))},
		})
	}
	state.Services = []*schema.Service{{Id: "findings", Kind: "model", Number: 1_000_000}}
	for n := range upstreams {
		state.Upstreams = append(state.Upstreams, &schema.Upstream{
			Id: fmt.Sprintf("engine-%d", n), Service: "findings", Address: "127.0.0.1:1",
			DataCenter: "kuopio", Slots: 16, Number: uint32(2_000_000 + n),
		})
	}
	state.LastNumber = 3_000_000
	return state
}

// heapGrowth returns the live heap bytes of the value that build returns.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkView measures the memory of a view of the fleet state, the size of a
// snapshot, and the time to apply one release note and build the view.
func BenchmarkView(b *testing.B) {
	for _, accounts := range accountCounts {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			heapBytes := heapGrowth(func() any { return note.NewView(newFleetState(accounts, accounts/3+1)) })
			state := newFleetState(accounts, accounts/3+1)
			changed := proto.CloneOf(state.GetAccounts()[0])
			changed.Weight = 2
			record := &schema.NoteRecord{Version: 2, Note: &schema.ReleaseNote{
				Summary: "a change", Changed: &schema.Entries{Accounts: []*schema.Account{changed}},
			}}
			for b.Loop() {
				next, err := note.Apply(state, record)
				require.NoError(b, err)
				note.NewView(next)
			}
			b.ReportMetric(heapBytes, "heap-B")
			b.ReportMetric(float64(proto.Size(state)), "snapshot-B")
			b.ReportMetric(float64(proto.Size(record)), "note-B")
		})
	}
}

// BenchmarkKeeper measures one report of an account's service, and the memory
// of a keeper per account, with six reporting routers per account.
func BenchmarkKeeper(b *testing.B) {
	const reporters = 6
	for _, accounts := range []int{16, 78, 1600, 36000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			now := time.Unix(0, 0)
			build := func() *keeper.Keeper {
				k := keeper.New(keeper.Options{})
				for n := range accounts * reporters {
					reportService(k, now, n, accounts, 1)
				}
				return k
			}
			heapBytes := heapGrowth(func() any { return build() })
			k := build()
			for n := 0; b.Loop(); n++ {
				reportService(k, now, n, accounts, fleet.Tokens(n))
			}
			b.ReportMetric(heapBytes/float64(accounts), "heap-B/account")
		})
	}
}

func reportService(k *keeper.Keeper, now time.Time, n, accounts int, amount fleet.Tokens) {
	router := fleet.RouterID(fmt.Sprint("router-", n/accounts%6))
	key := keeper.Key{Account: fleet.ShortID(n%accounts + 1), Service: 1_000_000}
	k.Report(now, router, 1, share.Report[keeper.Key]{Key: key, Cumulative: amount})
}

// BenchmarkDispatcher measures the ask, grant and release of one request by the
// number of upstreams and of waiting accounts, and the memory of a dispatcher.
func BenchmarkDispatcher(b *testing.B) {
	for _, size := range []struct{ upstreams, waiting int }{{26, 8}, {26, 80}, {26, 800}, {26, 3600}, {260, 80}} {
		b.Run(fmt.Sprintf("upstreams=%d/waiting=%d", size.upstreams, size.waiting), func(b *testing.B) {
			now := time.Unix(0, 0)
			build := func() *fairDispatcher { return newDispatcher(now, size.upstreams, size.waiting) }
			heapBytes := heapGrowth(func() any { return build() })
			d := build()
			granted := d.Grant(now)
			for n := 0; b.Loop(); n++ {
				now = now.Add(10 * time.Millisecond)
				g := granted[n%len(granted)]
				d.Release(now, g.To, &schema.Release{Id: uint64(g.ID), Cost: 320, Result: schema.Result_RESULT_ANSWERED})
				askForSlot(d, now, int(g.Account)-1)
				if again := d.Grant(now); len(again) > 0 {
					granted[n%len(granted)] = again[0]
				}
			}
			b.ReportMetric(heapBytes, "heap-B")
		})
	}
}

type fairDispatcher = dispatcher.Dispatcher[*share.Fair[fleet.ShortID], inflight.Fixed, placement.CacheAffinity]

func newDispatcher(now time.Time, upstreams, waiting int) *fairDispatcher {
	d := dispatcher.New(dispatcher.Options[*share.Fair[fleet.ShortID], inflight.Fixed, placement.CacheAffinity]{
		SharePolicy: func() *share.Fair[fleet.ShortID] { return &share.Fair[fleet.ShortID]{} },
		Limiter:     func(slots int) inflight.Fixed { return inflight.Fixed(slots) },
	})
	state := newFleetState(0, upstreams)
	d.SetUpstreams(now, state.GetUpstreams(), map[fleet.ServiceID]fleet.ShortID{"findings": 1_000_000}, false)
	for n := range waiting {
		askForSlot(d, now, n)
	}
	return d
}

func askForSlot(d *fairDispatcher, now time.Time, account int) {
	d.HandleAsk(now, fleet.RouterID(fmt.Sprint("router-", account%6)), 0, &schema.Ask{
		Service: 1_000_000, Account: uint32(account + 1), Waiting: 100, Estimate: 320,
	})
}

// BenchmarkLimiter measures one load report and one finished request of an upstream.
func BenchmarkLimiter(b *testing.B) {
	now := time.Unix(0, 0)
	limiter := &inflight.Adaptive{Max: 32}
	for b.Loop() {
		now = now.Add(time.Second)
		limiter.UpdateLoad(now, inflight.Load{Running: 16, MeasuredAt: now}, 16)
		limiter.RecordResult(now, inflight.Sample{Result: dispatch.Answered, FirstTokenLatency: time.Second, InFlight: 16})
	}
}

// BenchmarkEstimator measures one finished request, and the memory per account.
func BenchmarkEstimator(b *testing.B) {
	for _, accounts := range accountCounts {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			build := func() *estimate.Estimator {
				e := &estimate.Estimator{}
				for n := range accounts {
					e.Ended(accountKey(n), 320)
				}
				return e
			}
			heapBytes := heapGrowth(func() any { return build() })
			e := build()
			for n := 0; b.Loop(); n++ {
				e.Ended(accountKey(n%accounts), 320)
			}
			b.ReportMetric(heapBytes/float64(accounts), "heap-B/account")
		})
	}
}

func accountKey(n int) estimate.Key {
	return estimate.Key{Account: fleet.AccountID(fmt.Sprint("account-", n)), Service: "findings"}
}

// BenchmarkMessage measures the encoded size of the frequent control messages.
func BenchmarkMessage(b *testing.B) {
	messages := map[string]*schema.Batch{
		"ask":   {Asks: []*schema.Ask{{Service: 50_001, Account: 36_000, Waiting: 12, Estimate: 320, Asked: 2, WaitedMs: 900}}},
		"grant": {Grants: []*schema.Grant{{Id: 1 << 40, Account: 36_000, Upstream: 48_000}}},
		"release": {Releases: []*schema.Release{{
			Id: 1 << 40, Cost: 1024, FirstTokenMs: 800, Result: schema.Result_RESULT_ANSWERED,
		}}},
		"report": {Reports: []*schema.ServiceReport{{Account: 36_000, Service: 50_001, Cumulative: 1 << 30}}},
		"total":  {Totals: []*schema.ServiceTotal{{Account: 36_000, Service: 50_001, Total: 1 << 32, Covered: 1 << 30}}},
	}
	for _, name := range []string{"ask", "grant", "release", "report", "total"} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(messages[name])
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}
