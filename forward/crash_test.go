package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/diagnosis"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
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
	// ended makes all upstreams have ended.
	ended bool
	// late is set if an upstream was asked for late.
	late bool
	// whole and far count answers that were recorded as whole, and as having come far.
	whole, far int
	broken     []fleet.UpstreamID
	stages     []diagnosis.Stage
}

func (*recordingQuarantine) IsActive(time.Time) bool { return true }

func (q *recordingQuarantine) RefusedFor(time.Time, quarantine.Subject) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.refused {
		return time.Minute
	}
	return 0
}

func (q *recordingQuarantine) Admit(_ context.Context, now time.Time, s quarantine.Subject) time.Duration {
	return q.RefusedFor(now, s)
}

func (q *recordingQuarantine) IsSuspected(time.Time, quarantine.Subject) bool {
	return q.onProbation
}

func (q *recordingQuarantine) RecordServed(time.Time, quarantine.Subject) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.served++
}

func (q *recordingQuarantine) RecordSound(_ time.Time, _ quarantine.Subject, isWhole bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if isWhole {
		q.whole++
		return
	}
	q.far++
}

func (q *recordingQuarantine) RecordBroken(b forward.BrokenRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.broken = append(q.broken, b.Upstream.ID)
	q.stages = append(q.stages, b.Stage)
	q.refused = q.refused || q.refusesAfterBreak
}

func (q *recordingQuarantine) HasEnded(_ context.Context, _ registry.Upstream, isLate bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.late = q.late || isLate
	return q.ended
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

// answerEnd is how an answer that an upstream sends ends.
type answerEnd int

const (
	endsWhole answerEnd = iota
	endsInsideAnEvent
	endsAfterHeader
	endsByReset
)

// framedAnswer sends two events, or a plain answer, with a length, in chunks, or with neither.
func framedAnswer(framing string, end answerEnd, upstreamEnded bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}
		header := "HTTP/1.1 200 OK\r\nX-Signed: yes\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nContent-Type: text/event-stream\r\n"
		write := func(text string) { _, _ = buffered.WriteString(text) }
		chunk := func(text string) { write(text) }
		switch framing {
		case "length":
			header += "Content-Length: " + strconv.Itoa(len(events[0])+len(events[1])) + "\r\n"
		case "chunks":
			header += "Transfer-Encoding: chunked\r\n"
			chunk = func(text string) { write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }
		}
		write(header + "\r\n")
		switch {
		case end == endsAfterHeader:
		case end == endsInsideAnEvent:
			chunk(events[0])
			chunk("id: 2\nda")
		case end == endsWhole && upstreamEnded:
			chunk(events[0]) // more would have come
		default:
			chunk(events[0])
			chunk(events[1])
			if end == endsWhole && framing == "chunks" {
				write("0\r\n\r\n")
			}
		}
		_ = buffered.Flush()
		if end == endsByReset {
			time.Sleep(20 * time.Millisecond) // what was sent arrives before
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// Guards against an answer that was cut off by the end of its upstream passing for a whole one, at the caller or as proof
// that the request doesn't crash upstreams.
func TestAnswerThatIsCutOffIsNotWhole(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		framing string
		end     answerEnd
		// ended is set if the upstream has ended, as far as can be checked.
		ended bool
		plain bool
		whole bool
	}{
		{framing: "length", end: endsWhole, whole: true},
		{framing: "chunks", end: endsWhole, whole: true},
		{framing: "neither", end: endsWhole, whole: true},
		{framing: "length", end: endsWhole, plain: true, whole: true},
		{framing: "chunks", end: endsWhole, plain: true, whole: true},
		{framing: "neither", end: endsWhole, plain: true, whole: true},
		{framing: "length", end: endsInsideAnEvent},
		{framing: "chunks", end: endsInsideAnEvent},
		{framing: "neither", end: endsInsideAnEvent},
		{framing: "length", end: endsInsideAnEvent, plain: true},
		{framing: "chunks", end: endsInsideAnEvent, plain: true},
		{framing: "neither", end: endsInsideAnEvent, plain: true, ended: true},
		{framing: "length", end: endsAfterHeader},
		{framing: "chunks", end: endsAfterHeader},
		{framing: "neither", end: endsAfterHeader},
		{framing: "neither", end: endsAfterHeader, ended: true},
		{framing: "neither", end: endsAfterHeader, plain: true, ended: true},
		{framing: "neither", end: endsWhole, ended: true},
		{framing: "neither", end: endsWhole, plain: true, ended: true},
		{framing: "chunks", end: endsByReset},
		{framing: "neither", end: endsByReset},
		{framing: "chunks", end: endsByReset, plain: true},
		{framing: "neither", end: endsByReset, plain: true},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			q := &recordingQuarantine{ended: c.ended}
			f := startWithQuarantine(t, framedAnswer(c.framing, c.end, c.ended), q)
			path := "/once/1"
			if c.plain {
				path = "/read/1"
			}
			status, _, _, err := f.post(t, path)
			require.NoError(t, f.handler.Wait(t.Context())) // an answer with a length is whole before its handler ends
			q.mu.Lock()
			defer q.mu.Unlock()
			if c.whole {
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, 1, q.served)
				require.Equal(t, 1, q.whole)
				require.Empty(t, q.broken)
				return
			}
			require.True(t, err != nil || status == http.StatusBadGateway, "status %d", status)
			require.Zero(t, q.served)
			require.Zero(t, q.whole)
			require.NotEmpty(t, q.broken)
		})
	}
}

// Guards against half of an answer that is passed on as a whole one, because the request can't be repeated, and against the crash that cut
// it off going unreported.
func TestAnswerThatMayBeCutOffIsNotPassedOnAsWhole(t *testing.T) {
	t.Parallel()
	q := &recordingQuarantine{ended: true}
	f := startWithQuarantine(t, framedAnswer("neither", endsWhole, false), q)
	status, _, _, err := f.post(t, "/order/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status, "it may have run")
	q.mu.Lock()
	defer q.mu.Unlock()
	require.Zero(t, q.served, "it proves nothing")
	require.Zero(t, q.whole)
	require.Len(t, q.broken, 1)
}

// Guards against a router that was stopped for a while taking the process that has a crashed upstream's address by then for
// that upstream.
func TestAnswerThatIsReadLateIsCheckedMoreClosely(t *testing.T) {
	t.Parallel()
	for pause, late := range map[time.Duration]bool{0: false, 600 * time.Millisecond: true} {
		q := &recordingQuarantine{}
		f := startWithQuarantine(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signed", "yes")
			w.Header().Set("Transfer-Encoding", "identity")
			for i := range 2 {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: a\n\n", i+1)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(pause)
			}
		}, q)
		_, _, _, err := f.post(t, "/once/1")
		require.NoError(t, err)
		q.mu.Lock()
		require.Equal(t, late, q.late, pause)
		q.mu.Unlock()
	}
}
