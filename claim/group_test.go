package claim_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/claim"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/timer"
)

func insertTxn(key store.Key) store.Txn {
	return store.Txn{Checks: []store.Check{{Key: key}}, Writes: []store.Write{{Key: key, Value: []byte("v")}}}
}

// Guards against a conflict that fails other claims in the same commit. One
// claim of the group has a key that another router holds, and two have the same
// key; only the claims that lost may fail.
func TestConflictInAGroupConcernsOneClaim(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := memory.New(timer.System{})
		require.NoError(t, table.Commit(t.Context(), insertTxn("held")))
		group := &claim.GroupCommitter{Table: table}
		keys := []store.Key{"a", "held", "b", "twice", "twice", "c"}
		conflicts := map[store.Key]int{}
		var (
			mu sync.Mutex
			wg sync.WaitGroup
		)
		for _, key := range keys {
			wg.Go(func() {
				err := group.Commit(t.Context(), insertTxn(key))
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					var conflict *store.ConflictError
					require.ErrorAs(t, err, &conflict)
					conflicts[key]++
				}
			})
		}
		wg.Wait()
		require.Equal(t, map[store.Key]int{"held": 1, "twice": 1}, conflicts)
		require.Equal(t, uint64(2), table.Commits(), "the existing row and one group")
	})
}

// network connects the routers of a test. Unreachable routers receive nothing;
// muted routers receive batches, but what they send is lost.
type network struct {
	mu          sync.Mutex
	routers     map[fleet.RouterID]*claim.ForwardingTable
	unreachable map[fleet.RouterID]bool
	muted       map[fleet.RouterID]bool
	bytes       map[fleet.RouterID]int
}

type networkPeers struct {
	*network
	self fleet.RouterID
}

func (p networkPeers) Routers() []fleet.RouterID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fleet.RouterID
	for id := range p.routers {
		if id != p.self {
			out = append(out, id)
		}
	}
	return out
}

// Send delivers a batch a millisecond later.
func (p networkPeers) Send(to fleet.RouterID, batch *schema.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	router, dropped := p.routers[to], p.unreachable[to] || p.muted[p.self]
	if dropped {
		return
	}
	p.bytes[p.self] += frameHeaderSize + proto.Size(batch)
	p.bytes[to] += frameHeaderSize + proto.Size(batch)
	time.AfterFunc(time.Millisecond, func() { router.Receive(p.self, batch) })
}

// frameHeaderSize is the size of a batch's kind and length on a connection, in
// bytes.
const frameHeaderSize = 2

func newNetwork(table store.Table, routers int) (*network, []*claim.Store) {
	n := &network{
		routers:     map[fleet.RouterID]*claim.ForwardingTable{},
		unreachable: map[fleet.RouterID]bool{}, muted: map[fleet.RouterID]bool{}, bytes: map[fleet.RouterID]int{},
	}
	stores := make([]*claim.Store, 0, routers)
	for i := range routers {
		id := fleet.RouterID(fmt.Sprintf("router-%03d", i))
		forwarding := &claim.ForwardingTable{
			Table: table, Self: id, Peers: networkPeers{n, id},
			Committer: &claim.GroupCommitter{Table: table},
		}
		n.routers[id] = forwarding
		stores = append(stores, &claim.Store{Table: forwarding, Router: id})
	}
	return n, stores
}

// A collector crashes, or commits a claim but its verdict is lost. The claims
// sent to it must still succeed.
func TestCollectorThatDoesNotAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := memory.New(timer.System{})
		n, stores := newNetwork(table, 40)
		for id := range n.routers {
			n.unreachable[id] = id[len(id)-1]%2 == 0
			n.muted[id] = !n.unreachable[id]
		}
		for i := range 20 {
			request := orderRequest(fmt.Sprint(i), time.Now().Add(deadline))
			claimed, _, err := stores[i].Claim(t.Context(), request)
			require.NoError(t, err)
			claimed.Finish(t.Context(), claim.Answer{Status: 200})
			_, answer, err := stores[i+1].Claim(t.Context(), request)
			require.NoError(t, err)
			require.Equal(t, 200, answer.Status)
		}

		// With the table down as well, the effect of the collector's commit is unknown.
		table.Faults.Set(fault.Fault{Kind: fault.Down})
		forwarding, ok := stores[0].Table.(*claim.ForwardingTable)
		require.True(t, ok)
		var unknownOutcome *store.UnknownOutcomeError
		require.ErrorAs(t, forwarding.Commit(t.Context(), insertTxn("claims/00")), &unknownOutcome)
	})
}

// A router restarts while a collector still commits a write of the previous
// process. The late verdict must not be taken for that on a new write, or the
// router would run a request without a claim.
func TestVerdictForPreviousProcessIsIgnored(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := memory.New(timer.System{})
		n, stores := newNetwork(table, 40)
		for id, router := range n.routers {
			n.muted[id] = true
			time.AfterFunc(time.Millisecond, func() {
				for id := range uint64(100) {
					for from := range n.routers {
						router.Receive(from, &schema.Batch{ClaimVerdicts: []*schema.ClaimVerdict{
							{Id: id, Effect: schema.ClaimEffect_CLAIM_EFFECT_APPLIED},
						}})
					}
				}
			})
		}
		table.Faults.Set(fault.Fault{Kind: fault.Down})
		_, _, err := stores[0].Claim(t.Context(), orderRequest("k", time.Now().Add(deadline)))
		requireRefused(t, err, refusal.ClaimsUnavailable, refusal.NotRun)
	})
}

// At the required fleet size, 460 routers together claim 690 requests a second.
// The table allows several hundred commits a second.
func TestClaimsOfALargeFleetStayWithinTheWriteAllowance(t *testing.T) {
	t.Parallel()
	const (
		routers = 460
		rate    = 690
		seconds = 10
	)
	synctest.Test(t, func(t *testing.T) {
		table := memory.New(timer.System{})
		n, stores := newNetwork(table, routers)
		random := rand.New(rand.NewPCG(1, 2))
		var (
			wg      sync.WaitGroup
			slowest atomic.Int64
		)
		for i := range rate * seconds {
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			claims := stores[random.IntN(routers)]
			wg.Go(func() {
				start := time.Now()
				claimed, _, err := claims.Claim(t.Context(), orderRequest(fmt.Sprint(i), start.Add(deadline)))
				require.NoError(t, err)
				if took := int64(time.Since(start)); took > slowest.Load() {
					slowest.Store(took)
				}
				time.Sleep(100 * time.Millisecond)
				claimed.Finish(t.Context(), claim.Answer{Status: 200, Body: []byte("booked")})
			})
		}
		wg.Wait()
		total, busiest := 0, 0
		for _, bytes := range n.bytes {
			total += bytes
			busiest = max(busiest, bytes)
		}
		commits := float64(table.Commits()) / seconds
		t.Logf("%.0f commits/s for %d claims/s; slowest claim %v; %d bytes/s at a router, at the busiest %d",
			commits, rate, time.Duration(slowest.Load()), total/seconds/routers, busiest/seconds)
		require.Less(t, commits, 250.0)
		require.Less(t, total/seconds/routers, 600)
	})
}
