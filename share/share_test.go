package share_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/share"
)

// A fixed seed makes every run check the same sequences.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

var epoch = time.Unix(1_800_000_000, 0)

// simulation runs one dispatcher with a fixed number of slots in steps. Each step counts
// the requests that have ended and starts new ones in the free slots.
type simulation struct {
	policy  share.Policy[string]
	random  *rand.Rand
	running []request
	service map[string]fleet.Tokens
	loads   map[string]*accountLoad
	now     int
}

type request struct {
	account  string
	cost     fleet.Tokens
	estimate fleet.Tokens
	ends     int
}

type accountLoad struct {
	weight  uint32
	waiting int
	// refill is the number of waiting requests that is maintained.
	refill int
	cost   func() fleet.Tokens
	since  time.Time
}

func newSimulation(policy share.Policy[string], slots int) *simulation {
	return &simulation{
		policy:  policy,
		random:  rand.New(rand.NewPCG(1, 2)),
		running: make([]request, slots),
		service: make(map[string]fleet.Tokens),
		loads:   make(map[string]*accountLoad),
	}
}

func (b *simulation) add(account string, d accountLoad) {
	d.since = epoch.Add(time.Duration(b.now) * time.Second)
	b.loads[account] = &d
	b.updateBacklog(account)
}

func (b *simulation) updateBacklog(account string) {
	d := b.loads[account]
	b.policy.SetBacklog(account, share.Backlog{
		Weight: d.weight, Requests: d.waiting, Estimate: 320, Dispatchers: 1, OldestSince: d.since,
	})
}

// step counts the requests that have ended and fills the free slots.
func (b *simulation) step() {
	b.now++
	for i, r := range b.running {
		if r.ends > b.now {
			continue
		}
		if r.account != "" {
			b.policy.AddService(r.account, r.cost)
			b.policy.End(r.account, r.estimate)
			b.service[r.account] += r.cost
		}
		b.running[i] = b.start()
	}
}

func (b *simulation) start() request {
	account, ok := b.policy.Next(nil)
	if !ok {
		return request{}
	}
	d := b.loads[account]
	cost := d.cost()
	b.policy.Start(account, 320)
	d.waiting = max(d.waiting-1, d.refill)
	if d.refill < 1000 {
		d.since = epoch.Add(time.Duration(b.now) * time.Second)
	}
	b.updateBacklog(account)
	return request{account: account, cost: cost, estimate: 320, ends: b.now + int(cost/16)}
}

func constantCost(cost fleet.Tokens) func() fleet.Tokens {
	return func() fleet.Tokens { return cost }
}

func policies() map[string]share.Policy[string] {
	return map[string]share.Policy[string]{
		"fair":           &share.Fair[string]{},
		"first-come":     &share.FirstCome[string]{},
		"deficit-robin":  &share.DeficitRoundRobin[string]{},
		"fair-one-fleet": &share.Fair[string]{},
	}
}

// One account sends a thousand requests at once while others always have a single one
// waiting. In order of arrival, the small accounts would wait until the whole flood is
// served. Fair gives each account the same service whatever it asks for; FirstCome
// doesn't.
func TestFloodDoesNotTakeTheShareOfOthers(t *testing.T) {
	t.Parallel()
	gap := func(policy share.Policy[string]) fleet.Tokens {
		b := newSimulation(policy, 16)
		b.add("flood", accountLoad{weight: 1, refill: 1000, waiting: 1000, cost: constantCost(320)})
		for i := range 15 {
			b.add(fmt.Sprintf("small-%d", i), accountLoad{weight: 1, refill: 1, waiting: 1, cost: constantCost(320)})
		}
		for range 4000 {
			b.step()
		}
		least := b.service["flood"]
		most := least
		for i := range 15 {
			s := b.service[fmt.Sprintf("small-%d", i)]
			least, most = min(least, s), max(most, s)
		}
		return most - least
	}
	require.LessOrEqual(t, gap(&share.Fair[string]{}), fleet.Tokens(2*320))
	require.LessOrEqual(t, gap(&share.DeficitRoundRobin[string]{}), fleet.Tokens(2*320))
	require.Greater(t, gap(&share.FirstCome[string]{}), fleet.Tokens(100*320))
}

// Guards against an account with long requests that gets more service than one with short
// requests, because starts count instead of tokens.
func TestServiceCountsTokensNotRequests(t *testing.T) {
	t.Parallel()
	const long = 4000
	b := newSimulation(&share.Fair[string]{}, 32)
	b.add("long", accountLoad{weight: 1, refill: 100, waiting: 100, cost: constantCost(long)})
	b.add("short", accountLoad{weight: 1, refill: 100, waiting: 100, cost: constantCost(100)})
	for range 20_000 {
		b.step()
	}
	// Each of the 32 slots may hold a long request of which only the estimate
	// counts, as the simulation reports service at the end of a request.
	require.InDelta(t, int64(b.service["long"]), int64(b.service["short"]), 32*long)
	require.InEpsilon(t, int64(b.service["long"]), int64(b.service["short"]), 0.05)
}

