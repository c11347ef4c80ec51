package home_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

const (
	target = 800 * time.Millisecond
	// way is the time of a message between two routers of the tests.
	way = time.Millisecond
)

// network connects the routers of a test. Messages to a router that is cut off
// vanish.
type network struct {
	mu      sync.Mutex
	routers map[fleet.RouterID]*home.Homes
	pools   map[fleet.RouterID]*turn.Pool
	cut     map[fleet.RouterID]bool
	// slow is how late a router reads what it is sent.
	slow map[fleet.RouterID]time.Duration
	// asked counts the asks that each router was sent.
	asked map[fleet.RouterID]int
}

func engines(n int) []registry.Upstream {
	list := make([]registry.Upstream, n)
	for i := range list {
		list[i] = registry.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 64, Life: 1}
	}
	return list
}

// start connects so many routers before so many engines.
func start(routers, upstreams int) *network {
	n := &network{
		routers: make(map[fleet.RouterID]*home.Homes), pools: make(map[fleet.RouterID]*turn.Pool),
		cut: make(map[fleet.RouterID]bool), asked: make(map[fleet.RouterID]int),
		slow: make(map[fleet.RouterID]time.Duration),
	}
	for i := range routers {
		id := fleet.RouterID(fmt.Sprintf("r%d", i))
		pool := &turn.Pool{}
		pool.SetGrouped(time.Now(), true)
		pool.Set(time.Now(), engines(upstreams), target)
		n.pools[id] = pool
		n.routers[id] = &home.Homes{
			Self: id, Log: slog.New(slog.DiscardHandler),
			Pool: func(fleet.ServiceID) *turn.Pool { return pool },
			Send: func(to fleet.RouterID, batch *schema.Batch) { n.send(id, to, batch) },
		}
	}
	n.connect()
	return n
}

// connect tells each router which others there are.
func (n *network) connect() {
	for id, homes := range n.routers {
		var others []fleet.RouterID
		for other := range n.routers {
			if other != id {
				others = append(others, other)
			}
		}
		homes.SetRouters(others)
	}
}

func (n *network) send(from, to fleet.RouterID, batch *schema.Batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked[to] += len(batch.GetTurnAsks())
	receiver := n.routers[to]
	if n.cut[from] || n.cut[to] || receiver == nil {
		return
	}
	time.AfterFunc(way+n.slow[to], func() { receiver.Hear(from, batch) })
}

func (n *network) setSlow(id fleet.RouterID, late time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow[id] = late
}

// total returns how many asks were made.
func (n *network) total() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for _, count := range n.asked {
		sum += count
	}
	return sum
}

func (n *network) askedOf(id fleet.RouterID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.asked[id]
}

// kill takes a router out of the network, and tells another one that it is lost.
func (n *network) kill(killed, other fleet.RouterID) {
	n.mu.Lock()
	delete(n.routers, killed)
	n.mu.Unlock()
	n.connect()
	n.routers[other].Lost(killed)
}

func (n *network) setCut(id fleet.RouterID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = cut
}

// mostAsked returns the router that was asked most.
func (n *network) mostAsked() fleet.RouterID {
	n.mu.Lock()
	defer n.mu.Unlock()
	var most fleet.RouterID
	for id, count := range n.asked {
		if most == "" || count > n.asked[most] {
			most = id
		}
	}
	return most
}

func (n *network) turn(ctx context.Context, at fleet.RouterID, d turn.Demand) (home.Ticket, error) {
	return n.routers[at].Turn(ctx, "s", n.pools[at], d)
}

// prompt is a demand that begins as all others of the same shared number.
func prompt(shared, own uint64) turn.Demand {
	return turn.Demand{
		Account: "a", Input: 12_000, Output: 100, Target: target, Patience: target / 2,
		Beginnings: []turn.Beginning{{Hash: shared, Tokens: 10_000}, {Hash: own, Tokens: 12_000}},
	}
}

