package forward_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

// dialect is a plain one for tests.
type dialect struct{}

func (dialect) Intake(h http.Header) forward.Intake {
	in := forward.Intake{ID: fleet.RequestID(h.Get("X-Id")), Key: h.Get("X-Key")}
	if left, err := time.ParseDuration(h.Get("X-Left")); err == nil {
		in.Left = left
	}
	return in
}
func (dialect) Clean(h http.Header) { h.Del("X-Key") }

func (dialect) Address(h http.Header, p forward.Passing) {
	h.Set("X-Upstream", string(p.Upstream.ID))
	h.Set("X-Account", string(p.Account))
	h.Set("X-Left", p.Left.String())
	if p.After != "" {
		h.Set("Last-Event-Id", p.After)
	}
}

func (dialect) Verdict(_ int, h http.Header) forward.Verdict {
	return forward.Verdict{NotRun: h.Get("X-Not-Run") != "", Genuine: h.Get("X-Signed") != ""}
}

// upstreams counts what reaches them.
type upstreams struct {
	mu      sync.Mutex
	reached []*http.Request
	bodies  []string
}

func (u *upstreams) note(r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reached = append(u.reached, r)
	u.bodies = append(u.bodies, string(body))
}

func (u *upstreams) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.reached)
}

type fixture struct {
	*upstreams
	front   *httptest.Server
	handler *forward.Handler
	state   *state
}

// start serves with upstreams that answer by fns, and routes of each kind.
func start(t *testing.T, fns ...http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{upstreams: &upstreams{}}
	var list []registry.Upstream
	for i, fn := range fns {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.note(r)
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			fn(w, r)
		}))
		t.Cleanup(server.Close)
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
			{Name: "order", Host: "h", Prefix: "/order/", Kind: route.NonIdempotent, Shares: shares, Timeout: 2 * time.Second, Target: time.Second, Attempts: 2},
			{Name: "read", Host: "h", Prefix: "/read/", Kind: route.Safe, Shares: shares, Timeout: 2 * time.Second, Target: time.Second, Attempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Streaming, Resumable: true, Shares: shares, Timeout: 5 * time.Second, Target: time.Second, MaxPause: 200 * time.Millisecond, Attempts: 2},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: route.Streaming, Shares: shares, Timeout: 5 * time.Second, Target: time.Second, MaxPause: time.Second, Attempts: 2},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: route.NonIdempotent, Shares: shares, Timeout: 200 * time.Millisecond, Target: 100 * time.Millisecond, Attempts: 1},
			{Name: "public", Host: "h", Prefix: "/public/", Kind: route.Safe, Public: true, Shares: shares, Timeout: time.Second, Target: time.Second, Attempts: 1},
		},
		Services: []route.Service{{ID: "s"}},
		Accounts: []route.Account{{ID: "ada", Keys: []string{"k"}}},
		Limits:   route.Limits{MaxBodyBytes: 1 << 20},
	})
	pool := &turn.Pool{Placement: turn.LeastLoaded{}}
	pool.Set(time.Now(), list, time.Second)
	client := &upstream.Client{Echoed: func(h http.Header) fleet.RequestID { return fleet.RequestID(h.Get("X-Id")) }}
	t.Cleanup(client.Close)
	f.state = &state{table: table, pool: pool}
	f.handler = &forward.Handler{
		Dialect: dialect{}, State: f.state, Client: client,
		Metrics: metric.New(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	}
	f.front = httptest.NewUnstartedServer(f.handler)
	f.front.Config.ConnContext = forward.WithCaller
	f.front.Start()
	t.Cleanup(f.front.Close)
	return f
}

func (f *fixture) request(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, f.front.URL+path, strings.NewReader(body))
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

func (f *fixture) ask(t *testing.T, path string) (int, string, http.Header, error) {
	t.Helper()
	return f.do(t, f.request(t, http.MethodPost, path, "body"))
}

func served(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signed", "yes")
	_, _ = io.WriteString(w, "served")
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func failing(w http.ResponseWriter, _ *http.Request) {
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
	status, body, header, err := f.ask(t, "/order/a%20b/c?x=1&y=%2f")
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, status)
	require.Equal(t, "made", body)
	require.Equal(t, "sig", header.Get("X-Signed"))
	require.Equal(t, "kept", header.Get("X-More"))
	got := f.reached[0]
	require.Equal(t, "/order/a%20b/c?x=1&y=%2f", got.RequestURI)
	require.Equal(t, "h", got.Host)
	require.Equal(t, "body", f.bodies[0])
	require.Equal(t, "ada", got.Header.Get("X-Account"))
	require.Empty(t, got.Header.Get("X-Key"))
}

