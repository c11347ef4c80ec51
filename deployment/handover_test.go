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

// handoverRouter is a router's part that hands over, without its mesh.
type handoverRouter struct {
	*deployment.Handovers
	stopping atomic.Bool
	metrics  *metric.Set
	log      bytes.Buffer
	// offers counts the offers that the router has sent.
	offers int
}

const maxRelays = 3

// startHandoverPair starts two routers whose messages arrive at once: one that hands over, and one
// that serves relays with a handler.
func startHandoverPair(t *testing.T, handler http.HandlerFunc) (sender, helper *handoverRouter) {
	t.Helper()
	sender, helper = &handoverRouter{}, &handoverRouter{}
	connect := func(r, other *handoverRouter, self fleet.RouterID) {
		var err error
		r.metrics = metric.New(prometheus.NewRegistry())
		send := func(_ fleet.RouterID, batch *schema.Batch) {
			if batch.GetHandoverOffer() != nil {
				r.offers++
			}
			go other.Receive(self, batch)
		}
		r.Handovers, err = deployment.NewHandovers(self, send, &r.stopping, maxRelays, r.metrics, slog.New(slog.NewTextHandler(&r.log, nil)))
		require.NoError(t, err)
	}
	connect(sender, helper, "sender")
	connect(helper, sender, "helper")
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	helper.SetAddress(listener.Addr().String())
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(&relay.Listener{Listener: listener, Desk: helper}) }()
	t.Cleanup(func() { _ = server.Close() })
	sender.HandleConnectionChange(peer.Change{Router: "helper", DataCenter: "d", Connected: true})
	helper.HandleConnectionChange(peer.Change{Router: "sender", DataCenter: "d", Connected: true})
	helper.Observe(time.Now(), 0)
	return sender, helper
}

// connect seeks a helper for a request.
func (r *handoverRouter) connect(t *testing.T) (forward.Relay, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
	require.NoError(t, err)
	request.Host, request.RequestURI = "h", "/"
	return r.Connect(forward.HandedRequest{Request: request, Account: "ada", Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second)})
}

// awaitRelay seeks a helper until there is an offer.
func (r *handoverRouter) awaitRelay(t *testing.T) forward.Relay {
	t.Helper()
	var opened forward.Relay
	require.Eventually(t, func() bool {
		var err error
		opened, err = r.connect(t)
		return err == nil
	}, 5*time.Second, 5*time.Millisecond)
	return opened
}

func (r *handoverRouter) count(result handover.Result) int {
	return int(testutil.ToFloat64(r.metrics.Handovers.WithLabelValues(string(result))))
}

func (r *handoverRouter) requireResult(t *testing.T, expected handover.Result) {
	t.Helper()
	_, err := r.connect(t)
	var failed *handover.Error
	require.ErrorAs(t, err, &failed)
	require.Equal(t, expected, failed.Result)
}

// run relays to a caller that reads everything, and returns what it has read.
func run(opened forward.Relay) string {
	caller, reader := net.Pipe()
	go opened.Run(caller, bufio.NewReader(caller))
	read, _ := io.ReadAll(reader)
	return string(read)
}

// Guards against a flood that isn't handed over, or whose beginning and end nobody can see.
func TestFloodIsHandedOver(t *testing.T) {
	t.Parallel()
	s, h := startHandoverPair(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	s.requireResult(t, handover.NoOffer) // asks for offers
	require.Contains(t, run(s.awaitRelay(t)), "served")
	require.Eventually(t, func() bool { return s.count(handover.Sent) == 1 && s.TakenConnections() == 0 }, 5*time.Second, time.Millisecond)
	require.InDelta(t, 1, testutil.ToFloat64(h.metrics.AcceptedHandovers), 0)
	require.Equal(t, 1, h.offers, "repeated queries aren't answered")
	require.Contains(t, s.log.String(), "handing over requests began")
	s.Observe(time.Now().Add(3*time.Second), 0)
	require.Contains(t, s.log.String(), "handing over requests ended")
	require.Contains(t, s.log.String(), "sent=1 broken=0 connect-failed=0")

	s.HandleConnectionChange(peer.Change{Router: "helper"})
	_, err := s.connect(t)
	require.ErrorContains(t, err, "no other router")
	s.HandleConnectionChange(peer.Change{Router: "helper", DataCenter: "elsewhere", Connected: true})
	_, err = s.connect(t)
	require.ErrorContains(t, err, "no other router")
}

// Guards against a router that runs out of file descriptors.
func TestRelaysAreLimited(t *testing.T) {
	t.Parallel()
	s, _ := startHandoverPair(t, func(http.ResponseWriter, *http.Request) {})
	opened := s.awaitRelay(t)
	for range maxRelays - 1 {
		defer s.awaitRelay(t).Cancel()
	}
	s.requireResult(t, handover.Limited)
	opened.Cancel()
	s.requireResult(t, handover.NoOffer)
}

// Guards against requests for a router that stops.
func TestStoppingRouterAcceptsNoRelays(t *testing.T) {
	t.Parallel()
	s, h := startHandoverPair(t, func(http.ResponseWriter, *http.Request) {})
	s.awaitRelay(t).Cancel()
	h.stopping.Store(true)
	s.requireResult(t, handover.ConnectFailed)
	h.Observe(time.Now(), 0) // withdraws the offers
	require.Eventually(t, func() bool {
		_, err := s.connect(t)
		var failed *handover.Error
		return errors.As(err, &failed) && failed.Result == handover.NoOffer
	}, 5*time.Second, time.Millisecond)
}

// Guards against relays that a router leaves behind when its time to stop is over, and against
// handing over in a small fleet.
func TestRelaysEndWithTheirRouter(t *testing.T) {
	t.Parallel()
	s, _ := startHandoverPair(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	opened := s.awaitRelay(t)
	ctx, stop := context.WithCancel(t.Context())
	go func() { _ = s.Run(ctx) }()
	time.AfterFunc(50*time.Millisecond, stop)
	require.Empty(t, run(opened))
	require.Eventually(t, func() bool { return s.count(handover.Broken) == 1 }, 5*time.Second, time.Millisecond)
	s.SetActive(false)
	_, err := s.connect(t)
	require.ErrorContains(t, err, "no other router")
}