// Twenty routers each get a request for the same engine at the same moment. By
// what they know of each other all of them would send it there, and the last
// caller would wait for twenty prompts. Its home lets one in, and the others wait
// or are refused.
func TestRoutersDoNotFillAnEngineTogether(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := start(20, 1)
		var mu sync.Mutex
		var turns []home.Ticket
		refused := 0
		var group sync.WaitGroup
		for i := range uint64(20) {
			group.Go(func() {
				ticket, err := n.turn(t.Context(), fleet.RouterID(fmt.Sprintf("r%d", i)), prompt(100+i, 200+i))
				mu.Lock()
				defer mu.Unlock()
				var e *turn.RefusedError
				if errors.As(err, &e) {
					refused++
					return
				}
				turns = append(turns, ticket)
			})
		}
		group.Wait()
		require.LessOrEqual(t, len(turns), 2)
		require.Equal(t, 20, len(turns)+refused)
	})
}

// A home is frozen or cut off: it holds its connection and says nothing. Callers
// whose requests it should decide on see their first event a tenth of a second
// later once, and not until it comes back. Then it decides again.
func TestSilentHomeIsPassedOver(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := start(20, 1)
		first, err := n.turn(t.Context(), "r1", prompt(1, 2))
		require.NoError(t, err)
		first.End(time.Now(), turn.Served)
		time.Sleep(100 * time.Millisecond) // the home has heard of its end
		frozen := n.mostAsked()
		n.setCut(frozen, true)
		asking := fleet.RouterID("r1")
		if frozen == asking {
			asking = "r2"
		}
		ask := func() time.Duration {
			begin := time.Now()
			ticket, err := n.turn(t.Context(), asking, prompt(1, 3))
			require.NoError(t, err)
			ticket.End(time.Now(), turn.Served)
			return time.Since(begin)
		}
		require.Less(t, ask(), 130*time.Millisecond)
		require.LessOrEqual(t, ask(), 2*way)
		n.setCut(frozen, false)
		n.routers[asking].Hear(frozen, &schema.Batch{})
		before := n.askedOf(frozen)
		ask()
		require.Equal(t, before+1, n.askedOf(frozen))
	})
}

// A router is short of processor time, and reads each answer a fifth of a second
// after it came. All homes would seem silent, and it would decide alone, beside what
// they decide. It learns what answers take here, and waits for them.
func TestSlowRouterWaitsForItsHomes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := start(20, 1)
		n.setSlow("r1", 200*time.Millisecond)
		alone := 0
		for i := range uint64(20) {
			before := n.total()
			ticket, err := n.turn(t.Context(), "r1", prompt(1, i))
			if err == nil {
				ticket.End(time.Now(), turn.Served)
			}
			if i >= 5 && (err != nil || n.total() != before+1) {
				alone++
			}
			time.Sleep(300 * time.Millisecond)
		}
		require.Zero(t, alone)
	})
}

// All routers but one are silent. It decides alone after asking two of them, well
// before its callers' patience ends.
func TestRouterDecidesAloneWhenNobodyAnswers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := start(20, 1)
		for id := range n.routers {
			n.setCut(id, true)
		}
		begin := time.Now()
		ticket, err := n.turn(t.Context(), "r1", prompt(1, 2))
		require.NoError(t, err)
		require.Equal(t, fleet.UpstreamID("e0"), ticket.Upstream().ID)
		require.LessOrEqual(t, time.Since(begin), 240*time.Millisecond)
	})
}

// The home of an engine is killed while requests wait there. Their callers aren't
// refused: the next home gives them their turns.
func TestRequestsOutliveTheirHome(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := start(20, 1)
		running, err := n.turn(t.Context(), "r1", prompt(1, 2))
		require.NoError(t, err)
		require.NotNil(t, running)
		killed := n.mostAsked()
		asking := fleet.RouterID("r3")
		if killed == asking {
			asking = "r4"
		}
		time.AfterFunc(50*time.Millisecond, func() { n.kill(killed, asking) })
		d := prompt(9, 10)
		d.Input = 40_000
		ticket, err := n.turn(t.Context(), asking, d)
		require.NoError(t, err)
		require.NotNil(t, ticket)
		time.Sleep(time.Second) // the killed home's wait ends too
	})
}

