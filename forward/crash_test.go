package forward_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/registry"
)

// recordingQuarantine is a Quarantine that records its calls.
type recordingQuarantine struct {
	mu sync.Mutex
	// refused and onProbation apply to all requests.
	refused, onProbation bool
	// refusesAfterBreak sets refused once a request has broken off.
	refusesAfterBreak bool
	served            int
	broken            []fleet.UpstreamID
}

func (q *recordingQuarantine) RefusedFor(time.Time, quarantine.Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.refused {
		return time.Minute
	}
	return 0
}

func (q *recordingQuarantine) IsOnProbation(time.Time, quarantine.Fingerprint) bool {
	return q.onProbation
}

func (q *recordingQuarantine) RecordServed(time.Time, quarantine.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.served++
}

func (q *recordingQuarantine) RecordBroken(_ quarantine.Fingerprint, u registry.Upstream, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.broken = append(q.broken, u.ID)
	q.refused = q.refused || q.refusesAfterBreak
}

// startWithQuarantine starts a router with a recording quarantine and two upstreams that run fn.
func startWithQuarantine(t *testing.T, fn http.HandlerFunc, q *recordingQuarantine) *fixture {
	t.Helper()
	f := start(t, fn, fn)
	f.handler.Quarantine = q
	return f
}

// Guards against a quarantined request that is sent, or whose refusal doesn't state that it wasn't
// run.
func TestQuarantinedRequestIsRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	f := startWithQuarantine(t, answersOK, &recordingQuarantine{refused: true})
	status, body, header, err := f.post(t, "/read/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "crashes-upstreams\n", body)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Zero(t, f.count())
}

// Guards against a request reported as not run though its first attempt may have run it.
func TestRequestQuarantinedAfterItsRunIsNotReportedAsNotRun(t *testing.T) {
	t.Parallel()
	f := startWithQuarantine(t, resets, &recordingQuarantine{refusesAfterBreak: true})
	status, _, _, err := f.post(t, "/read/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status)
	require.Equal(t, 1, f.count())
}

// Guards against a request on probation that crashes a second upstream when it is retried.
func TestRequestOnProbationIsNotRetried(t *testing.T) {
	t.Parallel()
	f := startWithQuarantine(t, resets, &recordingQuarantine{onProbation: true})
	status, _, _, err := f.post(t, "/read/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status)
	require.Equal(t, 1, f.count())
}

// breaksOffWithinEvent sends a stream without a length and closes the connection within an event.
func breaksOffWithinEvent(w http.ResponseWriter, r *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Signed: yes\r\nX-Id: "+r.Header.Get("X-Id")+
		"\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\nda")
}

func TestQuarantineRecordsTheOutcomeOfARequest(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name           string
		fn             http.HandlerFunc
		path           string
		served, broken int
	}{
		{"an answer", answersOK, "/read/1", 1, 0},
		{"an error of the upstream's own", answersError, "/order/1", 1, 0},
		{"a refusal of the upstream", answersNotRun, "/order/1", 0, 0},
		{"a connection that the upstream ends", resets, "/order/1", 0, 1},
		{"a connection that the upstream ends, repeated", resets, "/read/1", 0, 2},
		{"a stream that the upstream ends within an event", breaksOffWithinEvent, "/once/1", 0, 1},
		{"a time-out", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, "/short/1", 0, 0},
	}
	for _, c := range cases {
		q := &recordingQuarantine{}
		f := startWithQuarantine(t, c.fn, q)
		_, _, _, _ = f.post(t, c.path) //nolint:dogsled // what the caller gets is tested elsewhere
		q.mu.Lock()
		require.Equal(t, c.served, q.served, c.name)
		require.Len(t, q.broken, c.broken, c.name)
		q.mu.Unlock()
	}
}
