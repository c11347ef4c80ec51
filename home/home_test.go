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

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

const (
	target = 800 * time.Millisecond
	// messageDelay is the transit time of a message between two routers.
	messageDelay = time.Millisecond
)

// network connects the routers of a test. Messages to and from isolated routers are
// dropped.
type network struct {
	mu       sync.Mutex
	routers  map[fleet.RouterID]*home.Coordinator
	pools    map[fleet.RouterID]*turn.Pool
	isolated map[fleet.RouterID]bool
	// mute routers receive messages, and theirs are dropped.
	mute map[fleet.RouterID]bool
	// readDelay is the additional delay until a router reads a message.
	readDelay map[fleet.RouterID]time.Duration
	// askCount counts the asks sent to each router.
	askCount map[fleet.RouterID]int
}

func routerID(i int) fleet.RouterID { return fleet.RouterID(fmt.Sprintf("r%d", i)) }

func engines(n int) []registry.Upstream {
	list := make([]registry.Upstream, n)
	for i := range list {
		list[i] = registry.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 64, StartTime: 1}
	}
	return list
}

// startNetwork connects the given number of routers, which share the given number of
// engines.
func startNetwork(routers, upstreams int) *network {
	n := &network{
		routers: make(map[fleet.RouterID]*home.Coordinator), pools: make(map[fleet.RouterID]*turn.Pool),
		isolated: make(map[fleet.RouterID]bool), mute: make(map[fleet.RouterID]bool), askCount: make(map[fleet.RouterID]int),
		readDelay: make(map[fleet.RouterID]time.Duration),
	}
	for i := range routers {
		id := routerID(i)
		pool := &turn.Pool{}
		pool.SetGrouped(time.Now(), true)
		pool.SetUpstreams(time.Now(), engines(upstreams), target)
		n.pools[id] = pool
		n.routers[id] = &home.Coordinator{
			Self: id, Log: slog.New(slog.DiscardHandler),
			Pool: func(fleet.ServiceID) *turn.Pool { return pool },
			Send: func(to fleet.RouterID, batch *schema.Batch) { n.send(id, to, batch) },
		}
	}
	n.connect()
	return n
}

// connect sets each router's list of the others.
func (n *network) connect() {
	for id, coordinator := range n.routers {
		var others []fleet.RouterID
		for other := range n.routers {
			if other != id {
				others = append(others, other)
			}
		}
		coordinator.SetRouters(others)
	}
}

func (n *network) send(from, to fleet.RouterID, batch *schema.Batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.askCount[to] += len(batch.GetTurnAsks())
	receiver := n.routers[to]
	if n.isolated[from] || n.isolated[to] || n.mute[from] || receiver == nil {
		return
	}
	time.AfterFunc(messageDelay+n.readDelay[to], func() { receiver.HandleBatch(from, batch) })
}

func (n *network) setReadDelay(id fleet.RouterID, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.readDelay[id] = delay
}

// totalAsks returns how many asks were sent.
func (n *network) totalAsks() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for _, count := range n.askCount {
		sum += count
	}
	return sum
}

func (n *network) asksTo(id fleet.RouterID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.askCount[id]
}

// kill removes a router from the network and ends another one's connection to it.
func (n *network) kill(killed, other fleet.RouterID) {
	n.mu.Lock()
	delete(n.routers, killed)
	n.mu.Unlock()
	n.connect()
	n.routers[other].HandleDisconnect(killed)
}

func (n *network) setIsolated(id fleet.RouterID, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[id] = isolated
}

// mostAsked returns the router that was sent the most asks.
func (n *network) mostAsked() fleet.RouterID {
	n.mu.Lock()
	defer n.mu.Unlock()
	var most fleet.RouterID
	for id, count := range n.askCount {
		if most == "" || count > n.askCount[most] {
			most = id
		}
	}
	return most
}

func (n *network) turn(ctx context.Context, router fleet.RouterID, r turn.Request) (home.Ticket, error) {
	return n.routers[router].RequestTurn(ctx, "s", n.pools[router], r)
}

// requestFor returns a request whose prompt starts with the shared prefix of that hash.
func requestFor(prefix, prompt uint64) turn.Request {
	return turn.Request{
		Account: "a", Input: 12_000, Output: 100, Target: target, Patience: target / 2,
		Prefixes: []turn.Prefix{{Hash: prefix, Tokens: 10_000}, {Hash: prompt, Tokens: 12_000}},
	}
}

