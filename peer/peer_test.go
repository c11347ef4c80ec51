package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	patience = 10 * time.Second
	often    = 5 * time.Millisecond
)

// node is a Peers that records what reaches it.
type node struct {
	*peer.Peers
	address string
	metrics *metric.Set
	mu      sync.Mutex
	batches []uint64
	changes []peer.Change
	// gate, when it is set, holds up the reading of each batch.
	gate chan struct{}
}

type setup struct {
	id        string
	life      fleet.Incarnation
	key       string
	heartbeat time.Duration
	seeds     []string
	gate      chan struct{}
}

func start(t *testing.T, s setup) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	if s.key == "" {
		s.key = "the key of the fleet"
	}
	n := &node{address: listener.Addr().String(), metrics: metric.New(prometheus.NewRegistry()), gate: s.gate}
	n.Peers = peer.New(peer.Options{
		Self: fleet.RouterID(s.id), Incarnation: max(1, s.life), Address: n.address, Key: []byte(s.key),
		Listener: listener, Seeds: s.seeds, Metrics: n.metrics, Heartbeat: s.heartbeat,
		Guard: &recovery.Guard{Log: slog.New(slog.DiscardHandler)},
	})
	n.OnBatch(n.batch)
	n.OnChange(func(change peer.Change) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changes = append(n.changes, change)
	})
	n.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return n
}

func (n *node) batch(_ fleet.RouterID, batch *schema.Batch) {
	n.mu.Lock()
	n.batches = append(n.batches, batch.GetGrantedThrough())
	n.mu.Unlock()
	if n.gate != nil {
		<-n.gate
	}
}

func (n *node) received() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]uint64(nil), n.batches...)
}

func (n *node) bytes(direction string) float64 {
	var value dto.Metric
	_ = n.metrics.ControlBytes.WithLabelValues(direction, metric.Peer).Write(&value)
	return value.GetCounter().GetValue()
}

func (n *node) lost() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost := 0
	for _, change := range n.changes {
		if !change.Connected {
			lost++
		}
	}
	return lost
}

func number(n uint64) *schema.Batch { return &schema.Batch{GrantedThrough: n} }

func connected(t *testing.T, nodes ...*node) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if len(n.Routers()) != len(nodes)-1 {
				return false
			}
		}
		return true
	}, patience, often)
}

func TestBatchesAndCallsBothWays(t *testing.T) {
	t.Parallel()
	a := start(t, setup{id: "a"})
	b := start(t, setup{id: "b"})
	b.Target(map[fleet.RouterID]string{"a": a.address})
	connected(t, a, b)
	for i := range uint64(100) {
		a.Send("b", number(i+1))
		b.Send("a", number(i+1))
	}
	require.Eventually(t, func() bool { return len(a.received()) == 100 && len(b.received()) == 100 }, patience, often)
	require.IsIncreasing(t, a.received())

	var got map[string]int
	require.NoError(t, a.Call(t.Context(), "b", "echo", map[string]int{"x": 1}, &got))
	require.Equal(t, map[string]int{"x": 1}, got)
	require.NoError(t, b.Call(t.Context(), "a", "echo", map[string]int{"y": 2}, &got))
	require.Error(t, a.Call(t.Context(), "b", "unheard-of", nil, nil))
	var missing *peer.NotConnectedError
	require.ErrorAs(t, a.Call(t.Context(), "c", "echo", nil, nil), &missing)
	require.Equal(t, fleet.RouterID("c"), missing.Router)
}

func TestSeedsConnectRoutersThatKnowNobody(t *testing.T) {
	t.Parallel()
	a := start(t, setup{id: "a"})
	b := start(t, setup{id: "b", seeds: []string{a.address}})
	connected(t, a, b)
}

// Two routers are connected, and the one with the greater id dials as well,
// because a seed did not tell it whom it would reach. Were the second
// connection taken, the first would break and all that is in flight between
// the two be announced anew.
func TestSecondConnectionIsTurnedAway(t *testing.T) {
	t.Parallel()
	a := start(t, setup{id: "a"})
	wire := newProxy(t, a.address)
	wire.cut()
	b := start(t, setup{id: "b", seeds: []string{wire.address}})
	a.Target(map[fleet.RouterID]string{"b": b.address})
	connected(t, a, b)
	wire.mend()
	require.Eventually(t, func() bool { return a.Faults().Duplicate+b.Faults().Duplicate > 0 }, patience, often)
	require.Zero(t, a.lost()+b.lost())
	b.Send("a", number(3))
	require.Eventually(t, func() bool { return len(a.received()) == 1 }, patience, often)
}

