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
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// testNode is a Peers that records the batches and changes that it receives.
type testNode struct {
	*peer.Peers
	address string
	metrics *metric.Set
	mu      sync.Mutex
	batches []uint64
	changes []peer.Change
	// readGate, if set, blocks the reader after each batch until a value is received.
	readGate chan struct{}
}

type nodeConfig struct {
	id          string
	incarnation fleet.Incarnation
	key         string
	heartbeat   time.Duration
	seeds       []string
	// maxHandshakes is Options.MaxHandshakes.
	maxHandshakes int
	readGate      chan struct{}
}

func startNode(t *testing.T, c nodeConfig) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	if c.key == "" {
		c.key = "the key of the fleet"
	}
	n := &testNode{address: listener.Addr().String(), metrics: metric.New(prometheus.NewRegistry()), readGate: c.readGate}
	n.Peers = peer.New(peer.Options{
		Self: fleet.RouterID(c.id), Incarnation: max(1, c.incarnation), Address: n.address, Key: []byte(c.key),
		Listener: listener, Seeds: c.seeds, Metrics: n.metrics, Heartbeat: c.heartbeat, MaxHandshakes: c.maxHandshakes,
		Guard: &recovery.Guard{Log: slog.New(slog.DiscardHandler)},
	})
	n.OnBatch(n.recordBatch)
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

func (n *testNode) recordBatch(_ fleet.RouterID, batch *schema.Batch) {
	n.mu.Lock()
	n.batches = append(n.batches, batch.GetGrantedThrough())
	n.mu.Unlock()
	if n.readGate != nil {
		<-n.readGate
	}
}

func (n *testNode) received() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]uint64(nil), n.batches...)
}

func (n *testNode) controlBytes(direction string) float64 {
	var value dto.Metric
	_ = n.metrics.ControlBytes.WithLabelValues(direction, metric.Peer).Write(&value)
	return value.GetCounter().GetValue()
}

func (n *testNode) disconnects() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, change := range n.changes {
		if !change.Connected {
			count++
		}
	}
	return count
}

func numberedBatch(n uint64) *schema.Batch { return &schema.Batch{GrantedThrough: n} }

func waitConnected(t *testing.T, nodes ...*testNode) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if len(n.Routers()) != len(nodes)-1 {
				return false
			}
		}
		return true
	}, waitTimeout, pollInterval)
}

func TestBatchesAndCallsBothWays(t *testing.T) {
	t.Parallel()
	a := startNode(t, nodeConfig{id: "a"})
	b := startNode(t, nodeConfig{id: "b"})
	b.SetTargets(map[fleet.RouterID]string{"a": a.address})
	waitConnected(t, a, b)
	for i := range uint64(100) {
		a.Send("b", numberedBatch(i+1))
		b.Send("a", numberedBatch(i+1))
	}
	require.Eventually(t, func() bool { return len(a.received()) == 100 && len(b.received()) == 100 }, waitTimeout, pollInterval)
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
	a := startNode(t, nodeConfig{id: "a"})
	b := startNode(t, nodeConfig{id: "b", seeds: []string{a.address}})
	waitConnected(t, a, b)
}

// Two routers are connected, and the one with the greater id dials as well,
// because it does not know which router a seed address belongs to. If the second
// connection replaced the first, both routers would have to announce everything
// in flight between them again.
func TestSecondConnectionIsRejected(t *testing.T) {
	t.Parallel()
	a := startNode(t, nodeConfig{id: "a"})
	link := newProxy(t, a.address)
	link.cut()
	b := startNode(t, nodeConfig{id: "b", seeds: []string{link.address}})
	a.SetTargets(map[fleet.RouterID]string{"b": b.address})
	waitConnected(t, a, b)
	link.restore()
	require.Eventually(t, func() bool { return a.Faults().Duplicate+b.Faults().Duplicate > 0 }, waitTimeout, pollInterval)
	require.Zero(t, a.disconnects()+b.disconnects())
	b.Send("a", numberedBatch(3))
	require.Eventually(t, func() bool { return len(a.received()) == 1 }, waitTimeout, pollInterval)
}

func TestSixRoutersConnectEachWithEach(t *testing.T) {
	t.Parallel()
	var nodes []*testNode
	targets := make(map[fleet.RouterID]string)
	for i := range 6 {
		n := startNode(t, nodeConfig{id: fmt.Sprintf("router-%d", i)})
		nodes = append(nodes, n)
		targets[fleet.RouterID(fmt.Sprintf("router-%d", i))] = n.address
	}
	for _, n := range nodes {
		n.SetTargets(targets)
	}
	waitConnected(t, nodes...)
	for _, n := range nodes {
		for _, to := range n.Routers() {
			n.Send(to, numberedBatch(1))
		}
	}
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if len(n.received()) != len(nodes)-1 {
				return false
			}
		}
		return true
	}, waitTimeout, pollInterval)
}