// A caller leaves while its request waits at the home, and another when its router
// loses power with the request running. The engine must not stay taken by them.
func TestPlacesOfThoseWhoLeftAreFree(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := start(20, 1)
		running, err := n.turn(t.Context(), "r1", prompt(1, 2))
		require.NoError(t, err)
		require.NotNil(t, running)
		deciding := n.mostAsked()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		big := prompt(3, 4)
		big.Input = 60_000
		_, err = n.turn(ctx, "r2", big)
		require.ErrorIs(t, err, context.Canceled)
		time.Sleep(5 * way)
		n.routers[deciding].Lost("r1")
		ticket, err := n.turn(t.Context(), "r5", prompt(5, 6))
		require.NoError(t, err)
		require.Equal(t, 12_000, ticket.Work())
	})
}

// An upstream has left, and the home hasn't heard of it yet. The router that knows
// it doesn't send the request there.
func TestTurnAtAnUpstreamThatHasLeftIsNotUsed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := start(20, 2)
		first, err := n.turn(t.Context(), "r1", prompt(1, 2))
		require.NoError(t, err)
		first.End(time.Now(), turn.Served)
		gone := first.Upstream()
		var rest []registry.Upstream
		for _, u := range engines(2) {
			if u.ID != gone.ID {
				rest = append(rest, u)
			}
		}
		n.pools["r1"].Set(time.Now(), rest, target)
		ticket, err := n.turn(t.Context(), "r1", prompt(1, 3))
		require.NoError(t, err)
		require.NotEqual(t, gone.ID, ticket.Upstream().ID)
	})
}

// A router refuses requests without asking for their turns, since it has no processor time
// for them. Each home hears of its part, or it would think the account served and let others
// have several times as much.
func TestHomesHearOfWhatARouterHasNoTimeFor(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const tokens = 80_000
		n := start(20, 24)
		n.routers["r1"].Shed("s", "ada", tokens)
		n.routers["r1"].Shed("s", "ada", tokens)
		time.Sleep(time.Second / 4)
		told, homes := 0.0, 0
		for _, pool := range n.pools {
			for _, standing := range pool.Report(time.Now()).Accounts {
				told += standing.Shed
				homes++
			}
		}
		require.Greater(t, homes, 1)
		require.InDelta(t, 2*tokens, told, 0.1*tokens, "what was told of late, less what is forgotten since")
	})
}

// A small fleet has no homes: what a router refuses stands in its reports.
func TestReportsTellWhatARouterHasNoTimeFor(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := start(6, 2)
		n.routers["r1"].Shed("s", "ada", 80_000)
		time.Sleep(time.Second / 4)
		for id, pool := range n.pools {
			require.Equal(t, id == "r1", len(pool.Report(time.Now()).Accounts) == 1)
		}
	})
}

// Small fleets tell each other what they have, and depend on no home.
func TestSmallFleetHasNoHomes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := start(6, 2)
		ticket, err := n.turn(t.Context(), "r1", prompt(1, 2))
		require.NoError(t, err)
		require.NotNil(t, ticket)
		require.Empty(t, n.asked)
	})
}

// Guards against a request that waits at its home although no upstream is left.
func TestHomeRefusesWhatWaitsWithTheLastUpstream(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := start(20, 1)
		long := prompt(1, 2)
		long.Input = 60_000
		_, err := n.turn(t.Context(), "r1", long)
		require.NoError(t, err)
		errs := make(chan error, 1)
		d := prompt(1, 3)
		d.Patience = time.Hour
		go func() {
			_, err := n.turn(t.Context(), "r2", d)
			errs <- err
		}()
		time.Sleep(10 * way)
		select {
		case err := <-errs:
			require.NoError(t, err, "the request waits")
		default:
		}
		left := time.Now()
		for _, pool := range n.pools {
			pool.Set(time.Now(), nil, target)
		}
		var refused *turn.RefusedError
		require.ErrorAs(t, <-errs, &refused)
		require.True(t, refused.NoUpstream)
		require.LessOrEqual(t, time.Since(left), 2*way)
	})
}