func TestServiceFollowsWeights(t *testing.T) {
	t.Parallel()
	b := newSimulation(&share.Fair[string]{}, 16)
	b.add("one", accountLoad{weight: 1, refill: 50, waiting: 50, cost: constantCost(320)})
	b.add("three", accountLoad{weight: 3, refill: 50, waiting: 50, cost: constantCost(320)})
	for range 4000 {
		b.step()
	}
	require.InEpsilon(t, int64(3*b.service["one"]), int64(b.service["three"]), 0.01)
}

// An account is idle for a long time and then sends a burst. If it had accumulated credit,
// the others would get nothing until the burst is served.
func TestReturnFromIdleBringsNoCredit(t *testing.T) {
	t.Parallel()
	b := newSimulation(&share.Fair[string]{}, 16)
	b.add("steady", accountLoad{weight: 1, refill: 50, waiting: 50, cost: constantCost(320)})
	for range 4000 {
		b.step()
	}
	before := b.service["steady"]
	b.add("returned", accountLoad{weight: 1, refill: 50, waiting: 50, cost: constantCost(320)})
	for range 400 {
		b.step()
	}
	require.InDelta(t, int64(b.service["returned"]), int64(b.service["steady"]-before), 17*320)
	require.Positive(t, b.service["steady"]-before)
}

// A withdrawn account is removed so that memory stays bounded. If its service restarted
// from zero, publishing the account again would give it credit.
func TestForgottenAccountReturnsWithoutCredit(t *testing.T) {
	t.Parallel()
	var fair share.Fair[string]
	fair.SetBacklog("stays", share.Backlog{Weight: 1, Requests: 9})
	fair.AddService("stays", 50_000)
	fair.Forget("comes")
	fair.SetBacklog("comes", share.Backlog{Weight: 1, Requests: 9})
	require.Equal(t, fair.Service("stays"), fair.Service("comes"))
	fair.Forget("comes")
	require.Equal(t, 1, fair.Len())
}

func TestAccountThatReturnsGoesFirstAmongEquals(t *testing.T) {
	t.Parallel()
	var fair share.Fair[string]
	fair.SetBacklog("flood", share.Backlog{Weight: 1, Requests: 99})
	fair.Start("flood", 320)
	fair.SetBacklog("single", share.Backlog{Weight: 1, Requests: 1})
	next, ok := fair.Next(nil)
	require.True(t, ok)
	require.Equal(t, "single", next)
}

func TestNextSkipsIneligibleAccounts(t *testing.T) {
	t.Parallel()
	for name, policy := range policies() {
		policy.SetBacklog("a", share.Backlog{Weight: 1, Requests: 1, OldestSince: epoch})
		policy.SetBacklog("b", share.Backlog{Weight: 1, Requests: 1, OldestSince: epoch.Add(1)})
		next, ok := policy.Next(func(key string) bool { return key == "b" })
		require.True(t, ok, name)
		require.Equal(t, "b", next, name)
		_, ok = policy.Next(func(string) bool { return false })
		require.False(t, ok, name)
	}
}

// Whatever accounts ask for and requests cost, a policy must offer a slot to every eligible
// account with waiting requests, and to no other.
func TestPoliciesConserveWork(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		for name, policy := range policies() {
			waiting := make(map[int]int)
			keyed := policy
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				key := rapid.IntRange(0, 9).Draw(t, "key")
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0:
					waiting[key] = rapid.IntRange(0, 3).Draw(t, "waiting")
					keyed.SetBacklog(fmt.Sprint(key), share.Backlog{Weight: uint32(key), Requests: waiting[key], Dispatchers: key, OldestSince: epoch})
				case 1:
					keyed.Start(fmt.Sprint(key), fleet.Tokens(rapid.IntRange(0, 900).Draw(t, "estimate")))
				case 2:
					keyed.End(fmt.Sprint(key), fleet.Tokens(rapid.IntRange(0, 900).Draw(t, "estimate")))
				default:
					keyed.AddService(fmt.Sprint(key), fleet.Tokens(rapid.IntRange(-400, 900).Draw(t, "amount")))
				}
				expected := 0
				for _, n := range waiting {
					expected += min(n, 1)
				}
				offered := 0
				_, found := keyed.Next(func(key string) bool {
					offered++
					require.NotZero(t, waiting[int(key[0]-'0')], name)
					return false
				})
				require.False(t, found, name)
				require.Equal(t, expected, offered, name)
			}
		}
	})
}