// A process without the fleet key dials a router, or listens at the address of
// one. If it were accepted, it could send arbitrary grants and reports.
func TestWrongKeyIsRejected(t *testing.T) {
	t.Parallel()
	a := startNode(t, nodeConfig{id: "a"})
	wrongKey := startNode(t, nodeConfig{id: "b", key: "another key altogether"})
	wrongKey.SetTargets(map[fleet.RouterID]string{"a": a.address})
	require.Eventually(t, func() bool {
		return a.Faults().Rejected+wrongKey.Faults().Rejected > 0
	}, waitTimeout, pollInterval)
	// The router also rejects the process if the router is the one that dials.
	a.SetTargets(map[fleet.RouterID]string{"b": wrongKey.address})
	before := a.Faults().Rejected
	require.Eventually(t, func() bool { return a.Faults().Rejected > before }, waitTimeout, pollInterval)
	for _, n := range []*testNode{a, wrongKey} {
		n.mu.Lock()
		require.Empty(t, n.changes)
		n.mu.Unlock()
	}
}

// A process without the fleet key follows the protocol, ignores the router's
// proof and sends an invalid proof of its own.
func TestForgedProofIsRejected(t *testing.T) {
	t.Parallel()
	a := startNode(t, nodeConfig{id: "a"})
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
	require.Eventually(t, func() bool { return a.Faults().Rejected == 1 }, waitTimeout, pollInterval)
	a.mu.Lock()
	defer a.mu.Unlock()
	require.Empty(t, a.changes)
}

// A client that isn't a router connects and sends invalid data, such as a port
// scanner or an attacker that announces a huge frame to exhaust the memory. The
// connection must be closed before the payload is read.
func TestMalformedFramesCloseTheConnection(t *testing.T) {
	t.Parallel()
	for name, data := range map[string][]byte{
		"http":    []byte("GET / HTTP/1.1\r\n\r\n"),
		"huge":    {1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f},
		"garbage": {1, 3, 0xff, 0xff, 0xff},
		// A call of 16 MB is allowed between routers, but not before the hello.
		"early call": {4, 0x80, 0x80, 0x80, 0x08},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := startNode(t, nodeConfig{id: "a"})
			c, err := net.Dial("tcp", a.address)
			require.NoError(t, err)
			defer c.Close()
			_, err = c.Write(data)
			require.NoError(t, err)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
			_, err = c.Read(make([]byte, 1))
			require.Error(t, err)
			require.Eventually(t, func() bool { return a.Faults().Malformed == 1 }, waitTimeout, pollInterval)
		})
	}
}

// A router was replaced by a new incarnation, and then the old process, which was
// only paused, connects. It must not replace the connection of the new one.
func TestOlderIncarnationIsRejected(t *testing.T) {
	t.Parallel()
	a := startNode(t, nodeConfig{id: "a"})
	newer := startNode(t, nodeConfig{id: "b", incarnation: 2})
	newer.SetTargets(map[fleet.RouterID]string{"a": a.address})
	waitConnected(t, a, newer)
	older := startNode(t, nodeConfig{id: "b", incarnation: 1})
	older.SetTargets(map[fleet.RouterID]string{"a": a.address})
	require.Eventually(t, func() bool { return a.Faults().Rejected > 0 }, waitTimeout, pollInterval)
	newer.Send("a", numberedBatch(7))
	require.Eventually(t, func() bool { return len(a.received()) == 1 }, waitTimeout, pollInterval)
	require.Zero(t, a.disconnects())
}

// A router freezes: its kernel still accepts bytes for a while, but nothing reads
// them. Sending to it must neither block nor delay other routers, and it must
// count as lost once its queue is full.
func TestFrozenRouterDoesNotDelayOthers(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	a := startNode(t, nodeConfig{id: "a", heartbeat: time.Hour})
	frozen := startNode(t, nodeConfig{id: "b", readGate: gate, heartbeat: time.Hour})
	healthy := startNode(t, nodeConfig{id: "c", heartbeat: time.Hour})
	t.Cleanup(func() { close(gate) })
	a.SetTargets(map[fleet.RouterID]string{"b": frozen.address, "c": healthy.address})
	require.Eventually(t, func() bool { return len(a.Routers()) == 2 }, waitTimeout, pollInterval)
	big := &schema.Batch{Held: []*schema.Held{{Ids: make([]uint64, 200_000)}}}
	sent := 0
	for a.Faults().QueueFull == 0 {
		a.Send("b", big)
		sent++
		require.Less(t, sent, 5000)
	}
	require.Eventually(t, func() bool { return a.disconnects() > 0 }, waitTimeout, pollInterval)
	a.Send("c", numberedBatch(1))
	require.Eventually(t, func() bool { return len(healthy.received()) == 1 }, waitTimeout, pollInterval)
}