func TestWhatIsNotForwarded(t *testing.T) {
	t.Parallel()
	f := start(t, served)
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

// A router has just started and knows no configuration. It must not say that a
// route or a key doesn't exist; the caller would not come back.
func TestRouterWithoutConfigurationPromisesNothing(t *testing.T) {
	t.Parallel()
	f := start(t, served)
	f.handler.State = &state{}
	status, _, header, err := f.ask(t, "/order/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
}

// What an upstream did with an order, and what its caller may be told. A status
// that says "not run" while a team is on its way would send a second one.
func TestOrdersAreSentAgainOnlyWhenNotRun(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		fns     []http.HandlerFunc
		status  int
		reached int
	}{
		{"one says not run, the other serves", []http.HandlerFunc{notRun, served}, http.StatusOK, -1},
		{"all say not run", []http.HandlerFunc{notRun, notRun}, http.StatusServiceUnavailable, 2},
		{"reset after it was read", []http.HandlerFunc{resets, resets}, http.StatusBadGateway, 1},
		{"own error", []http.HandlerFunc{failing, failing}, http.StatusInternalServerError, 1},
		{"success without signature", []http.HandlerFunc{func(http.ResponseWriter, *http.Request) {}}, http.StatusBadGateway, 1},
		{"busy without saying that it wasn't run", []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }}, http.StatusBadGateway, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, c.fns...)
			status, _, _, err := f.ask(t, "/order/1")
			require.NoError(t, err)
			require.Equal(t, c.status, status)
			if c.reached >= 0 {
				require.Equal(t, c.reached, f.count())
			}
		})
	}
}

// Nothing listens where the upstream was. Nothing was sent, so the order goes
// elsewhere, or its caller hears truly that it wasn't run.
func TestUnreachableUpstreamIsNotRun(t *testing.T) {
	t.Parallel()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	f := (&fixture{upstreams: &upstreams{}}).serve(t, []registry.Upstream{{ID: "gone", Address: address, Slots: 8}})
	status, _, _, err := f.ask(t, "/order/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// An application answers a read with an error of its own. The read may be
// repeated; if all answer so, the caller gets the upstream's own answer.
func TestReadsAreRepeated(t *testing.T) {
	t.Parallel()
	for range 4 {
		f := start(t, failing, served)
		status, _, _, err := f.ask(t, "/read/1")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	f := start(t, failing, failing, failing)
	status, body, header, err := f.ask(t, "/read/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, status)
	require.Equal(t, "own error", body)
	require.Equal(t, "yes", header.Get("X-Signed"))
	require.Equal(t, 2, f.count())
}

// The time of a route is over while the upstream still works. The caller gets
// the final answer then, and the upstream is told to stop.
func TestRouteTimeoutEndsARequest(t *testing.T) {
	t.Parallel()
	stopped := make(chan struct{})
	f := start(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(stopped)
	})
	begin := time.Now()
	status, _, _, err := f.ask(t, "/short/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Less(t, time.Since(begin), 600*time.Millisecond)
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream was not told")
	}
	left, err := time.ParseDuration(f.reached[0].Header.Get("X-Left"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 200*time.Millisecond)
}

// Callers repeat at once, each time on a new connection, and leave the former
// open. Beyond a bound each answer closes its connection, or the process runs out
// of descriptors and accepts nobody.
func TestCrowdedRouterClosesConnectionsAfterTheirAnswer(t *testing.T) {
	t.Parallel()
	f := start(t, served)
	for _, crowded := range []bool{false, true} {
		f.handler.Crowded = func() bool { return crowded }
		answer, err := http.DefaultClient.Do(f.request(t, http.MethodPost, "/read/1", "body"))
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.Equal(t, http.StatusOK, answer.StatusCode)
		require.Equal(t, crowded, answer.Close)
	}
}

// A router has no processor time for a request. Its caller hears so at once, with when
// to come back, and nothing reaches an upstream. Those that share out the engines' work
// are told, or the account would seem to get all that it asks for.
func TestRequestWithoutProcessorTimeIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := start(t, served)
	f.handler.Takes = func(time.Time, fleet.AccountID) bool { return false }
	told := 0.0
	f.handler.Shed = func(_ fleet.ServiceID, _ fleet.AccountID, tokens float64) { told += tokens }
	answer, err := http.DefaultClient.Do(f.request(t, http.MethodPost, "/order/1", "body"))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.Equal(t, "0.200", answer.Header.Get("Retry-After"))
	require.Empty(t, f.reached)
	require.InDelta(t, 1, told, 0, "a request without a prompt counts as one token")
}

// A router stops. Answers ask their callers to connect elsewhere, requests in
// hand end, and what comes then is refused as not run.
func TestStopping(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		served(w, r)
	})
	type outcome struct {
		status int
		err    error
	}
	inHand := make(chan outcome, 1)
	first := f.request(t, http.MethodPost, "/order/1", "body")
	go func() {
		status, _, _, err := f.do(t, first)
		inHand <- outcome{status, err}
	}()
	require.Eventually(t, func() bool { return f.count() == 1 }, 5*time.Second, time.Millisecond)
	f.handler.Leave()
	f.handler.Refuse()
	status, _, header, err := f.ask(t, "/order/2")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	close(release)
	require.Equal(t, outcome{http.StatusOK, nil}, <-inHand)
	require.NoError(t, f.handler.Wait(t.Context()))
	require.Equal(t, 1, f.count())
}
