package forward_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

// testCodec is a simple HeaderCodec for tests.
type testCodec struct{}

func (testCodec) ParseRequest(h http.Header) forward.RequestInfo {
	info := forward.RequestInfo{ID: fleet.RequestID(h.Get("X-Id")), Key: h.Get("X-Key"), Resumes: fleet.RequestID(h.Get("X-Resumes"))}
	info.LastEventID, _ = strconv.ParseUint(h.Get("Last-Event-Id"), 10, 64) // zero if there is none
	if timeout, err := time.ParseDuration(h.Get("X-Left")); err == nil {
		info.Timeout = timeout
	}
	return info
}

func (testCodec) ParseParts(h http.Header) prompt.Parts {
	var parts prompt.Parts
	for text := range strings.SplitSeq(h.Get("X-Parts"), ",") {
		if part, err := strconv.ParseUint(text, 16, 64); err == nil {
			parts = append(parts, prompt.Part(part))
		}
	}
	return parts
}
func (testCodec) StripReserved(h http.Header) { h.Del("X-Key") }

func (testCodec) SetUpstreamHeader(h http.Header, info forward.AttemptInfo) {
	h.Set("X-Upstream", string(info.Upstream.ID))
	h.Set("X-Account", string(info.Account))
	h.Set("X-Left", info.TimeLeft.String())
	if info.LastEventID != "" {
		h.Set("Last-Event-Id", info.LastEventID)
	}
}

func (testCodec) ParseAnswer(_ int, h http.Header) forward.AnswerInfo {
	info := forward.AnswerInfo{NotRun: h.Get("X-Not-Run") != "", Signed: h.Get("X-Signed") != "", Leaving: h.Get("X-Leaving") != ""}
	info.Backoff, _ = time.ParseDuration(h.Get("X-Backoff")) // zero if there is none
	if percent, err := strconv.ParseFloat(h.Get("X-Slowdown"), 64); err == nil {
		info.Load.Slowdown = pace.FromPercent(percent)
	}
	return info
}

// upstreams records the requests that reach any upstream.
type upstreams struct {
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func (u *upstreams) record(r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests = append(u.requests, r)
	u.bodies = append(u.bodies, string(body))
}

func (u *upstreams) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

type fixture struct {
	*upstreams
	router  *httptest.Server
	handler *forward.Handler
	state   *fixedState
	// addresses are those of the upstreams.
	addresses []string
}

// start starts a router with one upstream per function and routes of each kind.
func start(t *testing.T, fns ...http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{upstreams: &upstreams{}}
	var list []registry.Upstream
	for i, fn := range fns {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.record(r)
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			fn(w, r)
		}))
		t.Cleanup(server.Close)
		f.addresses = append(f.addresses, server.Listener.Addr().String())
		list = append(list, registry.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("u%d", i)), Address: server.Listener.Addr().String(), Slots: 8})
	}
	return f.serve(t, list)
}

func (f *fixture) serve(t *testing.T, list []registry.Upstream) *fixture {
	t.Helper()
	shares := []route.Share{{Service: "s", Weight: 1}}
	table := route.NewTable(route.Configuration{
		Version: 3,
		Routes: []route.Route{
			{Name: "order", Host: "h", Prefix: "/order/", Kind: route.NonIdempotent, Shares: shares, Timeout: 2 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2},
			{Name: "read", Host: "h", Prefix: "/read/", Kind: route.Safe, Shares: shares, Timeout: 2 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Streaming, Resumable: true, Shares: shares, Timeout: 5 * time.Second, LatencyTarget: time.Second, MaxPause: 200 * time.Millisecond, MaxAttempts: 2},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: route.Streaming, Shares: shares, Timeout: 5 * time.Second, LatencyTarget: time.Second, MaxPause: time.Second, MaxAttempts: 2},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: route.NonIdempotent, Shares: shares, Timeout: 200 * time.Millisecond, LatencyTarget: 100 * time.Millisecond, MaxAttempts: 1},
			{Name: "public", Host: "h", Prefix: "/public/", Kind: route.Safe, Public: true, Shares: shares, Timeout: time.Second, LatencyTarget: time.Second, MaxAttempts: 1},
		},
		Services: []route.Service{{ID: "s"}},
		Accounts: []route.Account{{ID: "ada", Keys: []string{"k"}}},
		Limits:   route.Limits{MaxBodyBytes: 1 << 20},
	})
	pool := &turn.Pool{Placement: turn.LeastLoaded{}}
	pool.SetUpstreams(time.Now(), list, time.Second)
	client := &upstream.Client{EchoedID: func(h http.Header) fleet.RequestID { return fleet.RequestID(h.Get("X-Id")) }}
	t.Cleanup(client.Close)
	f.state = &fixedState{table: table, pool: pool}
	f.handler = &forward.Handler{
		Codec: testCodec{}, State: f.state, Client: client,
		Metrics: metric.New(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	}
	f.router = httptest.NewUnstartedServer(f.handler)
	f.router.Config.ConnContext = caller.ConnContext
	f.router.Start()
	t.Cleanup(f.router.Close)
	return f
}