// Checks the bound of the package comment at one dispatcher: whatever requests cost, two
// accounts that both wait throughout differ by no more than the largest request and what
// is in flight.
func TestGapBetweenBackloggedAccountsIsBounded(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 24).Draw(t, "slots")
		largest := fleet.Tokens(rapid.IntRange(16, 2000).Draw(t, "largest"))
		b := newSimulation(&share.Fair[string]{}, slots)
		accounts := rapid.IntRange(2, 8).Draw(t, "accounts")
		for i := range accounts {
			b.add(fmt.Sprint(i), accountLoad{
				weight: 1, refill: 5, waiting: 5,
				cost: func() fleet.Tokens { return 1 + fleet.Tokens(b.random.Int64N(int64(largest))) },
			})
		}
		bound := 2 * (largest + fleet.Tokens(slots)*max(largest, 320))
		for range 300 {
			b.step()
			for i := 1; i < accounts; i++ {
				require.LessOrEqual(t, max(b.service["0"]-b.service[fmt.Sprint(i)], b.service[fmt.Sprint(i)]-b.service["0"]), bound)
			}
		}
	})
}

func BenchmarkNext(b *testing.B) {
	for _, accounts := range []int{16, 360, 3600, 36000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var fair share.Fair[int]
			for i := range accounts {
				fair.SetBacklog(i, share.Backlog{Weight: 1, Requests: 1 << 30})
			}
			b.ResetTimer()
			for range b.N {
				key, _ := fair.Next(nil)
				fair.Start(key, 320)
				fair.AddService(key, 20)
			}
		})
	}
}

// An account returns from idle beside one that holds a hundred slots. If it were lifted
// by the outstanding cost of these too, it would wait until it had been given as many
// slots, while the flood is served.
func TestReturningAccountIsNotLiftedByOutstandingCost(t *testing.T) {
	t.Parallel()
	var fair share.Fair[string]
	fair.SetBacklog("flood", share.Backlog{Weight: 1, Requests: 900})
	for range 100 {
		fair.Start("flood", 400)
	}
	fair.SetBacklog("small", share.Backlog{Weight: 1, Requests: 9})
	// The flood's requests end one by one with short answers. None of the freed
	// slots may go to the flood while it holds more than the small account.
	for range 9 {
		fair.AddService("flood", 100)
		fair.End("flood", 400)
		next, _ := fair.Next(nil)
		require.Equal(t, "small", next)
		fair.Start("small", 400)
	}
}

// One account finds the fleet idle and gets every slot; the others arrive a moment later.
// If its lead had to be made up in full, its callers would wait for most of a minute
// after each such burst while the fleet serves everyone else.
func TestLeadFromAnIdleFleetIsLimited(t *testing.T) {
	t.Parallel()
	var fair share.Fair[string]
	b := newSimulation(&fair, 160)
	b.add("first", accountLoad{weight: 1, refill: 900, waiting: 900, cost: constantCost(320)})
	b.step()
	for i := range 15 {
		b.add(fmt.Sprint(i), accountLoad{weight: 1, refill: 30, waiting: 30, cost: constantCost(320)})
	}
	for range 20 {
		b.step()
	}
	require.Equal(t, fleet.Tokens(160*320), b.service["first"], "its first requests have ended")
	// A request holds its slot for 20 steps, and a fair share is 10 slots.
	for range 80 {
		fair.Reports(0)
		b.step()
	}
	require.Greater(t, b.service["first"], fleet.Tokens(180*320))
	require.Less(t, b.service["first"], fleet.Tokens(210*320))
}

// An account with long requests has a large outstanding cost even when it gets its fair
// share. If that counted as a lead of the others and was limited, the account would be
// lifted each time and receive less and less service.
func TestOutstandingCostIsNotALead(t *testing.T) {
	t.Parallel()
	var fair share.Fair[string]
	fair.SetBacklog("long", share.Backlog{Weight: 1, Requests: 9})
	fair.SetBacklog("short", share.Backlog{Weight: 1, Requests: 9})
	fair.Start("long", 8000)
	fair.AddService("short", 4000+2*8000)
	fair.Reports(0)
	require.Zero(t, fair.Service("long"))
	fair.AddService("short", 500)
	fair.Reports(0)
	require.Equal(t, fleet.Tokens(500), fair.Service("long"))
}

// BenchmarkReports measures an exchange in which a tenth of the accounts changed.
func BenchmarkReports(b *testing.B) {
	for _, accounts := range []int{16, 360, 3600, 36000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var fair share.Fair[int]
			for i := range accounts {
				fair.SetBacklog(i, share.Backlog{Weight: 1, Requests: 1 << 30})
			}
			b.ResetTimer()
			for range b.N {
				for i := 0; i < accounts; i += 10 {
					fair.AddService(i, 1)
				}
				fair.Reports(0)
			}
		})
	}
}
