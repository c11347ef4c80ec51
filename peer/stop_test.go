package peer_test

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/recovery"
)

// Guards against a data race in a router that stops while another one connects to it: the
// calls on the new connection end before it is registered, and close it while it is still
// set up. Registration is held up here by the callback of an earlier connection.
func TestRouterStopsWhileAConnectionIsSetUp(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	peers := peer.New(peer.Options{
		Self: "a", Incarnation: 1, Address: address, Key: []byte("the key of the fleet"), Listener: listener,
		Metrics: metric.New(prometheus.NewRegistry()), Guard: &recovery.Guard{Log: slog.New(slog.DiscardHandler)},
	})
	entered, release := make(chan struct{}, 4), make(chan struct{})
	peers.OnChange(func(peer.Change) {
		entered <- struct{}{}
		<-release
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- peers.Run(ctx) }()
	startNode(t, nodeConfig{id: "b", seeds: []string{address}})
	<-entered
	startNode(t, nodeConfig{id: "c", seeds: []string{address}})
	time.Sleep(500 * time.Millisecond) // c's connection waits to be registered
	stop()
	time.Sleep(50 * time.Millisecond) // its calls have ended
	close(release)
	require.ErrorIs(t, <-done, context.Canceled)
}
