package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/registry"
)

// fixedOrigins knows the origins that a test sets.
type fixedOrigins struct {
	found   map[fleet.RequestID]fleet.SoftwareVersion
	unknown origin.UnknownError

	mu sync.Mutex
	// uncertain holds the upstreams whose versions aren't certain.
	uncertain map[fleet.UpstreamID]bool
	recorded  []origin.Stream
}

func (o *fixedOrigins) Find(_ context.Context, _ fleet.ServiceID, stream origin.StreamID) (origin.Finding, error) {
	software, known := o.found[stream.Attempt]
	if !known {
		return origin.Finding{}, &o.unknown
	}
	return origin.Finding{Software: software, Source: origin.OtherRecord}, nil
}

func (o *fixedOrigins) Identification(fleet.ServiceID, bool) forward.Identification {
	return forward.RequiredIdentification
}

func (o *fixedOrigins) SoftwareOf(u registry.Upstream) fleet.SoftwareVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.uncertain[u.ID] {
		return ""
	}
	return u.Software
}

func (o *fixedOrigins) Record(_ time.Time, stream origin.Stream, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recorded = append(o.recorded, stream)
}

// startWithSoftware starts a router with one upstream per version. Each begins its events with
// its version; fn serves the requests of one.
func startWithSoftware(t *testing.T, origins *fixedOrigins, fn func(software string, w http.ResponseWriter, r *http.Request), versions ...fleet.SoftwareVersion) *fixture {
	t.Helper()
	f := &fixture{upstreams: &upstreams{}}
	var list []registry.Upstream
	for i, version := range versions {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.record(r)
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Signed", "yes")
			fn(string(version), w, r)
		}))
		t.Cleanup(server.Close)
		list = append(list, registry.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("u%d", i)), Address: server.Listener.Addr().String(), Slots: 8, Software: version,
		})
	}
	f.serve(t, list)
	f.handler.Origins = origins
	return f
}

// eventOf streams one event that names a version, and then ends or breaks off.
func eventOf(id int, whole bool) func(software string, w http.ResponseWriter, r *http.Request) {
	return func(software string, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, software)
		_ = http.NewResponseController(w).Flush()
		if !whole {
			panic(http.ErrAbortHandler)
		}
	}
}

// takeUp sends a request that takes up a stream after its fourth event.
func (f *fixture) takeUp(t *testing.T, stream string) (status int, body string, header http.Header) {
	t.Helper()
	r := f.request(t, http.MethodPost, "/stream/1", "body")
	r.Header.Set("X-Resumes", stream)
	r.Header.Set("Last-Event-Id", "4")
	status, body, header, err := f.do(t, r)
	require.NoError(t, err)
	return status, body, header
}

// Guards against a stream that is taken up by guess, and against a promise that it can go on later.
func TestStreamIsTakenUpOnlyIfItsVersionIsKnown(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, stream        string
		asked, answered     int
		status              int
		body                string
		hasRetryAfter       bool
		requestsAtUpstreams int
	}{
		{name: "known", stream: "began", status: http.StatusOK, body: "id: 5\ndata: v1\n\n", requestsAtUpstreams: 1},
		{name: "unknown", stream: "other", asked: 3, answered: 3, status: http.StatusServiceUnavailable, body: "stream-origin-unknown"},
		{name: "some routers don't answer", stream: "other", asked: 3, answered: 2, status: http.StatusServiceUnavailable, body: "stream-origin-unknown", hasRetryAfter: true},
		{name: "replaced version", stream: "old", status: http.StatusServiceUnavailable, body: "software-replaced"},
		{name: "not named", stream: "", status: http.StatusServiceUnavailable, body: "stream-origin-unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			origins := &fixedOrigins{
				found:   map[fleet.RequestID]fleet.SoftwareVersion{"began": "v1", "old": "v0"},
				unknown: origin.UnknownError{Asked: c.asked, Answered: c.answered},
			}
			f := startWithSoftware(t, origins, eventOf(5, true), "v2", "v1", "v2")
			status, body, header := f.takeUp(t, c.stream)
			require.Equal(t, c.status, status)
			require.Contains(t, body, c.body)
			require.Equal(t, c.hasRetryAfter, header.Get("Retry-After") != "")
			require.Equal(t, c.requestsAtUpstreams, f.count())
		})
	}
}