// Guards against twenty routers that each get a request for the same idle engine at the
// same moment and all send it there, so that the last caller waits for twenty prompts.
// The home grants one turn; the other requests wait or are refused.
func TestRoutersDoNotFillAnEngineTogether(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 1)
		var mu sync.Mutex
		var turns []home.Ticket
		refused := 0
		var group sync.WaitGroup
		for i := range uint64(20) {
			group.Go(func() {
				ticket, err := n.turn(t.Context(), routerID(int(i)), requestFor(100+i, 200+i))
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

// Guards against a frozen or isolated home that keeps its connections open and delays
// every request of its group. Only the first request may be delayed, by a tenth of a
// second. The home is asked again once it has sent something.
func TestUnresponsiveHomeIsSkipped(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 1)
		first, err := n.turn(t.Context(), "r1", requestFor(1, 2))
		require.NoError(t, err)
		first.End(time.Now(), turn.Served)
		time.Sleep(100 * time.Millisecond) // until the home knows that it has ended
		frozen := n.mostAsked()
		n.setIsolated(frozen, true)
		asking := fleet.RouterID("r1")
		if frozen == asking {
			asking = "r2"
		}
		ask := func() time.Duration {
			begin := time.Now()
			ticket, err := n.turn(t.Context(), asking, requestFor(1, 3))
			require.NoError(t, err)
			ticket.End(time.Now(), turn.Served)
			return time.Since(begin)
		}
		require.Less(t, ask(), 130*time.Millisecond)
		require.LessOrEqual(t, ask(), 2*messageDelay)
		n.setIsolated(frozen, false)
		n.routers[asking].HandleBatch(frozen, &schema.Batch{})
		before := n.asksTo(frozen)
		ask()
		require.Equal(t, before+1, n.asksTo(frozen))
	})
}

// A router is short of processor time and reads each answer 200 ms late. With a fixed
// timeout all homes would seem unresponsive, and it would decide by itself, in conflict
// with them. It has to measure how long answers take and wait for them.
func TestSlowRouterWaitsForItsHomes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 1)
		n.setReadDelay("r1", 200*time.Millisecond)
		decidedAlone := 0
		for i := range uint64(20) {
			before := n.totalAsks()
			ticket, err := n.turn(t.Context(), "r1", requestFor(1, i))
			if err == nil {
				ticket.End(time.Now(), turn.Served)
			}
			if i >= 5 && (err != nil || n.totalAsks() != before+1) {
				decidedAlone++
			}
			time.Sleep(300 * time.Millisecond)
		}
		require.Zero(t, decidedAlone)
	})
}

// All routers but one are isolated. That one has to decide by itself after asking two of
// them, well before its callers' patience ends.
func TestRouterDecidesAloneWhenNobodyAnswers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 1)
		for id := range n.routers {
			n.setIsolated(id, true)
		}
		begin := time.Now()
		ticket, err := n.turn(t.Context(), "r1", requestFor(1, 2))
		require.NoError(t, err)
		require.Equal(t, fleet.UpstreamID("e0"), ticket.Upstream().ID)
		require.LessOrEqual(t, time.Since(begin), 240*time.Millisecond)
	})
}

// The home of an engine is killed while requests wait there. They must not be refused:
// the next home grants their turns.
func TestRequestsOutliveTheirHome(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 1)
		running, err := n.turn(t.Context(), "r1", requestFor(1, 2))
		require.NoError(t, err)
		require.NotNil(t, running)
		killed := n.mostAsked()
		asking := fleet.RouterID("r3")
		if killed == asking {
			asking = "r4"
		}
		time.AfterFunc(50*time.Millisecond, func() { n.kill(killed, asking) })
		r := requestFor(9, 10)
		r.Input = 40_000
		ticket, err := n.turn(t.Context(), asking, r)
		require.NoError(t, err)
		require.NotNil(t, ticket)
		time.Sleep(time.Second) // until the wait at the killed home has ended too
	})
}

// Guards against an engine that stays occupied by requests that have ended: one whose
// caller left while it waited at the home, and one whose router lost power while it ran.
func TestTurnsOfRequestsThatLeftAreReleased(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 1)
		running, err := n.turn(t.Context(), "r1", requestFor(1, 2))
		require.NoError(t, err)
		require.NotNil(t, running)
		deciding := n.mostAsked()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		big := requestFor(3, 4)
		big.Input = 60_000
		_, err = n.turn(ctx, "r2", big)
		require.ErrorIs(t, err, context.Canceled)
		time.Sleep(5 * messageDelay)
		n.routers[deciding].HandleDisconnect("r1")
		ticket, err := n.turn(t.Context(), "r5", requestFor(5, 6))
		require.NoError(t, err)
		require.Equal(t, 12_000, ticket.PendingPrefill())
	})
}

// Guards against memory that stays taken by a request whose router stopped without a note.
func TestMemoryOfRequestsThatLeftIsFreed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 1)
		for _, pool := range n.pools {
			pool.SetMemory(time.Now(), turn.Memory{Capacity: 24_000})
		}
		running, err := n.turn(t.Context(), "r1", requestFor(1, 2))
		require.NoError(t, err)
		time.Sleep(target)
		running.RecordFirstEvent(time.Now())
		_, err = n.turn(t.Context(), "r2", requestFor(3, 4))
		var refused *turn.RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, turn.LackMemory, refused.Lack)
		n.routers[n.mostAsked()].HandleDisconnect("r1")
		_, err = n.turn(t.Context(), "r2", requestFor(3, 4))
		require.NoError(t, err)
	})
}

