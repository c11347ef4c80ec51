package share_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/share"
)

// dispatcherPool is a group of dispatchers with a common keeper.
type dispatcherPool struct {
	dispatchers []*share.Fair[string]
	keeper      share.Keeper[string, int]
}

func newPool(n int) *dispatcherPool {
	p := &dispatcherPool{}
	for range n {
		p.dispatchers = append(p.dispatchers, &share.Fair[string]{})
	}
	return p
}

func (p *dispatcherPool) setBacklog(key string) {
	for _, d := range p.dispatchers {
		d.SetBacklog(key, share.Backlog{Weight: 1, Requests: 9, Dispatchers: len(p.dispatchers)})
	}
}

func (p *dispatcherPool) exchange(threshold fleet.Tokens) {
	keys := make(map[string]bool)
	for i, d := range p.dispatchers {
		for _, report := range d.Reports(threshold) {
			p.keeper.Report(i, report)
			keys[report.Key] = true
		}
	}
	for key := range keys {
		for i, d := range p.dispatchers {
			d.Observe(key, p.keeper.Total(i, key))
		}
	}
}

// Guards against an account that gets a full share at each dispatcher, because a
// dispatcher counts only the service that it gave itself.
func TestServiceElsewhereCounts(t *testing.T) {
	t.Parallel()
	p := newPool(2)
	p.setBacklog("busy")
	p.setBacklog("other")
	for range 10 {
		p.dispatchers[0].AddService("busy", 100)
	}
	next, _ := p.dispatchers[1].Next(nil)
	require.Equal(t, "busy", next, "the second dispatcher hasn't observed the service yet")
	p.exchange(0)
	require.Equal(t, fleet.Tokens(1000), p.dispatchers[1].Service("busy"))
	next, _ = p.dispatchers[1].Next(nil)
	require.Equal(t, "other", next)
}

// Guards against every dispatcher serving the same account, the one with the least
// service, between two exchanges, which would give it a multiple of what it lacked. Each
// dispatcher adds the load that it assumes at the others, so it serves the next account
// sooner, and drops the assumption with the next total.
func TestDispatchersDoNotAllServeTheLowest(t *testing.T) {
	t.Parallel()
	startsBehind := func(dispatchers int) int {
		p := newPool(6)
		for i, d := range p.dispatchers {
			d.SetBacklog("behind", share.Backlog{Weight: 1, Requests: 99, Dispatchers: dispatchers})
			d.AddService("ahead", 6000)
			for _, report := range d.Reports(0) {
				p.keeper.Report(i, report)
			}
			d.SetBacklog("ahead", share.Backlog{Weight: 1, Requests: 99, Dispatchers: dispatchers})
			d.Observe("ahead", share.Total{Sum: 6000, OwnReported: 6000})
		}
		starts := 0
		for _, d := range p.dispatchers {
			for range 20 {
				key, _ := d.Next(nil)
				d.Start(key, 300)
				d.AddService(key, 150)
				if key == "behind" {
					starts++
				}
			}
		}
		return starts
	}
	// Half of each request has streamed, so the account lacks 20 requests. After
	// these it is due half of the further starts.
	require.Greater(t, startsBehind(1), 100)
	require.Less(t, startsBehind(6), 80)
}

func TestRepeatedReportCountsOnce(t *testing.T) {
	t.Parallel()
	var keeper share.Keeper[string, int]
	report := share.Report[string]{Key: "a", Cumulative: 700, Floor: 900}
	require.Equal(t, share.Total{Sum: 900, OwnReported: 700}, keeper.Report(1, report))
	require.Equal(t, share.Total{Sum: 900, OwnReported: 700}, keeper.Report(1, report))
}

