package forward_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/handover"
	"nutmeglock.example/nutmeglock/handover/relay"
)

// testHandover hands over all requests to one address, each a second old.
type testHandover struct {
	address  string
	connects atomic.Int64
}

func (h *testHandover) Connect(r forward.HandedRequest) (forward.Relay, error) {
	h.connects.Add(1)
	conn, err := relay.Dialer{Timeout: 5 * time.Second}.Dial(context.Background(), handover.Helper{Address: h.address}, relay.Preamble{Age: time.Second})
	if err != nil {
		return nil, err
	}
	return testRelay{&relay.Relay{Request: r.Request, Helper: conn, Deadline: r.Deadline}}, nil
}

type testRelay struct{ *relay.Relay }

func (r testRelay) Run(caller net.Conn, buffered *bufio.Reader) {
	r.Caller, r.Buffered = caller, buffered
	_ = r.Relay.Run()
}

func (r testRelay) Cancel() { _ = r.Helper.Close() }

// openAdmitter accepts all relays.
type openAdmitter struct{ relay.Admitter }

func (openAdmitter) Admit(relay.Preamble) relay.Verdict { return relay.Accepted }
func (openAdmitter) Release()                           {}

// startPair starts a router without processor time and one that accepts its requests.
func startPair(t *testing.T, fn http.HandlerFunc) (sender, helper *fixture, handed *testHandover) {
	t.Helper()
	sender, helper = start(t, fn), start(t, fn)
	server := httptest.NewUnstartedServer(helper.handler)
	server.Config.ConnContext = caller.ConnContext
	handed = &testHandover{address: server.Listener.Addr().String()}
	server.Listener = &relay.Listener{Listener: server.Listener, Admitter: openAdmitter{}}
	server.Start()
	t.Cleanup(server.Close)
	sender.handler.HasCapacity = func(time.Time, fleet.AccountID) bool { return false }
	sender.handler.Handover = handed
	return sender, helper, handed
}

// Guards against a request that runs at both routers, and against one that a stopping router forgets.
func TestRequestIsServedByTheOtherRouter(t *testing.T) {
	t.Parallel()
	running, release := make(chan struct{}), make(chan struct{})
	s, h, _ := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-release
		answersOK(w, r)
	})
	s.handler.OnShed = func(fleet.ServiceID, fleet.AccountID, float64) { panic("it wasn't refused") }
	go func() {
		<-running
		s.handler.RefuseNew()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		if s.handler.InFlight() == 1 && s.handler.Wait(ctx) != nil {
			close(release)
		}
	}()
	status, body, _, err := s.post(t, "/order/1?a=%20")
	require.NoError(t, err)
	require.Equal(t, []any{http.StatusOK, "served", 0, 1}, []any{status, body, s.count(), h.count()})
	require.Equal(t, "/order/1?a=%20", h.requests[0].RequestURI)
	require.Equal(t, "ada", h.requests[0].Header.Get("X-Account"))
	require.Equal(t, "body", h.bodies[0])
	left, err := time.ParseDuration(h.requests[0].Header.Get("X-Left"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, time.Second, "two seconds from when the first router read it")
	require.NoError(t, s.handler.Wait(t.Context()))
}

// Guards against requests that two routers without processor time pass back and forth.
func TestRequestIsHandedOverOnce(t *testing.T) {
	t.Parallel()
	s, h, first := startPair(t, answersOK)
	second := &testHandover{address: s.router.Listener.Addr().String()}
	h.handler.HasCapacity, h.handler.Handover = s.handler.HasCapacity, second
	status, body, header, err := s.post(t, "/order/1")
	require.NoError(t, err)
	require.Equal(t, []any{http.StatusServiceUnavailable, "router-overloaded\n"}, []any{status, body})
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Equal(t, []int64{1, 0}, []int64{first.connects.Load(), second.connects.Load()})
}

// Guards against callers that get no answer, or no time to return, when no router takes a request.
func TestRequestThatNoRouterTakesIsRefused(t *testing.T) {
	t.Parallel()
	s, _, handed := startPair(t, answersOK)
	handed.address = "127.0.0.1:1"
	shed := 0
	s.handler.OnShed = func(fleet.ServiceID, fleet.AccountID, float64) { shed++ }
	status, _, header, err := s.post(t, "/order/1")
	require.NoError(t, err)
	require.Equal(t, []any{http.StatusServiceUnavailable, 1}, []any{status, shed})
	require.NotEmpty(t, header.Get("Retry-After"))
	r := s.request(t, http.MethodPost, "/order/1", "")
	r.Header.Del("X-Key")
	status, _, _, err = s.do(t, r)
	require.NoError(t, err)
	require.Equal(t, []any{http.StatusUnauthorized, int64(1)}, []any{status, handed.connects.Load()})
}