func TestSixRoutersConnectEachWithEach(t *testing.T) {
	t.Parallel()
	var nodes []*node
	targets := make(map[fleet.RouterID]string)
	for i := range 6 {
		n := start(t, setup{id: fmt.Sprintf("router-%d", i)})
		nodes = append(nodes, n)
		targets[fleet.RouterID(fmt.Sprintf("router-%d", i))] = n.address
	}
	for _, n := range nodes {
		n.Target(targets)
	}
	connected(t, nodes...)
	for _, n := range nodes {
		for _, to := range n.Routers() {
			n.Send(to, number(1))
		}
	}
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if len(n.received()) != len(nodes)-1 {
				return false
			}
		}
		return true
	}, patience, often)
}

// A process that does not hold the fleet key dials a router, or listens where
// one is expected. Were it let in, it could grant and report what it likes.
func TestWrongKeyIsNotLetIn(t *testing.T) {
	t.Parallel()
	a := start(t, setup{id: "a"})
	stranger := start(t, setup{id: "b", key: "another key altogether"})
	stranger.Target(map[fleet.RouterID]string{"a": a.address})
	require.Eventually(t, func() bool {
		return a.Faults().Rejected+stranger.Faults().Rejected > 0
	}, patience, often)
	// A router that the stranger's listener answers in its turn lets nothing in either.
	a.Target(map[fleet.RouterID]string{"b": stranger.address})
	seen := a.Faults().Rejected
	require.Eventually(t, func() bool { return a.Faults().Rejected > seen }, patience, often)
	for _, n := range []*node{a, stranger} {
		n.mu.Lock()
		require.Empty(t, n.changes)
		n.mu.Unlock()
	}
}

// A process without the fleet key speaks the protocol, takes no offence at
// what the router proves to it, and makes up its own proof.
func TestMadeUpProofIsNotLetIn(t *testing.T) {
	t.Parallel()
	a := start(t, setup{id: "a"})
	c, err := net.Dial("tcp", a.address)
	require.NoError(t, err)
	defer c.Close()
	for _, hello := range []*schema.Hello{
		{Router: "b", Incarnation: 1, Nonce: make([]byte, 16)}, {Proof: make([]byte, 32)},
	} {
		data, err := proto.Marshal(hello)
		require.NoError(t, err)
		_, err = c.Write(append([]byte{1, byte(len(data))}, data...))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return a.Faults().Rejected == 1 }, patience, often)
	a.mu.Lock()
	defer a.mu.Unlock()
	require.Empty(t, a.changes)
}

// Something other than a router connects and sends what it likes: a port
// scanner, or a frame that claims to be huge so that the router runs out of
// memory. The connection is closed before the payload is read.
func TestMalformedFramesCloseTheConnection(t *testing.T) {
	t.Parallel()
	for name, data := range map[string][]byte{
		"http":    []byte("GET / HTTP/1.1\r\n\r\n"),
		"huge":    {1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f},
		"garbage": {1, 3, 0xff, 0xff, 0xff},
		// 16 MB of a call are fine between routers, but not before the hello.
		"early call": {4, 0x80, 0x80, 0x80, 0x08},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := start(t, setup{id: "a"})
			c, err := net.Dial("tcp", a.address)
			require.NoError(t, err)
			defer c.Close()
			_, err = c.Write(data)
			require.NoError(t, err)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
			_, err = c.Read(make([]byte, 1))
			require.Error(t, err)
			require.Eventually(t, func() bool { return a.Faults().Malformed == 1 }, patience, often)
		})
	}
}

// A router was replaced by a new life, and then a packet of the old life's
// process, which was only paused, asks for a connection. It must not push out
// the new one.
func TestOlderLifeOfARouterIsDropped(t *testing.T) {
	t.Parallel()
	a := start(t, setup{id: "a"})
	second := start(t, setup{id: "b", life: 2})
	second.Target(map[fleet.RouterID]string{"a": a.address})
	connected(t, a, second)
	first := start(t, setup{id: "b", life: 1})
	first.Target(map[fleet.RouterID]string{"a": a.address})
	require.Eventually(t, func() bool { return a.Faults().Rejected > 0 }, patience, often)
	second.Send("a", number(7))
	require.Eventually(t, func() bool { return len(a.received()) == 1 }, patience, often)
	require.Zero(t, a.lost())
}

