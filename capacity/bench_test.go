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

var sizes = []int{16, 160, 1600, 36000}

func stateOf(accounts, upstreams int) *schema.FleetState {
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

// heap returns the live bytes that make leaves behind.
func heap(made func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := made()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkView measures the release notes in force: the memory of a view,
// the size of a snapshot, and the time of putting one note in force.
func BenchmarkView(b *testing.B) {
	for _, accounts := range sizes {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			bytes := heap(func() any { return note.NewView(stateOf(accounts, accounts/3+1)) })
			state := stateOf(accounts, accounts/3+1)
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
			b.ReportMetric(bytes, "heap-B")
			b.ReportMetric(float64(proto.Size(state)), "snapshot-B")
			b.ReportMetric(float64(proto.Size(record)), "note-B")
		})
	}
}

// BenchmarkKeeper measures one report of one account's service, and the
// memory of a keeper, with six reporters an account.
func BenchmarkKeeper(b *testing.B) {
	const reporters = 6
	for _, accounts := range []int{16, 78, 1600, 36000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			now := time.Unix(0, 0)
			fill := func() *keeper.Keeper {
				k := keeper.New(keeper.Options{})
				for n := range accounts * reporters {
					report(k, now, n, accounts, 1)
				}
				return k
			}
			bytes := heap(func() any { return fill() })
			k := fill()
			for n := 0; b.Loop(); n++ {
				report(k, now, n, accounts, fleet.Tokens(n))
			}
			b.ReportMetric(bytes/float64(accounts), "heap-B/account")
		})
	}
}

func report(k *keeper.Keeper, now time.Time, n, accounts int, amount fleet.Tokens) {
	router := fleet.RouterID(fmt.Sprint("router-", n/accounts%6))
	key := keeper.Key{Account: fleet.Number(n%accounts + 1), Service: 1_000_000}
	k.Report(now, router, 1, share.Report[keeper.Key]{Key: key, Cumulative: amount})
}

// BenchmarkDispatcher measures one request's ask, grant and release by the
// number of upstreams and of accounts that wait, and the memory of both.
func BenchmarkDispatcher(b *testing.B) {
	for _, size := range []struct{ upstreams, waiting int }{{26, 8}, {26, 80}, {26, 800}, {26, 3600}, {260, 80}} {
		b.Run(fmt.Sprintf("upstreams=%d/waiting=%d", size.upstreams, size.waiting), func(b *testing.B) {
			now := time.Unix(0, 0)
			fill := func() *fair { return newDispatcher(now, size.upstreams, size.waiting) }
			bytes := heap(func() any { return fill() })
			d := fill()
			granted := d.Grant(now)
			for n := 0; b.Loop(); n++ {
				now = now.Add(10 * time.Millisecond)
				g := granted[n%len(granted)]
				d.Release(now, g.To, &schema.Release{Id: uint64(g.ID), Cost: 320, Result: schema.Result_RESULT_ANSWERED})
				ask(d, now, int(g.Account)-1)
				if again := d.Grant(now); len(again) > 0 {
					granted[n%len(granted)] = again[0]
				}
			}
			b.ReportMetric(bytes, "heap-B")
		})
	}
}

type fair = dispatcher.Dispatcher[*share.Fair[fleet.Number], inflight.Fixed, placement.Affinity]

func newDispatcher(now time.Time, upstreams, waiting int) *fair {
	d := dispatcher.New(dispatcher.Options[*share.Fair[fleet.Number], inflight.Fixed, placement.Affinity]{
		Order:   func() *share.Fair[fleet.Number] { return &share.Fair[fleet.Number]{} },
		Limiter: func(slots int) inflight.Fixed { return inflight.Fixed(slots) },
	})
	state := stateOf(0, upstreams)
	d.Own(now, state.GetUpstreams(), map[fleet.ServiceID]fleet.Number{"findings": 1_000_000}, false)
	for n := range waiting {
		ask(d, now, n)
	}
	return d
}

func ask(d *fair, now time.Time, account int) {
	d.Ask(now, fleet.RouterID(fmt.Sprint("router-", account%6)), 0, &schema.Ask{
		Service: 1_000_000, Account: uint32(account + 1), Waiting: 100, Estimate: 320,
	})
}

// BenchmarkLimiter measures one report and one ended request of an upstream.
func BenchmarkLimiter(b *testing.B) {
	now := time.Unix(0, 0)
	limiter := &inflight.Adaptive{Max: 32}
	for b.Loop() {
		now = now.Add(time.Second)
		limiter.Reported(now, inflight.Load{Running: 16, At: now}, 16)
		limiter.Ended(now, inflight.Sample{Result: dispatch.Answered, FirstToken: time.Second, InFlight: 16})
	}
}

// BenchmarkEstimator measures one ended request, and the memory of an account.
func BenchmarkEstimator(b *testing.B) {
	for _, accounts := range sizes {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			fill := func() *estimate.Estimator {
				e := &estimate.Estimator{}
				for n := range accounts {
					e.Ended(accountKey(n), 320)
				}
				return e
			}
			bytes := heap(func() any { return fill() })
			e := fill()
			for n := 0; b.Loop(); n++ {
				e.Ended(accountKey(n%accounts), 320)
			}
			b.ReportMetric(bytes/float64(accounts), "heap-B/account")
		})
	}
}

func accountKey(n int) estimate.Key {
	return estimate.Key{Account: fleet.AccountID(fmt.Sprint("account-", n)), Service: "findings"}
}

// BenchmarkMessage reports the bytes of the frequent control messages.
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