// Guards against a record under another id than the one by which the caller names the stream.
func TestOriginIsRecordedUnderTheFirstAttempt(t *testing.T) {
	t.Parallel()
	origins := &fixedOrigins{found: map[fleet.RequestID]fleet.SoftwareVersion{"began": "v1"}}
	f := startWithSoftware(t, origins, eventOf(1, true), "v1")
	_, _, _, err := f.post(t, "/stream/1")
	require.NoError(t, err)
	f.takeUp(t, "began")
	require.Equal(t, []origin.Stream{
		{ID: origin.StreamID{Account: "ada", Attempt: "id-1"}, Service: "s", Software: "v1"},
		{ID: origin.StreamID{Account: "ada", Attempt: "began"}, Service: "s", Software: "v1"},
	}, origins.recorded)
}

// Guards against an event of an upstream that has restarted with another version since it was
// chosen for the rest of a stream.
func TestEventsOfAnUncertainVersionAreNotRelayed(t *testing.T) {
	t.Parallel()
	origins := &fixedOrigins{found: map[fleet.RequestID]fleet.SoftwareVersion{"began": "v1"}, uncertain: map[fleet.UpstreamID]bool{"u0": true, "u1": true}}
	f := startWithSoftware(t, origins, eventOf(5, true), "v1", "v1")
	status, body, _ := f.takeUp(t, "began")
	require.Equal(t, http.StatusBadGateway, status, "an upstream has run the request")
	require.NotContains(t, body, "v1")
	require.Empty(t, origins.recorded)
}

// Guards against an answer whose rest comes from another version, and against one that moves though
// it isn't certain which version began it.
func TestBrokenAnswerGoesOnAtItsVersion(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name      string
		uncertain bool
		versions  []fleet.SoftwareVersion
		sends     int
		whole     bool
	}{
		{name: "same version", versions: []fleet.SoftwareVersion{"v1", "v1"}, sends: 2, whole: true},
		{name: "other version only", versions: []fleet.SoftwareVersion{"v1", "v2"}, sends: 1},
		{name: "uncertain", uncertain: true, versions: []fleet.SoftwareVersion{"v1", "v1"}, sends: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			fn := func(software string, w http.ResponseWriter, r *http.Request) {
				serve := eventOf(2, true)
				once.Do(func() { serve = eventOf(1, false) })
				serve(software, w, r)
			}
			origins := &fixedOrigins{}
			if c.uncertain {
				origins.uncertain = map[fleet.UpstreamID]bool{"u0": true, "u1": true}
			}
			f := startWithSoftware(t, origins, fn, c.versions...)
			_, body, _, err := f.post(t, "/stream/1")
			require.Equal(t, c.sends, f.count())
			if c.whole {
				require.NoError(t, err)
				require.Equal(t, "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n", body)
				return
			}
			require.Error(t, err, "the answer breaks off visibly")
		})
	}
}

// Guards against a stream that moves from a silent upstream to one of another version.
func TestSilentStreamMovesToItsVersionOnly(t *testing.T) {
	t.Parallel()
	for _, other := range []fleet.SoftwareVersion{"v1", "v2"} {
		t.Run(string(other), func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			fn := func(software string, w http.ResponseWriter, r *http.Request) {
				isFirst := false
				once.Do(func() { isFirst = true })
				if !isFirst {
					eventOf(2, true)(software, w, r)
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", software)
				_ = http.NewResponseController(w).Flush()
				select {
				case <-r.Context().Done():
				case <-time.After(1500 * time.Millisecond): // longer than the silence limit
					_, _ = fmt.Fprintf(w, "id: 2\ndata: %s\n\n", software)
				}
			}
			f := startWithSoftware(t, &fixedOrigins{}, fn, "v1", other)
			_, body, _, err := f.post(t, "/stream/1")
			require.NoError(t, err)
			if other == "v1" {
				require.Equal(t, 2, f.count())
			}
			first, second := "v1", "v1"
			if other == "v2" && f.count() == 1 && body[len("id: 1\ndata: "):][:2] == "v2" {
				first, second = "v2", "v2" // the request began at the other upstream
			}
			require.Equal(t, "id: 1\ndata: "+first+"\n\nid: 2\ndata: "+second+"\n\n", body)
		})
	}
}
