package deployment_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/deployment"
	"nutmeglock.example/nutmeglock/evacuation"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/upstream"
)

const (
	// maxUpdateTime is the strictest bound of the users on the time until a change is in force.
	maxUpdateTime = 2 * time.Second
	// propagationTime is enough for an announcement over loopback. It is shorter than the time
	// that a router waits for the store before it pulls from another router.
	propagationTime = 50 * time.Millisecond
)

// node is a router's state and mesh without its servers for callers.
type node struct {
	address string
	state   *deployment.State
	mesh    *deployment.Mesh
	metrics *metric.Set
	// reachable holds the addresses of the upstreams that can be reached; nil means none.
	reachable map[string]bool
	// stop ends the connections.
	stop context.CancelFunc
}

func (n *node) check(_ context.Context, address string) error {
	if n.reachable[address] {
		return nil
	}
	return &upstream.Error{Address: address}
}

// newUnconnectedNode returns a router without connections and without a listener.
func newUnconnectedNode(id fleet.RouterID) *node { return newNodeAt(id, "", nil) }

func newNodeAt(id fleet.RouterID, address string, listener net.Listener) *node {
	n := &node{address: address, metrics: metric.New(prometheus.NewRegistry())}
	n.state = deployment.NewState(deployment.StateOptions{
		Log: slog.New(slog.DiscardHandler), OnChange: func(source string) { n.mesh.AnnounceUpdate(source) },
	})
	n.mesh = deployment.NewMesh(n.state, peer.Options{
		Self: id, Incarnation: 1, Address: address, Key: []byte("one fleet"), Listener: listener,
		Metrics: n.metrics, Logger: slog.New(slog.DiscardHandler), Heartbeat: 10 * time.Second,
	}, n.check)
	return n
}

func newNode(tb testing.TB, id fleet.RouterID) *node {
	tb.Helper()
	return newNodeThat(tb, id, func(*node) {})
}

// newNodeThat returns a node that is prepared before its connections are opened.
func newNodeThat(tb testing.TB, id fleet.RouterID, prepare func(n *node)) *node {
	tb.Helper()
	listener, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	n := newNodeAt(id, listener.Addr().String(), listener)
	prepare(n)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	ended := make(chan error, 1)
	go func() { ended <- n.mesh.Peers().Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		require.ErrorIs(tb, <-ended, context.Canceled)
	})
	return n
}

// connect connects the node to other routers by their addresses.
func (n *node) connect(t *testing.T, addresses map[fleet.RouterID]string) {
	t.Helper()
	n.mesh.Peers().SetTargets(addresses)
	require.Eventually(t, func() bool { return len(n.mesh.Peers().Routers()) == len(addresses) }, 5*time.Second, time.Millisecond)
}

// configurationWithRoutes returns version 2 of the configuration with additional routes.
func configurationWithRoutes(routes int) route.Configuration {
	c := testConfiguration(2)
	for i := range routes {
		added := c.Routes[0]
		added.Name = fmt.Sprintf("added-%d", i)
		added.Prefix = fmt.Sprintf("/added-%d/", i)
		c.Routes = append(c.Routes, added)
	}
	return c
}

func drainingChange(revision registry.Revision) []registry.Change {
	return []registry.Change{{
		Upstream: registry.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", Slots: 8, Draining: true}, Revision: revision,
	}}
}

// newReaderWithSilentSource returns a router that is connected to a responsive one and to a third
// that has announced a large configuration and then stopped responding.
func newReaderWithSilentSource(t *testing.T) (reader, responsive *node) {
	t.Helper()
	reader, responsive = newNode(t, "reader"), newNode(t, "responsive")
	silent := newNode(t, "silent")
	proxy := newPausableProxy(t, silent.address)
	reader.connect(t, map[fleet.RouterID]string{"silent": proxy.address, "responsive": responsive.address})
	silent.state.Configure(configurationWithRoutes(1400), "store")
	time.Sleep(propagationTime)
	proxy.pause()
	return reader, responsive
}

// Guards against a router that keeps waiting for a silent source of a new configuration though
// another router has announced the same version.
func TestConfigurationIsTakenFromAnotherSourceThanASilentOne(t *testing.T) {
	t.Parallel()
	reader, responsive := newReaderWithSilentSource(t)
	responsive.state.Configure(configurationWithRoutes(1400), "store")
	require.Eventually(t, func() bool { return reader.state.Table().Version() == 2 }, maxUpdateTime, time.Millisecond)
}

// Guards against an upstream's draining state being delayed by the transfer of a configuration.
func TestDrainingIsNotDelayedByATransferOfTheConfiguration(t *testing.T) {
	t.Parallel()
	reader, responsive := newReaderWithSilentSource(t)
	responsive.state.ApplyUpstreams(drainingChange(7), "store")
	require.Eventually(t, func() bool { return reader.state.SettledRevision() == 7 }, maxUpdateTime, time.Millisecond)
}

