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

func insert(key store.Key) store.Txn {
	return store.Txn{Checks: []store.Check{{Key: key}}, Writes: []store.Write{{Key: key, Value: []byte("v")}}}
}

// Among many claims in one commit is one whose key another router holds, and
// two for one key. Only those that lost may hear of it.
func TestConflictInAGroupConcernsOneClaim(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := memory.New(timer.System{})
		require.NoError(t, table.Commit(t.Context(), insert("held")))
		group := &claim.Group{Table: table}
		keys := []store.Key{"a", "held", "b", "twice", "twice", "c"}
		conflicts := map[store.Key]int{}
		var (
			mu sync.Mutex
			wg sync.WaitGroup
		)
		for _, key := range keys {
			wg.Go(func() {
				err := group.Commit(t.Context(), insert(key))
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
		require.Equal(t, uint64(2), table.Commits(), "the row that was there, and one group")
	})
}

// network connects the routers of a test; lost routers answer no more, and
// mute ones do what they are asked but their replies are lost.
type network struct {
	mu      sync.Mutex
	routers map[fleet.RouterID]*claim.Collected
	lost    map[fleet.RouterID]bool
	mute    map[fleet.RouterID]bool
	bytes   map[fleet.RouterID]int
}

type port struct {
	*network
	self fleet.RouterID
}

func (p port) Routers() []fleet.RouterID {
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
func (p port) Send(to fleet.RouterID, batch *schema.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	router, dropped := p.routers[to], p.lost[to] || p.mute[p.self]
	if dropped {
		return
	}
	p.bytes[p.self] += frameSize + proto.Size(batch)
	p.bytes[to] += frameSize + proto.Size(batch)
	time.AfterFunc(time.Millisecond, func() { router.Receive(p.self, batch) })
}

// frameSize is the kind and the length before a batch on a connection.
const frameSize = 2

func newNetwork(table store.Table, routers int) (*network, []*claim.Store) {
	n := &network{
		routers: map[fleet.RouterID]*claim.Collected{},
		lost:    map[fleet.RouterID]bool{}, mute: map[fleet.RouterID]bool{}, bytes: map[fleet.RouterID]int{},
	}
	stores := make([]*claim.Store, 0, routers)
	for i := range routers {
		id := fleet.RouterID(fmt.Sprintf("router-%03d", i))
		collected := &claim.Collected{
			Table: table, Self: id, Peers: port{n, id},
			Group: &claim.Group{Table: table},
		}
		n.routers[id] = collected
		stores = append(stores, &claim.Store{Table: collected, Router: id})
	}
	return n, stores
}

// A collector dies, or does its work and its reply is lost. The claims that
// it was sent must be settled all the same.
func TestCollectorThatDoesNotAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := memory.New(timer.System{})
		n, stores := newNetwork(table, 40)
		for id := range n.routers {
			n.lost[id] = id[len(id)-1]%2 == 0
			n.mute[id] = !n.lost[id]
		}
		for i := range 20 {
			request := order(fmt.Sprint(i), time.Now().Add(deadline))
			held, _, err := stores[i].Claim(t.Context(), request)
			require.NoError(t, err)
			held.Finish(t.Context(), claim.Answer{Status: 200})
			_, answer, err := stores[i+1].Claim(t.Context(), request)
			require.NoError(t, err)
			require.Equal(t, 200, answer.Status)
		}

		// With the table down, too, nobody knows what the collector did.
		table.Faults.Set(fault.Fault{Kind: fault.Down})
		collected, ok := stores[0].Table.(*claim.Collected)
		require.True(t, ok)
		var indefinite *store.IndefiniteError
		require.ErrorAs(t, collected.Commit(t.Context(), insert("claims/00")), &indefinite)
	})
}

// A router restarts while a collector still works for its earlier life. The
// late verdict must not be taken for one on a write of the new life, or the
// router would believe that it holds a claim.
func TestVerdictForAnEarlierLifeIsIgnored(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := memory.New(timer.System{})
		n, stores := newNetwork(table, 40)
		for id, router := range n.routers {
			n.mute[id] = true
			time.AfterFunc(time.Millisecond, func() {
				for early := range uint64(100) {
					for from := range n.routers {
						router.Receive(from, &schema.Batch{ClaimVerdicts: []*schema.ClaimVerdict{
							{Id: early, Effect: schema.ClaimEffect_CLAIM_EFFECT_APPLIED},
						}})
					}
				}
			})
		}
		table.Faults.Set(fault.Fault{Kind: fault.Down})
		_, _, err := stores[0].Claim(t.Context(), order("k", time.Now().Add(deadline)))
		refused(t, err, refusal.ClaimsUnavailable, refusal.NotRun)
	})
}

// At the size that the fleet has to carry, 460 routers claim 690 requests a
// second together. The table takes several hundred writes a second.
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
			wg    sync.WaitGroup
			worst atomic.Int64
		)
		for i := range rate * seconds {
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			store := stores[random.IntN(routers)]
			wg.Go(func() {
				start := time.Now()
				held, _, err := store.Claim(t.Context(), order(fmt.Sprint(i), start.Add(deadline)))
				require.NoError(t, err)
				if took := int64(time.Since(start)); took > worst.Load() {
					worst.Store(took)
				}
				time.Sleep(100 * time.Millisecond)
				held.Finish(t.Context(), claim.Answer{Status: 200, Body: []byte("booked")})
			})
		}
		wg.Wait()
		all, most := 0, 0
		for _, bytes := range n.bytes {
			all += bytes
			most = max(most, bytes)
		}
		commits := float64(table.Commits()) / seconds
		t.Logf("%.0f commits/s for %d claims/s; slowest claim %v; %d bytes/s at a router, at the busiest %d",
			commits, rate, time.Duration(worst.Load()), all/seconds/routers, most/seconds)
		require.Less(t, commits, 250.0)
		require.Less(t, all/seconds/routers, 600)
	})
}