// The keeper's router is killed, and another keeper starts without state. If the totals
// restarted from zero, each account would get its past service a second time; if floors
// and cumulative amounts were both counted, its past service would count twice.
func TestNewKeeperLearnsTheTotals(t *testing.T) {
	t.Parallel()
	p := newPool(3)
	p.setBacklog("a")
	for i, d := range p.dispatchers {
		d.AddService("a", fleet.Tokens(1000*(i+1)))
	}
	p.exchange(0)
	require.Equal(t, fleet.Tokens(6000), p.dispatchers[0].Service("a"))

	p.keeper = share.Keeper[string, int]{}
	for _, d := range p.dispatchers {
		d.MarkReassigned("a")
	}
	p.exchange(1 << 40)
	p.dispatchers[1].AddService("a", 50)
	p.exchange(0)
	for _, d := range p.dispatchers {
		require.Equal(t, fleet.Tokens(6050), d.Service("a"))
	}
}

// A router is killed and restarts without state. The service that it had reported was
// received and must stay in the totals.
func TestServiceOfALostDispatcherStays(t *testing.T) {
	t.Parallel()
	p := newPool(2)
	p.setBacklog("a")
	p.dispatchers[0].AddService("a", 4000)
	p.exchange(0)
	p.keeper.RemoveDispatcher(0)
	p.dispatchers[0] = &share.Fair[string]{}
	p.setBacklog("a")
	p.dispatchers[0].AddService("a", 10)
	p.exchange(0)
	require.Equal(t, fleet.Tokens(4010), p.dispatchers[1].Service("a"))
	require.Equal(t, fleet.Tokens(4010), p.dispatchers[0].Service("a"))
}

// A lift at one dispatcher counts as the account's service everywhere. A total that
// doesn't include the lift yet must not undo it.
func TestOlderTotalDoesNotUndoALift(t *testing.T) {
	t.Parallel()
	p := newPool(2)
	p.setBacklog("steady")
	p.dispatchers[0].AddService("steady", 5000)
	p.exchange(0)
	p.setBacklog("returned")
	p.dispatchers[0].Observe("returned", share.Total{})
	require.Equal(t, fleet.Tokens(5000), p.dispatchers[0].Service("returned"))
	p.dispatchers[0].AddService("returned", 100)
	p.exchange(0)
	require.Equal(t, fleet.Tokens(5100), p.dispatchers[1].Service("returned"))
}

func TestReportsObserveTheThreshold(t *testing.T) {
	t.Parallel()
	var fair share.Fair[string]
	fair.SetBacklog("a", share.Backlog{Weight: 1, Requests: 1})
	fair.AddService("a", 300)
	require.Empty(t, fair.Reports(300))
	fair.AddService("a", 1)
	require.Len(t, fair.Reports(300), 1)
	require.Empty(t, fair.Reports(0))
	fair.AddService("a", -1)
	require.Len(t, fair.Reports(0), 1)
}

// Whatever the order of service and exchanges, all dispatchers must hold the same service
// once every report has been exchanged.
func TestDispatchersAgreeInTheEnd(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(rapid.IntRange(2, 6).Draw(t, "dispatchers"))
		p.setBacklog("a")
		var sum fleet.Tokens
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "exchange") {
				p.exchange(200)
				continue
			}
			amount := fleet.Tokens(rapid.IntRange(-100, 500).Draw(t, "amount"))
			sum += amount
			rapid.SampledFrom(p.dispatchers).Draw(t, "dispatcher").AddService("a", amount)
		}
		p.exchange(0)
		p.exchange(0)
		for _, d := range p.dispatchers {
			require.Equal(t, sum, d.Service("a"))
		}
	})
}

// A flood's requests in flight are held by one dispatcher. Another dispatcher that
// doesn't count them would start as many again before their service shows.
func TestRequestsInFlightElsewhereCount(t *testing.T) {
	t.Parallel()
	p := newPool(2)
	p.setBacklog("busy")
	p.setBacklog("other")
	p.dispatchers[0].Start("busy", 4000)
	p.exchange(0)
	p.dispatchers[1].Start("other", 400)
	p.dispatchers[1].Start("busy", 10)
	p.exchange(0)
	next, _ := p.dispatchers[1].Next(nil)
	require.Equal(t, "other", next)
	p.keeper.RemoveDispatcher(0)
	require.Zero(t, p.keeper.Total(1, "busy").Outstanding)
}