// A router is paused until the others count it as lost. When it resumes, it can
// still read what they sent before, such as grants of slots that other routers
// hold by now. It must drop these messages and reconnect.
func TestRouterThatWasPausedDropsOldMessages(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	const heartbeat = 50 * time.Millisecond
	a := startNode(t, nodeConfig{id: "a", heartbeat: heartbeat})
	paused := startNode(t, nodeConfig{id: "b", readGate: gate, heartbeat: heartbeat})
	a.SetTargets(map[fleet.RouterID]string{"b": paused.address})
	waitConnected(t, a, paused)
	a.Send("b", numberedBatch(1))
	require.Eventually(t, func() bool { return len(paused.received()) == 1 }, waitTimeout, pollInterval)
	// The reader of b is blocked from here on.
	a.Send("b", numberedBatch(2))
	time.Sleep(20 * heartbeat)
	close(gate)
	require.Eventually(t, func() bool { return paused.disconnects() == 1 }, waitTimeout, pollInterval)
	waitConnected(t, a, paused)
	a.Send("b", numberedBatch(3))
	require.Eventually(t, func() bool { return len(paused.received()) == 2 }, waitTimeout, pollInterval)
	require.Equal(t, []uint64{1, 3}, paused.received())
}

// The network between two routers drops all packets, so that neither side sees
// its connection close. Both must detect the loss by timeout, and reconnect
// when the network is back.
func TestCutAndRejoin(t *testing.T) {
	t.Parallel()
	const heartbeat = 50 * time.Millisecond
	a := startNode(t, nodeConfig{id: "a", heartbeat: heartbeat})
	b := startNode(t, nodeConfig{id: "b", heartbeat: heartbeat})
	link := newProxy(t, a.address)
	b.SetTargets(map[fleet.RouterID]string{"a": link.address})
	waitConnected(t, a, b)
	link.cut()
	require.Eventually(t, func() bool { return a.disconnects() == 1 && b.disconnects() >= 1 }, waitTimeout, pollInterval)
	require.Positive(t, a.Faults().Silent+b.Faults().Silent)
	link.restore()
	waitConnected(t, a, b)
	b.Send("a", numberedBatch(5))
	require.Eventually(t, func() bool { return len(a.received()) == 1 }, waitTimeout, pollInterval)
}

// The metrics must count every byte of control traffic on both sides, so that
// they show the traffic that operators pay for.
func TestBytesAreCountedOnBothSides(t *testing.T) {
	t.Parallel()
	a := startNode(t, nodeConfig{id: "a", heartbeat: time.Hour})
	b := startNode(t, nodeConfig{id: "b", heartbeat: time.Hour})
	b.SetTargets(map[fleet.RouterID]string{"a": a.address})
	waitConnected(t, a, b)
	for i := range uint64(10) {
		b.Send("a", numberedBatch(i+1))
	}
	require.Eventually(t, func() bool { return len(a.received()) == 10 }, waitTimeout, pollInterval)
	require.Eventually(t, func() bool {
		sent := b.controlBytes(metric.Sent)
		received := a.controlBytes(metric.Received)
		return sent == received && sent > 10*4
	}, waitTimeout, pollInterval)
}

// Guards against a frozen router that is noticed late in a large fleet although others depend on it.
func TestSilenceOfAWatchedRouterIsNoticedSooner(t *testing.T) {
	t.Parallel()
	const heartbeat, routers = 100 * time.Millisecond, 40 // a heartbeat each 400 ms in such a fleet
	hub := startNode(t, nodeConfig{id: "hub", heartbeat: heartbeat})
	links := make(map[fleet.RouterID]*proxy)
	for i := range routers {
		id := fmt.Sprintf("r%02d", i)
		n := startNode(t, nodeConfig{id: id, heartbeat: heartbeat})
		link := newProxy(t, hub.address)
		links[fleet.RouterID(id)] = link
		n.SetTargets(map[fleet.RouterID]string{"hub": link.address})
	}
	require.Eventually(t, func() bool { return len(hub.Routers()) == routers }, waitTimeout, pollInterval)
	hub.SetWatched([]fleet.RouterID{"r01"})
	time.Sleep(5 * heartbeat)
	cut := time.Now()
	links["r01"].cut()
	links["r02"].cut()
	after := make(map[fleet.RouterID]time.Duration)
	require.Eventually(t, func() bool {
		for _, id := range []fleet.RouterID{"r01", "r02"} {
			if after[id] == 0 && hub.IsSilent(id) {
				after[id] = time.Since(cut)
			}
		}
		return len(after) == 2
	}, waitTimeout, pollInterval)
	require.Less(t, after["r01"], after["r02"]-heartbeat)
}

// Guards against a router that runs out of descriptors because of connections that never prove that they belong to the fleet,
// and against routers that these keep out.
func TestSilentConnectionsGiveWayToRouters(t *testing.T) {
	t.Parallel()
	const limit, crowd = 16, 200
	a := startNode(t, nodeConfig{id: "a", maxHandshakes: limit})
	for range crowd {
		conn, err := net.Dial("tcp", a.address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	b := startNode(t, nodeConfig{id: "b", seeds: []string{a.address}})
	waitConnected(t, a, b)
	require.GreaterOrEqual(t, a.Faults().Crowded, int64(crowd-limit))
}