func (f *fixture) request(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, f.router.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("X-Id", "id-1")
	r.Header.Set("X-Key", "k")
	return r
}

func (f *fixture) do(t *testing.T, r *http.Request) (int, string, http.Header, error) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	answer, err := client.Do(r)
	if err != nil {
		return 0, "", nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(body), answer.Header, err
}

func (f *fixture) post(t *testing.T, path string) (int, string, http.Header, error) {
	t.Helper()
	return f.do(t, f.request(t, http.MethodPost, path, "body"))
}

func answersOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signed", "yes")
	_, _ = io.WriteString(w, "served")
}

func answersNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func answersError(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signed", "yes")
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "own error")
}

func resets(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	t.Parallel()
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signed", "sig")
		w.Header().Set("X-More", "kept")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "made")
	})
	status, body, header, err := f.post(t, "/order/a%20b/c?x=1&y=%2f")
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, status)
	require.Equal(t, "made", body)
	require.Equal(t, "sig", header.Get("X-Signed"))
	require.Equal(t, "kept", header.Get("X-More"))
	got := f.requests[0]
	require.Equal(t, "/order/a%20b/c?x=1&y=%2f", got.RequestURI)
	require.Equal(t, "h", got.Host)
	require.Equal(t, "body", f.bodies[0])
	require.Equal(t, "ada", got.Header.Get("X-Account"))
	require.Empty(t, got.Header.Get("X-Key"))
}

func TestUnroutedAndUnauthenticatedRequestsAreNotForwarded(t *testing.T) {
	t.Parallel()
	f := start(t, answersOK)
	cases := []struct {
		path, key string
		status    int
	}{
		{"/none/", "k", http.StatusNotFound},
		{"/read/", "wrong", http.StatusUnauthorized},
		{"/read/", "", http.StatusUnauthorized},
	}
	for _, c := range cases {
		r := f.request(t, http.MethodGet, c.path, "")
		r.Header.Set("X-Key", c.key)
		status, _, _, err := f.do(t, r)
		require.NoError(t, err)
		require.Equal(t, c.status, status, c.path)
	}
	require.Zero(t, f.count())
	r := f.request(t, http.MethodGet, "/public/", "")
	r.Header.Del("X-Key")
	status, _, _, err := f.do(t, r)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}

// A router that has just started has no configuration. If it answered that a route or a key doesn't
// exist, the caller would not retry.
func TestRouterWithoutConfigurationIsUnavailable(t *testing.T) {
	t.Parallel()
	f := start(t, answersOK)
	f.handler.State = &fixedState{}
	status, _, header, err := f.post(t, "/order/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
}

// Guards against an order that is run twice: it may be sent again, or reported as not run, only
// when no upstream can have run it.
func TestOrdersAreSentAgainOnlyWhenNotRun(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		fns     []http.HandlerFunc
		status  int
		reached int
	}{
		{"one answers not run, the other serves", []http.HandlerFunc{answersNotRun, answersOK}, http.StatusOK, -1},
		{"all answer not run", []http.HandlerFunc{answersNotRun, answersNotRun}, http.StatusServiceUnavailable, 2},
		{"reset after it was read", []http.HandlerFunc{resets, resets}, http.StatusBadGateway, 1},
		{"own error", []http.HandlerFunc{answersError, answersError}, http.StatusInternalServerError, 1},
		{"success without signature", []http.HandlerFunc{func(http.ResponseWriter, *http.Request) {}}, http.StatusBadGateway, 1},
		{"busy without stating that it wasn't run", []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }}, http.StatusBadGateway, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, c.fns...)
			status, _, _, err := f.post(t, "/order/1")
			require.NoError(t, err)
			require.Equal(t, c.status, status)
			if c.reached >= 0 {
				require.Equal(t, c.reached, f.count())
			}
		})
	}
}