// An upstream has left and the home doesn't know yet. A router that does know must not
// send the request there.
func TestTurnAtAnUpstreamThatHasLeftIsNotUsed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 2)
		first, err := n.turn(t.Context(), "r1", requestFor(1, 2))
		require.NoError(t, err)
		first.End(time.Now(), turn.Served)
		gone := first.Upstream()
		var rest []registry.Upstream
		for _, u := range engines(2) {
			if u.ID != gone.ID {
				rest = append(rest, u)
			}
		}
		n.pools["r1"].SetUpstreams(time.Now(), rest, target)
		ticket, err := n.turn(t.Context(), "r1", requestFor(1, 3))
		require.NoError(t, err)
		require.NotEqual(t, gone.ID, ticket.Upstream().ID)
	})
}

// Guards against a home that grants an upstream to a router which that one has asked for a backoff, and against one that leaves
// it out for other routers, too.
func TestBackoffHoldsForOneRouterOnly(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 2)
		first, err := n.turn(t.Context(), "r1", requestFor(1, 2))
		require.NoError(t, err)
		first.End(time.Now(), turn.Refused)
		preferred := first.Upstream()
		var avoided avoidance.Set[turn.Instance]
		avoided.RecordBackoff(time.Now(), turn.InstanceOf(preferred), time.Minute)
		request := requestFor(1, 3)
		request.Avoid = &avoided
		ticket, err := n.turn(t.Context(), "r1", request)
		require.NoError(t, err)
		require.NotEqual(t, preferred.ID, ticket.Upstream().ID)
		other, err := n.turn(t.Context(), "r2", requestFor(1, 4))
		require.NoError(t, err)
		require.Equal(t, preferred.ID, other.Upstream().ID)
	})
}

// Guards against a request that waits, or goes to another home in vain, while its router must not send to any upstream.
func TestRequestIsRefusedAtOnceWhileAllUpstreamsAreInBackoff(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 24)
		var avoided avoidance.Set[turn.Instance]
		for i, u := range engines(24) {
			avoided.RecordBackoff(time.Now(), turn.InstanceOf(u), 10*time.Second+time.Duration(i)*time.Second)
		}
		request := requestFor(1, 2)
		request.Avoid = &avoided
		asked := time.Now()
		_, err := n.turn(t.Context(), "r1", request)
		var refused *turn.RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, turn.LackBackoff, refused.Lack)
		require.Equal(t, 10*time.Second, refused.RetryAfter, "when the first wants requests again")
		require.Zero(t, time.Since(asked))
		require.Zero(t, n.totalAsks())
	})
}

// An overloaded router refuses requests without asking for turns. Each home has to be sent
// its part of these tokens. Otherwise the account would seem to have no unmet demand, and
// others would get several times its service.
func TestShedTokensReachHomes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const tokens = 80_000
		n := startNetwork(20, 24)
		n.routers["r1"].AddShed("s", "ada", tokens)
		n.routers["r1"].AddShed("s", "ada", tokens)
		time.Sleep(time.Second / 4)
		reported, homes := 0.0, 0
		for _, pool := range n.pools {
			for _, usage := range pool.Report(time.Now()).Accounts {
				reported += usage.Shed
				homes++
			}
		}
		require.Greater(t, homes, 1)
		require.InDelta(t, 2*tokens, reported, 0.1*tokens, "all shed tokens, less what has decayed since")
	})
}

// A small fleet has no homes, so a router's reports contain the tokens that it shed.
func TestSmallFleetReportsShedTokens(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(6, 2)
		n.routers["r1"].AddShed("s", "ada", 80_000)
		time.Sleep(time.Second / 4)
		for id, pool := range n.pools {
			require.Equal(t, id == "r1", len(pool.Report(time.Now()).Accounts) == 1)
		}
	})
}

// In a small fleet routers exchange their load and depend on no home.
func TestSmallFleetHasNoHomes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(6, 2)
		ticket, err := n.turn(t.Context(), "r1", requestFor(1, 2))
		require.NoError(t, err)
		require.NotNil(t, ticket)
		require.Empty(t, n.askCount)
	})
}

// Guards against a request that keeps waiting at its home after the last upstream has
// left.
func TestHomeRefusesWaitingRequestsWhenUpstreamsAreGone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(20, 1)
		long := requestFor(1, 2)
		long.Input = 60_000
		_, err := n.turn(t.Context(), "r1", long)
		require.NoError(t, err)
		errs := make(chan error, 1)
		r := requestFor(1, 3)
		r.Patience = time.Hour
		go func() {
			_, err := n.turn(t.Context(), "r2", r)
			errs <- err
		}()
		time.Sleep(10 * messageDelay)
		select {
		case err := <-errs:
			require.NoError(t, err, "the request waits")
		default:
		}
		left := time.Now()
		for _, pool := range n.pools {
			pool.SetUpstreams(time.Now(), nil, target)
		}
		var refused *turn.RefusedError
		require.ErrorAs(t, <-errs, &refused)
		require.True(t, refused.NoUpstream)
		require.LessOrEqual(t, time.Since(left), 2*messageDelay)
	})
}