// Guards against encoding the same configuration again for each router that requests it: in a
// large fleet many request it at once.
func TestRepeatedKnowledgeRequestDoesNotEncodeTheConfigurationAgain(t *testing.T) { //nolint:paralleltest // counts allocations
	const request = `{"configuration-version":1,"upstream-revision":0,"configuration-encoding":"deflate"}`
	allocations := func(routes int) float64 {
		source := newNode(t, "source")
		source.state.Configure(configurationWithRoutes(routes), "test")
		return testing.AllocsPerRun(20, func() {
			_, err := source.mesh.AnswerKnowledgeRequest(request)
			require.NoError(t, err)
		})
	}
	small := allocations(1)
	large := allocations(2800)
	require.Less(t, large, 2*small+10)
}

// Guards against a fleet with two versions of this program in which the older routers can't
// read the configuration that the newer ones send.
func TestRouterThatReadsNoCompressedConfigurationGetsAPlainOne(t *testing.T) {
	t.Parallel()
	source := newNode(t, "source")
	source.state.Configure(configurationWithRoutes(3), "test")
	answer, err := source.mesh.AnswerKnowledgeRequest(`{"configuration-version":1,"upstream-revision":0}`)
	require.NoError(t, err)
	text, err := json.Marshal(answer)
	require.NoError(t, err)
	var body struct{ Knowledge, Configuration []byte }
	require.NoError(t, json.Unmarshal(text, &body))
	require.Empty(t, body.Configuration)
	var knowledge schema.Knowledge
	require.NoError(t, proto.Unmarshal(body.Knowledge, &knowledge))
	require.Equal(t, configurationWithRoutes(3), deployment.DecodeConfiguration(knowledge.GetConfiguration()))
}

// Guards against upstreams of an evacuated data centre that still get requests from routers that the
// store doesn't answer.
func TestEvacuationIsTakenFromAnotherRouter(t *testing.T) {
	t.Parallel()
	reader, source := newNode(t, "reader"), newNode(t, "source")
	reader.connect(t, map[fleet.RouterID]string{"source": source.address})
	for _, n := range []*node{reader, source} {
		n.state.Configure(testConfiguration(1), "test")
		n.state.ApplyUpstreams([]registry.Change{{
			Upstream: registry.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", DataCenter: "z", Slots: 8}, Revision: 3,
		}}, "test")
		require.True(t, n.state.HasAddress("10.0.0.1:80"))
	}
	source.state.ApplyEvacuations([]evacuation.Change{{DataCenter: "z", Revision: 9}}, "store")
	require.Eventually(t, func() bool { return !reader.state.HasAddress("10.0.0.1:80") }, maxUpdateTime, time.Millisecond)
	source.state.ReplaceEvacuations(nil, 12, "store")
	require.Eventually(t, func() bool { return reader.state.HasAddress("10.0.0.1:80") }, maxUpdateTime, time.Millisecond)
	reader.state.ReplaceEvacuations([]evacuation.Change{{DataCenter: "z", Revision: 9}}, 10, "store")
	require.True(t, reader.state.HasAddress("10.0.0.1:80"), "an old answer of the store")
}

// Guards against a router that starts during an evacuation, is refused by the store and learns of the
// configuration only.
func TestStartingRouterLearnsOfAnEvacuation(t *testing.T) {
	t.Parallel()
	reader, source := newNode(t, "reader"), newNode(t, "source")
	source.state.Configure(testConfiguration(1), "store")
	source.state.ApplyUpstreams(drainingChange(3), "store")
	source.state.ApplyEvacuations([]evacuation.Change{{DataCenter: "z", Revision: 2}}, "store")
	reader.connect(t, map[fleet.RouterID]string{"source": source.address})
	require.Eventually(t, func() bool { return reader.state.EvacuationRevision() == 2 }, maxUpdateTime, time.Millisecond)
}

// The load of a restart of many routers before thousands of upstreams: each asks for the whole list.
// Guards against answers of several times the size that is needed.
func TestLargeListOfUpstreamsIsCompressed(t *testing.T) {
	t.Parallel()
	const upstreams = 3000
	source := newNode(t, "source")
	var changes []registry.Change
	for i := range upstreams {
		changes = append(changes, registry.Change{Revision: registry.Revision(i + 1), Upstream: registry.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("i-%010x", i*7919)), Service: "s", DataCenter: "kuopio-dc", Slots: 64,
			Address: fmt.Sprintf("10.2.%d.%d:8409", i/250, i%250), StartTime: registry.StartTime(1776664793149 + i),
		}})
	}
	source.state.ApplyUpstreams(changes, "test")
	size := func(request string) int {
		answer, err := source.mesh.AnswerKnowledgeRequest(request)
		require.NoError(t, err)
		text, err := json.Marshal(answer)
		require.NoError(t, err)
		return len(text)
	}
	plain := size(`{"configuration-version":1,"upstream-revision":0}`)
	compressed := size(`{"configuration-version":1,"upstream-revision":0,"knowledge-encoding":"deflate"}`)
	require.Less(t, 3*compressed, plain)

	reader := newNode(t, "reader")
	reader.connect(t, map[fleet.RouterID]string{"source": source.address})
	require.Eventually(t, func() bool { return reader.state.SettledRevision() == upstreams }, maxUpdateTime, time.Millisecond)
	require.Len(t, reader.state.Upstreams(), upstreams)
}