// An upstream that refuses connections was sent nothing, so the order is reported as not run.
func TestUnreachableUpstreamIsNotRun(t *testing.T) {
	t.Parallel()
	f := (&fixture{upstreams: &upstreams{}}).serve(t, []registry.Upstream{{ID: "gone", Address: refusingAddress(t), Slots: 8}})
	status, _, _, err := f.post(t, "/order/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// refusingAddress returns an address that refuses connections. Its socket is bound but doesn't listen, so that no
// other process can take the port.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, unix.Close(fd)) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	address, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", address.(*unix.SockaddrInet4).Port)
}

// An idempotent request is retried after an upstream's error. If all upstreams fail, the caller
// gets the error of the last one.
func TestIdempotentRequestsAreRetried(t *testing.T) {
	t.Parallel()
	for range 4 {
		f := start(t, answersError, answersOK)
		status, _, _, err := f.post(t, "/read/1")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	f := start(t, answersError, answersError, answersError)
	status, body, header, err := f.post(t, "/read/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, status)
	require.Equal(t, "own error", body)
	require.Equal(t, "yes", header.Get("X-Signed"))
	require.Equal(t, 2, f.count())
}

// Guards against a status without a meaning in HTTP that is changed on its way, or counts as a success.
func TestStatusBeyondTheClassesOfHTTPIsAnError(t *testing.T) {
	t.Parallel()
	for _, status := range []int{600, 999} {
		odd := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signed", "yes")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "odd")
		}
		got, body, header, err := start(t, odd).post(t, "/order/1")
		require.NoError(t, err)
		require.Equal(t, status, got)
		require.Equal(t, "odd", body)
		require.Equal(t, "yes", header.Get("X-Signed"))
		for range 4 {
			got, _, _, err = start(t, odd, answersOK).post(t, "/read/1")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, got)
		}
	}
}

// When the route's timeout passes, the caller gets a final answer and the upstream's request is
// cancelled.
func TestRouteTimeoutEndsARequest(t *testing.T) {
	t.Parallel()
	stopped := make(chan struct{})
	f := start(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(stopped)
	})
	begin := time.Now()
	status, _, _, err := f.post(t, "/short/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Less(t, time.Since(begin), 600*time.Millisecond)
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream's request was not cancelled")
	}
	left, err := time.ParseDuration(f.requests[0].Header.Get("X-Left"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 200*time.Millisecond)
}

// Callers that retry on new connections and keep the old ones open can exhaust the process's file
// descriptors. Above a bound each answer closes its connection.
func TestRouterWithTooManyConnectionsClosesThemAfterTheirAnswer(t *testing.T) {
	t.Parallel()
	f := start(t, answersOK)
	for _, tooMany := range []bool{false, true} {
		f.handler.TooManyConnections = func() bool { return tooMany }
		answer, err := http.DefaultClient.Do(f.request(t, http.MethodPost, "/read/1", "body"))
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.Equal(t, http.StatusOK, answer.StatusCode)
		require.Equal(t, tooMany, answer.Close)
	}
}

// A request for which the router has no processor time is refused at once, with a Retry-After, and
// reaches no upstream. OnShed must be called, or the account would seem to get all the service that
// it requests.
func TestRequestWithoutProcessorTimeIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := start(t, answersOK)
	f.handler.HasCapacity = func(time.Time, fleet.AccountID) bool { return false }
	shed := 0.0
	f.handler.OnShed = func(_ fleet.ServiceID, _ fleet.AccountID, tokens float64) { shed += tokens }
	answer, err := http.DefaultClient.Do(f.request(t, http.MethodPost, "/order/1", "body"))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.Equal(t, "0.200", answer.Header.Get("Retry-After"))
	require.Empty(t, f.requests)
	require.InDelta(t, 1, shed, 0, "a request without a prompt counts as one token")
}

// While a router stops, answers close their connection, requests in flight complete, and new ones
// are refused as not run.
func TestStopping(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answersOK(w, r)
	})
	type outcome struct {
		status int
		err    error
	}
	inFlight := make(chan outcome, 1)
	first := f.request(t, http.MethodPost, "/order/1", "body")
	go func() {
		status, _, _, err := f.do(t, first)
		inFlight <- outcome{status, err}
	}()
	require.Eventually(t, func() bool { return f.count() == 1 }, 5*time.Second, time.Millisecond)
	f.handler.DisableKeepAlives()
	f.handler.RefuseNew()
	status, _, header, err := f.post(t, "/order/2")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	close(release)
	require.Equal(t, outcome{http.StatusOK, nil}, <-inFlight)
	require.NoError(t, f.handler.Wait(t.Context()))
	require.Equal(t, 1, f.count())
}
