package deployment_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/deployment"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/upstream"
)

const (
	// updateBound is the users' strictest bound on the time to put a change in force.
	updateBound = 2 * time.Second
	// settleTime is for an announcement on loopback to arrive. It is shorter than the
	// time that a router waits for the store before it asks another router.
	settleTime = 50 * time.Millisecond
)

// node is a router's knowledge with its connections to other routers.
type node struct {
	address string
	state   *deployment.State
	mesh    *deployment.Mesh
	// alive are the addresses of upstreams that can be reached; nil none.
	alive map[string]bool
}

func (n *node) check(_ context.Context, address string) error {
	if n.alive[address] {
		return nil
	}
	return &upstream.Error{Address: address}
}

// unconnected returns a router that is connected to no other and listens nowhere.
func unconnected(id fleet.RouterID) *node { return nodeAt(id, "", nil) }

func nodeAt(id fleet.RouterID, address string, listener net.Listener) *node {
	n := &node{address: address}
	n.state = deployment.NewState(deployment.StateOptions{
		Log: slog.New(slog.DiscardHandler), OnChange: func(from string) { n.mesh.Learned(from) },
	})
	n.mesh = deployment.NewMesh(n.state, peer.Options{
		Self: id, Incarnation: 1, Address: address, Key: []byte("one fleet"), Listener: listener,
		Logger: slog.New(slog.DiscardHandler), Heartbeat: 10 * time.Second,
	}, n.check)
	return n
}

func newNode(tb testing.TB, id fleet.RouterID) *node {
	tb.Helper()
	listener, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	n := nodeAt(id, listener.Addr().String(), listener)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.mesh.Peers().Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		require.ErrorIs(tb, <-ended, context.Canceled)
	})
	return n
}

// connect connects a router to others, each at an address.
func (n *node) connect(t *testing.T, addresses map[fleet.RouterID]string) {
	t.Helper()
	n.mesh.Peers().Target(addresses)
	require.Eventually(t, func() bool { return len(n.mesh.Peers().Routers()) == len(addresses) }, 5*time.Second, time.Millisecond)
}

// withRoutes returns version 2 of the configuration, with so many routes more.
func withRoutes(routes int) route.Configuration {
	c := configuration(2)
	for i := range routes {
		added := c.Routes[0]
		added.Name = fmt.Sprintf("added-%d", i)
		added.Prefix = fmt.Sprintf("/added-%d/", i)
		c.Routes = append(c.Routes, added)
	}
	return c
}

func draining(revision registry.Revision) []registry.Change {
	return []registry.Change{{
		Upstream: registry.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", Slots: 8, Draining: true}, Revision: revision,
	}}
}

// readFromSilent returns a router, and another one that it is connected to beside a third
// that has announced a large configuration and fallen silent.
func readFromSilent(t *testing.T) (reader, sound *node) {
	t.Helper()
	reader, sound = newNode(t, "reader"), newNode(t, "sound")
	silent := newNode(t, "silent")
	link := newPauser(t, silent.address)
	reader.connect(t, map[fleet.RouterID]string{"silent": link.address, "sound": sound.address})
	silent.state.Configure(withRoutes(1400), "store")
	time.Sleep(settleTime)
	link.pause()
	return reader, sound
}

// Guards against a router that waits for one silent source of a new configuration though
// another router has announced the same.
func TestConfigurationIsTakenFromAnotherSourceThanASilentOne(t *testing.T) {
	t.Parallel()
	reader, sound := readFromSilent(t)
	sound.state.Configure(withRoutes(1400), "store")
	require.Eventually(t, func() bool { return reader.state.Table().Version() == 2 }, updateBound, time.Millisecond)
}

// Guards against an upstream's draining that waits for the transfer of a configuration.
func TestDrainingIsNotDelayedByATransferOfTheConfiguration(t *testing.T) {
	t.Parallel()
	reader, sound := readFromSilent(t)
	sound.state.ApplyUpstreams(draining(7), "store")
	require.Eventually(t, func() bool { return reader.state.Settled() == 7 }, updateBound, time.Millisecond)
}

// Guards against a source that works anew for each router that asks it for the same
// configuration: in a large fleet many ask at once.
func TestWorkOfAnAnswerDoesNotGrowWithTheConfigurationWhenItIsRepeated(t *testing.T) { //nolint:paralleltest // counts allocations
	const question = `{"configuration-version":1,"upstream-revision":0,"configuration-encoding":"deflate"}`
	allocations := func(routes int) float64 {
		source := newNode(t, "source")
		source.state.Configure(withRoutes(routes), "test")
		return testing.AllocsPerRun(20, func() {
			_, err := source.mesh.Answer(question)
			require.NoError(t, err)
		})
	}
	small := allocations(1)
	large := allocations(2800)
	require.Less(t, large, 2*small+10)
}

// Guards against a fleet of two versions of this program in which the older routers can't
// read the configuration that the newer ones send.
func TestRouterThatReadsNoCompressedConfigurationGetsAPlainOne(t *testing.T) {
	t.Parallel()
	source := newNode(t, "source")
	source.state.Configure(withRoutes(3), "test")
	answer, err := source.mesh.Answer(`{"configuration-version":1,"upstream-revision":0}`)
	require.NoError(t, err)
	text, err := json.Marshal(answer)
	require.NoError(t, err)
	var body struct{ Knowledge, Configuration []byte }
	require.NoError(t, json.Unmarshal(text, &body))
	require.Empty(t, body.Configuration)
	var knowledge schema.Knowledge
	require.NoError(t, proto.Unmarshal(body.Knowledge, &knowledge))
	require.Equal(t, withRoutes(3), deployment.DecodeConfiguration(knowledge.GetConfiguration()))
}