// A router freezes: its kernel still accepts bytes for a while, but nobody
// reads them. Sending to it must neither wait nor hold up the others, and it
// counts as lost once its queue is full.
func TestFrozenRouterHoldsUpNobody(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	a := start(t, setup{id: "a", heartbeat: time.Hour})
	frozen := start(t, setup{id: "b", gate: gate, heartbeat: time.Hour})
	awake := start(t, setup{id: "c", heartbeat: time.Hour})
	t.Cleanup(func() { close(gate) })
	a.Target(map[fleet.RouterID]string{"b": frozen.address, "c": awake.address})
	require.Eventually(t, func() bool { return len(a.Routers()) == 2 }, patience, often)
	big := &schema.Batch{Held: []*schema.Held{{Ids: make([]uint64, 200_000)}}}
	sent := 0
	for a.Faults().Overflown == 0 {
		a.Send("b", big)
		sent++
		require.Less(t, sent, 5000)
	}
	require.Eventually(t, func() bool { return a.lost() > 0 }, patience, often)
	a.Send("c", number(1))
	require.Eventually(t, func() bool { return len(awake.received()) == 1 }, patience, often)
}

// A router is paused for longer than the others wait for it. When it wakes,
// what was sent to it before lies ready to be read: grants for slots that went
// to others meanwhile. It must drop them and begin anew.
func TestRouterThatWasPausedDropsOldMessages(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	const heartbeat = 50 * time.Millisecond
	a := start(t, setup{id: "a", heartbeat: heartbeat})
	paused := start(t, setup{id: "b", gate: gate, heartbeat: heartbeat})
	a.Target(map[fleet.RouterID]string{"b": paused.address})
	connected(t, a, paused)
	a.Send("b", number(1))
	require.Eventually(t, func() bool { return len(paused.received()) == 1 }, patience, often)
	// The reader of b stands still now.
	a.Send("b", number(2))
	time.Sleep(20 * heartbeat)
	close(gate)
	require.Eventually(t, func() bool { return paused.lost() == 1 }, patience, often)
	connected(t, a, paused)
	a.Send("b", number(3))
	require.Eventually(t, func() bool { return len(paused.received()) == 2 }, patience, often)
	require.Equal(t, []uint64{1, 3}, paused.received())
}

// The network between two routers is cut without a word, so that neither side
// sees its connection end. Both must notice by themselves, and find each other
// again afterwards.
func TestCutAndRejoin(t *testing.T) {
	t.Parallel()
	const heartbeat = 50 * time.Millisecond
	a := start(t, setup{id: "a", heartbeat: heartbeat})
	b := start(t, setup{id: "b", heartbeat: heartbeat})
	wire := newProxy(t, a.address)
	b.Target(map[fleet.RouterID]string{"a": wire.address})
	connected(t, a, b)
	wire.cut()
	require.Eventually(t, func() bool { return a.lost() == 1 && b.lost() >= 1 }, patience, often)
	require.Positive(t, a.Faults().Silent+b.Faults().Silent)
	wire.mend()
	connected(t, a, b)
	b.Send("a", number(5))
	require.Eventually(t, func() bool { return len(a.received()) == 1 }, patience, often)
}

// Every byte of control traffic counts, so that the figures on the metrics
// page are those that operators pay for.
func TestBytesAreCountedOnBothSides(t *testing.T) {
	t.Parallel()
	a := start(t, setup{id: "a", heartbeat: time.Hour})
	b := start(t, setup{id: "b", heartbeat: time.Hour})
	b.Target(map[fleet.RouterID]string{"a": a.address})
	connected(t, a, b)
	for i := range uint64(10) {
		b.Send("a", number(i+1))
	}
	require.Eventually(t, func() bool { return len(a.received()) == 10 }, patience, often)
	require.Eventually(t, func() bool {
		sent := b.bytes(metric.Sent)
		received := a.bytes(metric.Received)
		return sent == received && sent > 10*4
	}, patience, often)
}
