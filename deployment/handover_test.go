package deployment_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/deployment"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/handover"
	"nutmeglock.example/nutmeglock/handover/relay"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/schema"
)

// maxRelays is the limit on relays of the routers in tests.
const maxRelays = 3

// handoverRouter is a router's part that hands over, without its mesh.
type handoverRouter struct {
	*deployment.Handovers
	stopping atomic.Bool
	metrics  *metric.Set
	log      bytes.Buffer
}

// startHandoverPair starts two routers whose messages arrive at once: one that hands over, and one
// that serves relays with a handler.
func startHandoverPair(t *testing.T, handler http.HandlerFunc) (sender, helper *handoverRouter) {
	t.Helper()
	sender, helper = &handoverRouter{}, &handoverRouter{}
	connect := func(r, other *handoverRouter, self, to fleet.RouterID) {
		r.metrics = metric.New(prometheus.NewRegistry())
		log := slog.New(slog.NewTextHandler(&r.log, nil))
		var err error
		r.Handovers, err = deployment.NewHandovers(self, &r.stopping, maxRelays, r.metrics, log, func(_ fleet.RouterID, batch *schema.Batch) {
			go other.Receive(self, batch)
		})
		require.NoError(t, err)
		r.HandleConnectionChange(peer.Change{Router: to, DataCenter: "d", Connected: true})
	}
	connect(sender, helper, "sender", "helper")
	connect(helper, sender, "helper", "sender")
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	helper.SetAddress(listener.Addr().String())
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(&relay.Listener{Listener: listener, Admitter: helper}) }()
	t.Cleanup(func() { _ = server.Close() })
	helper.Observe(time.Now(), 0)
	return sender, helper
}

// connect seeks a helper for a request. It returns the result if none takes the request.
func (r *handoverRouter) connect(t *testing.T) (forward.Relay, handover.Result) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
	require.NoError(t, err)
	request.RequestURI = "/"
	opened, err := r.Connect(forward.HandedRequest{Request: request, Account: "ada", Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second)})
	var failed *handover.Error
	if errors.As(err, &failed) {
		return nil, failed.Result
	}
	return opened, ""
}

// awaitRelay seeks a helper until one takes the request.
func (r *handoverRouter) awaitRelay(t *testing.T) (opened forward.Relay) {
	t.Helper()
	require.Eventually(t, func() bool {
		opened, _ = r.connect(t)
		return opened != nil
	}, 5*time.Second, 5*time.Millisecond)
	return opened
}

func (r *handoverRouter) awaitResult(t *testing.T, expected handover.Result) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, result := r.connect(t)
		return result == expected
	}, 5*time.Second, time.Millisecond)
}

func (r *handoverRouter) awaitCount(t *testing.T, result handover.Result) {
	t.Helper()
	counter := r.metrics.Handovers.WithLabelValues(string(result))
	require.Eventually(t, func() bool { return testutil.ToFloat64(counter) == 1 && r.TakenConnections() == 0 }, 5*time.Second, time.Millisecond)
}

// run relays to a caller that reads everything, and returns what it has read.
func run(opened forward.Relay) string {
	caller, reader := net.Pipe()
	go opened.Run(caller, bufio.NewReader(caller))
	read, _ := io.ReadAll(reader)
	return string(read)
}

// Guards against a flood that isn't handed over, or whose beginning and end nobody can see, and
// against one that is handed over to another data centre or in a small fleet.
func TestFloodIsHandedOver(t *testing.T) {
	t.Parallel()
	s, h := startHandoverPair(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	_, result := s.connect(t) // asks for offers
	require.Equal(t, handover.NoOffer, result)
	require.Contains(t, run(s.awaitRelay(t)), "served")
	s.awaitCount(t, handover.Sent)
	require.InDelta(t, 1, testutil.ToFloat64(h.metrics.AcceptedHandovers), 0)
	s.Observe(time.Now().Add(3*time.Second), 0)
	require.Contains(t, s.log.String(), "handing over requests began")
	require.Contains(t, s.log.String(), "handing over requests ended")
	require.Contains(t, s.log.String(), "sent=1 broken=0 connect-failed=0")

	s.HandleConnectionChange(peer.Change{Router: "helper"})
	s.HandleConnectionChange(peer.Change{Router: "helper", DataCenter: "elsewhere", Connected: true})
	opened, result := s.connect(t)
	require.Equal(t, []any{nil, handover.Result("")}, []any{opened, result})
	s.HandleConnectionChange(peer.Change{Router: "helper", DataCenter: "d", Connected: true})
	s.SetActive(false)
	opened, result = s.connect(t)
	require.Equal(t, []any{nil, handover.Result("")}, []any{opened, result})
}

// Guards against a router that runs out of file descriptors.
func TestRelaysAreLimited(t *testing.T) {
	t.Parallel()
	s, _ := startHandoverPair(t, func(http.ResponseWriter, *http.Request) {})
	opened := s.awaitRelay(t)
	for range maxRelays - 1 {
		defer s.awaitRelay(t).Cancel()
	}
	s.awaitResult(t, handover.Limited)
	opened.Cancel()
	s.awaitResult(t, handover.NoOffer)
}

// Guards against requests for a router that stops.
func TestStoppingRouterAcceptsNoRelays(t *testing.T) {
	t.Parallel()
	s, h := startHandoverPair(t, func(http.ResponseWriter, *http.Request) {})
	s.awaitRelay(t).Cancel()
	require.Equal(t, relay.WrongToken, h.Admit(relay.Preamble{}))
	h.stopping.Store(true)
	s.awaitResult(t, handover.ConnectFailed)
	h.Observe(time.Now(), 0) // withdraws the offers
	s.awaitResult(t, handover.NoOffer)
}

// Guards against relays that a router leaves behind when its time to stop is over.
func TestRelaysEndWithTheirRouter(t *testing.T) {
	t.Parallel()
	s, _ := startHandoverPair(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	opened := s.awaitRelay(t)
	ctx, stop := context.WithCancel(t.Context())
	go func() { _ = s.Run(ctx) }()
	time.AfterFunc(50*time.Millisecond, stop)
	require.Empty(t, run(opened))
	s.awaitCount(t, handover.Broken)
}
